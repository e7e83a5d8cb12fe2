/**
 * Estimates how fast upstreams are from the answers they gave. This handles deployments in which one engine in three is
 * several times slower than the others while load reports are seconds old.
 */

/** Initial estimate of the time from sending a prompt to the first event, without the time to read the prompt, in ms. */
const INITIAL_FIRST_MS = 50;
/** Initial estimate of the time to read one prompt token, in ms; current engines read about 50 tokens per ms. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.02;
/** Initial estimate of the time between two events of a stream, in ms. */
const INITIAL_EVENT_MS = 16;
/** Initial estimate of the response time of a plain service, in ms. */
const INITIAL_PLAIN_SERVICE_MS = 40;
/** Weight of a new answer in an upstream's moving average; about the last eight answers count. */
const SAMPLE_WEIGHT = 0.25;
/** Weight of a new answer in the pool's moving averages; lower, as answers of all upstreams feed them. */
const POOL_SAMPLE_WEIGHT = 0.05;
/** Streams with fewer events are too short to estimate the pace from. */
const MIN_PACE_EVENTS = 4;
/** Limits each sample, so that one slow answer does not make an upstream unusable. */
const MAX_PACE_FACTOR = 12;

/** The properties of a request that determine its service time. */
export type RequestSize = {
	readonly promptTokens: number;
	readonly events: number;
};

/** Pace estimates shared by all upstreams of a pool. */
export class PoolPace {
	static create(isEngine: boolean): PoolPace {
		return new PoolPace(isEngine);
	}

	readonly isEngine: boolean;
	/** Ratio of the observed to the initially estimated time to the first event, at an upstream of factor 1. */
	#firstScale = 1;
	#plainMs = INITIAL_PLAIN_SERVICE_MS;
	#eventMs = INITIAL_EVENT_MS;

	private constructor(isEngine: boolean) {
		this.isEngine = isEngine;
	}

	/** Time between two events at an upstream of factor 1, in ms. */
	get eventMs(): number {
		return this.#eventMs;
	}

	/** @returns Time to the first event, or to the answer of a plain service, at an idle upstream of factor 1, in ms. */
	firstMs(promptTokens: number): number {
		return this.isEngine ? this.#firstScale * (INITIAL_FIRST_MS + this.prefillMs(promptTokens)) : this.#plainMs;
	}

	/** @returns Time to read a prompt at an upstream of factor 1, in ms. */
	prefillMs(promptTokens: number): number {
		return promptTokens * INITIAL_PREFILL_MS_PER_TOKEN;
	}

	/** @returns Time from sending the request to the end of the answer, at an idle upstream of factor 1, in ms. */
	totalMs({promptTokens, events}: RequestSize): number {
		return this.firstMs(promptTokens) + (this.isEngine ? events * this.#eventMs : 0);
	}

	/** Updates the estimates with a time to the first event, already divided by the upstream's factor. */
	noteFirst(promptTokens: number, firstMs: number): void {
		if (this.isEngine) {
			const observed = firstMs / (INITIAL_FIRST_MS + this.prefillMs(promptTokens));
			this.#firstScale += POOL_SAMPLE_WEIGHT * (Math.min(MAX_PACE_FACTOR, observed) - this.#firstScale);
		} else {
			this.#plainMs += POOL_SAMPLE_WEIGHT * (firstMs - this.#plainMs);
		}
	}

	/** Updates the estimates with a time between events, already divided by the upstream's factor. */
	noteEvents(eventMs: number): void {
		this.#eventMs += POOL_SAMPLE_WEIGHT * (eventMs - this.#eventMs);
	}
}

/** The pace of one upstream, as a factor relative to its pool. */
export class Pace {
	static create(pool: PoolPace): Pace {
		return new Pace(pool);
	}

	readonly #pool: PoolPace;
	#factor = 1;

	private constructor(pool: PoolPace) {
		this.#pool = pool;
	}

	/** Above 1 for an upstream that is slower than its pool's average. */
	get factor(): number {
		return this.#factor;
	}

	/** Restores a factor estimated by another allocator. */
	restore(factor: number): void {
		this.#factor = Math.min(MAX_PACE_FACTOR, Math.max(1 / MAX_PACE_FACTOR, factor));
	}

	/**
	 * @param pendingPromptTokens - Tokens of the prompts that the upstream has to read first.
	 * @returns Expected time to the first event, or to the answer of a plain service, in ms.
	 */
	firstMs(promptTokens: number, pendingPromptTokens: number): number {
		return this.#factor * this.#pool.firstMs(promptTokens + pendingPromptTokens);
	}

	/** @returns Expected time from sending the request to the end of the answer, in ms. */
	totalMs(size: RequestSize): number {
		return this.#factor * this.#pool.totalMs(size);
	}

	/** @returns Expected time for which reading the prompt delays the other streams of the upstream, in ms. */
	interferenceMs(promptTokens: number): number {
		return this.#factor * this.#pool.prefillMs(promptTokens);
	}

	/** Expected time between two events, in ms. */
	get eventMs(): number {
		return this.#factor * this.#pool.eventMs;
	}

	/** Updates the estimates with the time to the first event of a request that had to wait for other prompts. */
	noteFirst(promptTokens: number, pendingPromptTokens: number, firstMs: number): void {
		if (!this.#pool.isEngine) {
			this.#updateFactor(firstMs / this.#pool.firstMs(0));
		}

		this.#pool.noteFirst(promptTokens + pendingPromptTokens, firstMs / this.#factor);
	}

	/** Updates the estimates with the duration of a complete stream. */
	noteStream(events: number, streamMs: number): void {
		if (events >= MIN_PACE_EVENTS) {
			const eventMs = streamMs / (events - 1);
			this.#updateFactor(eventMs / this.#pool.eventMs);
			this.#pool.noteEvents(eventMs / this.#factor);
		}
	}

	#updateFactor(factor: number): void {
		this.#factor += SAMPLE_WEIGHT * (Math.min(MAX_PACE_FACTOR, factor) - this.#factor);
	}
}
