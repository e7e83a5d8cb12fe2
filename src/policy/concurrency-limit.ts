/**
 * Adaptive concurrency limit of one engine, derived from inter-token latency relative to its observed minimum.
 */

const INITIAL_LIMIT = 6;
const MIN_LIMIT = 1;
const GAP_EWMA_WEIGHT = 0.1;
/** Number of observed gaps after which the minimum gap is used. */
const WARM_UP_SAMPLES = 10;
const DECREASE_ABOVE_SLOWDOWN = 2.4;
const INCREASE_BELOW_SLOWDOWN = 1.9;
const DECREASE_FACTOR = 0.7;
const DECREASE_INTERVAL_MS = 200;
const INCREASE_INTERVAL_MS = 150;
/** The minimum covers the current and the previous window, so it expires after 1 to 2 windows and follows permanent changes. */
const MIN_GAP_WINDOW_MS = 45_000;
const MAX_SLOWDOWN = 20;
/** Lower bound of the baseline gap; shorter gaps are artifacts of token batching by the network and the event loop. */
const MIN_MEASURABLE_GAP_MS = 5;

/** AIMD limit (additive increase, multiplicative decrease). Times are milliseconds of the caller's monotonic clock. */
export class ConcurrencyLimit {
	static create(maximum: number): ConcurrencyLimit {
		return new ConcurrencyLimit(maximum);
	}

	#maximum: number;
	#limit: number;
	#smoothedGapMs = 0;
	#sampleCount = 0;
	#windowStartedAt = 0;
	#minGapMs = Number.POSITIVE_INFINITY;
	#previousMinGapMs = Number.POSITIVE_INFINITY;
	#lastDecreaseAt = Number.NEGATIVE_INFINITY;
	#lastIncreaseAt = Number.NEGATIVE_INFINITY;

	private constructor(maximum: number) {
		this.#maximum = maximum;
		this.#limit = Math.min(INITIAL_LIMIT, maximum);
	}

	/** Maximum number of requests in flight at the engine, over all nodes. */
	get value(): number {
		return Math.floor(this.#limit);
	}

	/** Smoothed inter-token gap in milliseconds; 0 before the first observation. */
	get usualGapMs(): number {
		return this.#smoothedGapMs;
	}

	/** Ratio of the smoothed inter-token gap to its observed minimum; at least 1. */
	get slowdown(): number {
		if (this.#sampleCount < WARM_UP_SAMPLES) {
			return 1;
		}

		return Math.min(MAX_SLOWDOWN, Math.max(1, this.#smoothedGapMs / Math.max(MIN_MEASURABLE_GAP_MS, Math.min(this.#minGapMs, this.#previousMinGapMs))));
	}

	setMaximum(maximum: number): void {
		this.#maximum = maximum;
		this.#limit = Math.min(this.#limit, maximum);
	}

	/**
	 * @param gapMs - Time since the previous token of the same response.
	 * @param isSaturated - Whether all slots are in use.
	 */
	noteGap(gapMs: number, isSaturated: boolean, now: number): void {
		this.#sampleCount += 1;
		this.#smoothedGapMs = this.#sampleCount === 1 ? gapMs : this.#smoothedGapMs + (GAP_EWMA_WEIGHT * (gapMs - this.#smoothedGapMs));
		if (this.#sampleCount >= WARM_UP_SAMPLES) {
			this.#updateMinGap(now);
			this.#adapt(isSaturated, now);
		}
	}

	/**
	 * @param ratio - Ratio of the measured time to first token to the time expected for the uncached prompt.
	 */
	noteFirstToken(ratio: number, now: number): void {
		if (ratio > DECREASE_ABOVE_SLOWDOWN * 1.5) {
			this.#decrease(now);
		}
	}

	/**
	 * Handles a response that arrived in one piece. It has no inter-token gaps and shows only that the engine works, but it
	 * must adapt the limit too: otherwise the limit of an engine that sends only such responses would never increase.
	 */
	noteWhole(isSaturated: boolean, now: number): void {
		this.#adapt(isSaturated, now);
	}

	/** Resets to the minimum limit after an outage; keeps the observed minimum gap. */
	restart(): void {
		this.#limit = MIN_LIMIT;
		this.#smoothedGapMs = Math.min(this.#smoothedGapMs, this.#minGapMs, this.#previousMinGapMs);
	}

	#updateMinGap(now: number): void {
		if (now - this.#windowStartedAt > MIN_GAP_WINDOW_MS) {
			this.#previousMinGapMs = this.#minGapMs;
			this.#minGapMs = Number.POSITIVE_INFINITY;
			this.#windowStartedAt = now;
		}

		this.#minGapMs = Math.min(this.#minGapMs, this.#smoothedGapMs);
	}

	#adapt(isSaturated: boolean, now: number): void {
		const {slowdown} = this;
		if (slowdown > DECREASE_ABOVE_SLOWDOWN) {
			this.#decrease(now);
		} else if (slowdown < INCREASE_BELOW_SLOWDOWN && isSaturated && now - this.#lastIncreaseAt >= INCREASE_INTERVAL_MS) {
			this.#lastIncreaseAt = now;
			this.#limit = Math.min(this.#maximum, this.#limit + 1);
		}
	}

	#decrease(now: number): void {
		if (now - this.#lastDecreaseAt >= DECREASE_INTERVAL_MS) {
			this.#lastDecreaseAt = now;
			this.#limit = Math.max(MIN_LIMIT, this.#limit * DECREASE_FACTOR);
		}
	}
}
