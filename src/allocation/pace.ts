/**
 * Estimates how fast upstreams are from the answers they gave. This handles deployments in which one engine in three is
 * several times slower than the others while load reports are seconds old.
 *
 * Of a pool whose upstreams state their momentary pace, or whose deployment is under pressure, the estimates are detailed:
 * the factor of an upstream is learnt from answers divided by the momentary factor, both terms of the time to the first event
 * are learnt, and short streams count. Other pools keep the simpler model, so that their decisions do not change.
 */
import {FirstEventModel} from './first-event-model.js';
import {MomentaryPace, type StatedPace} from './momentary-pace.js';

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
/** The same where estimates are detailed: half of the streams at engines with 7 tokens an event have 7 events or fewer. */
const MIN_STATED_PACE_EVENTS = 2;
/** Events from which the time between them counts fully; shorter streams count in proportion to their gaps. */
const FULL_SAMPLE_EVENTS = 6;
/** Weight of the time to the first event in an upstream's factor; lower, as other prompts disturb it. */
const FIRST_SAMPLE_WEIGHT = 0.1;
/** Weight of the initial factor of an upstream relative to its samples, where estimates are detailed. */
const INITIAL_FACTOR_WEIGHT = 0.1;
/**
 * Quantile of the upstreams' factors that is taken for the usual one. Factors are relative to each other, and their common
 * scale drifts by a factor of two as estimates are detailed; most requests go to the faster upstreams.
 */
