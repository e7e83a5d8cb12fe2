/**
 * Concurrency limit of one engine, learned from token times relative to the engine's own minimum.
 */

const INITIAL_LIMIT = 6;
const MIN_LIMIT = 1;
const NEW_GAP_WEIGHT = 0.1;
/** Gaps observed before the minimum is trusted. */
const WARM_UP_SAMPLES = 10;
const SLOW_RATIO = 2.4;
const GOOD_RATIO = 1.9;
const DECREASE_FACTOR = 0.7;
const DECREASE_INTERVAL_MS = 200;
const INCREASE_INTERVAL_MS = 150;
/** The minimum is forgotten after one to two such windows, so that a permanent change is learned. */
const MIN_WINDOW_MS = 45_000;
const MAX_SLOWDOWN = 20;
/** Shorter gaps show how the network and the event loop group tokens, so slowdown is measured from this gap on. */
const MIN_RESOLVED_GAP_MS = 5;

/** Additive increase, multiplicative decrease. Times in ms of the caller's monotonic clock. */
export class ConcurrencyLimit {
	static create(maximum: number): ConcurrencyLimit {
		return new ConcurrencyLimit(maximum);
	}

	#maximum: number;
	#value: number;
	#gap = 0;
	#samples = 0;
	#windowStart = 0;
	#windowMin = Number.POSITIVE_INFINITY;
	#earlierMin = Number.POSITIVE_INFINITY;
	#lastDecrease = Number.NEGATIVE_INFINITY;
	#lastIncrease = Number.NEGATIVE_INFINITY;

	private constructor(maximum: number) {
		this.#maximum = maximum;
		this.#value = Math.min(INITIAL_LIMIT, maximum);
	}

	/** Requests in flight that the engine takes from all nodes together. */
	get value(): number {
		return Math.floor(this.#value);
	}

	/** Smoothed time between tokens in ms; 0 before the first observation. */
	get usualGapMs(): number {
		return this.#gap;
	}

	/** Current time between tokens over the learned minimum, at least 1. */
	get slowdown(): number {
		if (this.#samples < WARM_UP_SAMPLES) {
			return 1;
		}

		return Math.min(MAX_SLOWDOWN, Math.max(1, this.#gap / Math.max(MIN_RESOLVED_GAP_MS, Math.min(this.#windowMin, this.#earlierMin))));
	}

	setMaximum(maximum: number): void {
		this.#maximum = maximum;
		this.#value = Math.min(this.#value, maximum);
	}

	/**
	 * @param gapMs - Time since the previous token of the same answer.
	 * @param isFull - Whether the limit keeps work waiting.
	 */
	noteGap(gapMs: number, isFull: boolean, now: number): void {
		this.#samples += 1;
		this.#gap = this.#samples === 1 ? gapMs : this.#gap + (NEW_GAP_WEIGHT * (gapMs - this.#gap));
		if (this.#samples >= WARM_UP_SAMPLES) {
			this.#noteMinimum(now);
			this.#adapt(isFull, now);
		}
	}

	/**
	 * @param ratio - Time to first token over the time expected for its uncached prompt.
	 */
	noteFirstToken(ratio: number, now: number): void {
		if (ratio > SLOW_RATIO * 1.5) {
			this.#decrease(now);
		}
	}

	/** A whole answer arrived at once; it says no more than that the engine works. */
	noteWhole(isFull: boolean, now: number): void {
		this.#adapt(isFull, now);
	}

	/** Starts again from the least limit after an outage; the minimum gap stays known. */
	restart(): void {
		this.#value = MIN_LIMIT;
		this.#gap = Math.min(this.#gap, this.#windowMin, this.#earlierMin);
	}

	#noteMinimum(now: number): void {
		if (now - this.#windowStart > MIN_WINDOW_MS) {
			this.#earlierMin = this.#windowMin;
			this.#windowMin = Number.POSITIVE_INFINITY;
			this.#windowStart = now;
		}

		this.#windowMin = Math.min(this.#windowMin, this.#gap);
	}

	#adapt(isFull: boolean, now: number): void {
		const {slowdown} = this;
		if (slowdown > SLOW_RATIO) {
			this.#decrease(now);
		} else if (slowdown < GOOD_RATIO && isFull && now - this.#lastIncrease >= INCREASE_INTERVAL_MS) {
			this.#lastIncrease = now;
			this.#value = Math.min(this.#maximum, this.#value + 1);
		}
	}

	#decrease(now: number): void {
		if (now - this.#lastDecrease >= DECREASE_INTERVAL_MS) {
			this.#lastDecrease = now;
			this.#value = Math.max(MIN_LIMIT, this.#value * DECREASE_FACTOR);
		}
	}
}
