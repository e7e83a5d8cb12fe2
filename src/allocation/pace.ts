/**
 * How fast upstreams are, learnt from the answers they gave. Answers a load pattern in which one engine in three is
 * several times slower than the others and load reports are seconds old.
 */

/** Before any answer: from sending a prompt to its first event, without the time to read the prompt, in ms. */
const INITIAL_FIRST_MS = 50;
/** Before any answer: ms to read one token of a prompt; engines of the present generation read about 50 a ms. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.02;
/** Before any answer: ms between two events of a stream. */
const INITIAL_EVENT_MS = 16;
/** Before any answer: ms of a plain service's work. */
const INITIAL_PLAIN_SERVICE_MS = 40;
/** Weight of a new answer; about the last eight count. */
const SAMPLE_WEIGHT = 0.25;
/** Weight of a new answer in the pool's own scale, which many answers feed. */
const POOL_SAMPLE_WEIGHT = 0.05;
/** Streams with fewer events say little about the pace. */
const MIN_PACE_EVENTS = 4;
/** One slow answer does not make an upstream unusable. */
const MAX_PACE_FACTOR = 12;

/** Work as the pace sees it. */
export type RequestSize = {
	readonly promptTokens: number;
	readonly events: number;
};

/** What all upstreams of a pool have in common. */
export class PoolPace {
	static create(isEngine: boolean): PoolPace {
		return new PoolPace(isEngine);
	}

	readonly isEngine: boolean;
	/** Observed first events against the initial figures, for an upstream of factor 1. */
	#firstScale = 1;
	#plainMs = INITIAL_PLAIN_SERVICE_MS;
	#eventMs = INITIAL_EVENT_MS;

	private constructor(isEngine: boolean) {
		this.isEngine = isEngine;
	}

	/** Ms between two events at an upstream of factor 1. */
	get eventMs(): number {
		return this.#eventMs;
	}

	/** @returns Ms to the first event, or to the answer of a plain service, at an idle upstream of factor 1. */
	firstMs(promptTokens: number): number {
		return this.isEngine ? this.#firstScale * (INITIAL_FIRST_MS + this.prefillMs(promptTokens)) : this.#plainMs;
	}

	/** @returns Ms to read a prompt at an upstream of factor 1. */
	prefillMs(promptTokens: number): number {
		return promptTokens * INITIAL_PREFILL_MS_PER_TOKEN;
	}

	/** @returns Ms from sending to the end of the answer, at an idle upstream of factor 1. */
	totalMs({promptTokens, events}: RequestSize): number {
		return this.firstMs(promptTokens) + (this.isEngine ? events * this.#eventMs : 0);
	}

	/** Takes the time to a first event, divided by the upstream's factor. */
	noteFirst(promptTokens: number, firstMs: number): void {
		if (this.isEngine) {
			const observed = firstMs / (INITIAL_FIRST_MS + this.prefillMs(promptTokens));
			this.#firstScale += POOL_SAMPLE_WEIGHT * (Math.min(MAX_PACE_FACTOR, observed) - this.#firstScale);
		} else {
			this.#plainMs += POOL_SAMPLE_WEIGHT * (firstMs - this.#plainMs);
		}
	}

	/** Takes the time between events, divided by the upstream's factor. */
	noteEvents(eventMs: number): void {
		this.#eventMs += POOL_SAMPLE_WEIGHT * (eventMs - this.#eventMs);
	}
}

/** The pace of one upstream, as a factor of its pool's. */
export class Pace {
	static create(pool: PoolPace): Pace {
		return new Pace(pool);
	}

	readonly #pool: PoolPace;
	#factor = 1;

	private constructor(pool: PoolPace) {
		this.#pool = pool;
	}

	/** Above 1 for an upstream slower than its pool usually is. */
	get factor(): number {
		return this.#factor;
	}

	/** Takes over what another allocator learnt. */
	restore(factor: number): void {
		this.#factor = Math.min(MAX_PACE_FACTOR, Math.max(1 / MAX_PACE_FACTOR, factor));
	}

	/**
	 * @param pendingPromptTokens - Prompts that the upstream has to read before.
	 * @returns Expected ms to the first event, or to the answer of a plain service.
	 */
	firstMs(promptTokens: number, pendingPromptTokens: number): number {
		return this.#factor * this.#pool.firstMs(promptTokens + pendingPromptTokens);
	}

	/** @returns Expected ms from sending to the end of the answer. */
	totalMs(size: RequestSize): number {
		return this.#factor * this.#pool.totalMs(size);
	}

	/** @returns Expected ms in which reading the prompt delays the streams beside it. */
	interferenceMs(promptTokens: number): number {
		return this.#factor * this.#pool.prefillMs(promptTokens);
	}

	/** @returns Expected ms between two events. */
	get eventMs(): number {
		return this.#factor * this.#pool.eventMs;
	}

	/** Takes the time to the first event of a work that had to wait for other prompts. */
	noteFirst(promptTokens: number, pendingPromptTokens: number, firstMs: number): void {
		if (!this.#pool.isEngine) {
			this.#updateFactor(firstMs / this.#pool.firstMs(0));
		}

		this.#pool.noteFirst(promptTokens + pendingPromptTokens, firstMs / this.#factor);
	}

	/** Takes the pace of a whole stream. */
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