const USUAL_QUANTILE = 0.25;
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
	/** Whether an upstream of the pool has stated its momentary pace. */
	hasStatements = false;
	/** Ratio of the observed to the initially estimated time to the first event, at an upstream of factor 1. */
	#firstScale = 1;
	#plainMs = INITIAL_PLAIN_SERVICE_MS;
	#eventMs = INITIAL_EVENT_MS;
	/** `undefined` unless the estimates are detailed. */
	#firstEvent: FirstEventModel | undefined;

	private constructor(isEngine: boolean) {
		this.isEngine = isEngine;
	}

	get isDetailed(): boolean {
		return this.#firstEvent !== undefined;
	}

	/** Makes the estimates detailed from now on. */
	refine(): void {
		if (this.#firstEvent === undefined) {
			const scale = this.#firstScale;
			this.#firstEvent = FirstEventModel.create(promptTokens => scale * (INITIAL_FIRST_MS + (promptTokens * INITIAL_PREFILL_MS_PER_TOKEN)));
		}
	}

	/** Time between two events at an upstream of factor 1, in ms. */
	get eventMs(): number {
		return this.#eventMs;
	}

	/** @returns Time to the first event, or to the answer of a plain service, at an idle upstream of factor 1, in ms. */
	firstMs(promptTokens: number): number {
		if (!this.isEngine) {
			return this.#plainMs;
		}

		return this.#firstEvent?.firstMs(promptTokens) ?? this.#firstScale * (INITIAL_FIRST_MS + this.prefillMs(promptTokens));
	}

	/** @returns Time to read a prompt at an upstream of factor 1, in ms. */
	prefillMs(promptTokens: number): number {
		return this.#firstEvent?.prefillMs(promptTokens) ?? promptTokens * INITIAL_PREFILL_MS_PER_TOKEN;
	}

	/** @returns Time from sending the request to the end of the answer, at an idle upstream of factor 1, in ms. */
	totalMs({promptTokens, events}: RequestSize): number {
		return this.firstMs(promptTokens) + (this.isEngine ? events * this.#eventMs : 0);
	}

	/** Updates the estimates with a time to the first event, already divided by the upstream's factor. */
	noteFirst(promptTokens: number, firstMs: number): void {
		if (this.#firstEvent !== undefined && this.isEngine) {
			this.#firstEvent.note(promptTokens, firstMs);
		} else if (this.isEngine) {
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
	readonly #moment = MomentaryPace.create();
	#factor = 1;
	/** Sum of the weights of the samples in the factor. */
	#sampleCount = 0;

	private constructor(pool: PoolPace) {
		this.#pool = pool;
	}

	/** Long-term factor; above 1 for an upstream that is slower than its pool's average. */
	get factor(): number {
		return this.#factor;
	}

	/** When the upstream stated its pace last; `undefined` if it has not. */
	get statedAt(): number | undefined {
		return this.#moment.statedAt;
	}

	/** @returns The factor at this time, relative to the long-term factor. */
	momentAt(now: number): number {
		return this.#moment.at(now);
	}

	/** @returns The factor at this time. */
	factorAt(now: number): number {
		return this.#factor * this.#moment.at(now);
	}

	/** Restores a factor estimated by another allocator. */
	restore(factor: number): void {
		this.#sampleCount = 1;
		this.#factor = Math.min(MAX_PACE_FACTOR, Math.max(1 / MAX_PACE_FACTOR, factor));
	}

	/**
	 * @param pendingPromptTokens - Tokens of the prompts that the upstream has to read first.
	 * @returns Expected time to the first event, or to the answer of a plain service, in ms.
	 */
	firstMs(promptTokens: number, pendingPromptTokens: number, now: number): number {
		return this.#atMoment(this.#factor * this.#pool.firstMs(promptTokens + pendingPromptTokens), now);
	}

	/** @returns Expected time from sending the request to the end of the answer, in ms. */
	totalMs(size: RequestSize, now: number): number {
		return this.#atMoment(this.#factor * this.#pool.totalMs(size), now);
	}

	/** @returns Expected time for which reading the prompt delays the other streams of the upstream, in ms. */
	interferenceMs(promptTokens: number, now: number): number {
		return this.#atMoment(this.#factor * this.#pool.prefillMs(promptTokens), now);
	}

	/** @returns Expected time between two events, in ms. */
	eventMs(now: number): number {
		return this.#atMoment(this.#factor * this.#pool.eventMs, now);
	}

	/** Records what the upstream stated about its pace at the moment. */
	noteStated(stated: StatedPace, now: number): void {
		this.#pool.hasStatements = true;
		this.#pool.refine();
		this.#moment.note(stated, now);
	}

	/** Updates the estimates with the time to the first event of a request that had to wait for other prompts. */
	noteFirst(promptTokens: number, pendingPromptTokens: number, firstMs: number, now: number): void {
		const usualMs = firstMs / this.#moment.mean(now - firstMs, now);
		if (!this.#pool.isEngine) {
			this.#updateFactor(usualMs / this.#pool.firstMs(0), SAMPLE_WEIGHT);
		} else if (this.#pool.isDetailed) {
			this.#updateFactor(usualMs / this.#pool.firstMs(promptTokens + pendingPromptTokens), FIRST_SAMPLE_WEIGHT);
		}

		this.#pool.noteFirst(promptTokens + pendingPromptTokens, usualMs / this.#factor);
	}

	/** Updates the estimates with the duration of a stream that has just ended. */
	noteStream(events: number, streamMs: number, now: number): void {
		const {isDetailed} = this.#pool;
		if (events >= (isDetailed ? MIN_STATED_PACE_EVENTS : MIN_PACE_EVENTS)) {
			const eventMs = streamMs / this.#moment.mean(now - streamMs, now) / (events - 1);
			const weight = isDetailed ? Math.min(1, (events - 1) / (FULL_SAMPLE_EVENTS - 1)) : 1;
			this.#updateFactor(eventMs / this.#pool.eventMs, weight * SAMPLE_WEIGHT);
			this.#pool.noteEvents(eventMs / this.#factor);
		}
	}

	/** @returns Time that work takes if it begins now, in ms. */
	#atMoment(usualMs: number, now: number): number {
		return usualMs * this.#moment.mean(now, now + usualMs);
	}

	#updateFactor(factor: number, weight: number): void {
		this.#sampleCount += weight;
		// The first samples count fully: a new upstream that is several times slower would otherwise get too much work.
		const earlyWeight = this.#pool.isDetailed ? weight / (this.#sampleCount + INITIAL_FACTOR_WEIGHT) : 0;
		this.#factor += Math.max(weight, earlyWeight) * (Math.min(MAX_PACE_FACTOR, factor) - this.#factor);
	}
}

/** @returns Long-term factor of the upstreams that most requests get; 1 without upstreams. */
export function usualFactor(paces: readonly Pace[]): number {
	const factors = paces.map(({factor}) => factor).toSorted((a, b) => a - b);
	return factors[Math.floor(factors.length * USUAL_QUANTILE)] ?? 1;
}
