/**
 * Adaptive concurrency limit of one engine, derived from inter-token latency relative to its observed minimum.
 */

const INITIAL_LIMIT = 6;
const MIN_LIMIT = 1;
/**
 * Length of an interval over which gaps are averaged before they are compared, and minimum number of its tokens. Tokens that
 * wait in a buffer arrive together: the first one late, and the others without a gap. Only their mean shows the engine's speed.
 */
const MIN_INTERVAL_MS = 100;
const MIN_INTERVAL_TOKENS = 4;
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
	/** Mean gap of the last interval, and of the one before. */
	#gapMs = 0;
	#previousGapMs = 0;
	#intervalStartedAt = Number.NEGATIVE_INFINITY;
	#intervalTokens = 0;
	#intervalGapsMs = 0;
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

	/** Mean inter-token gap of the last interval in milliseconds; 0 before the first observation. */
	get usualGapMs(): number {
		return this.#gapMs === 0 && this.#intervalTokens > 0 ? this.#intervalGapsMs / this.#intervalTokens : this.#gapMs;
	}

	/** Ratio of the inter-token gap to its observed minimum; at least 1. */
	get slowdown(): number {
		return this.#slowdownAt(this.#gapMs);
	}

	setMaximum(maximum: number): void {
		this.#maximum = maximum;
		this.#limit = Math.min(this.#limit, maximum);
	}

	/**
	 * @param gapMs - Time since the previous tokens of the same response, per token.
	 * @param isSaturated - Whether all slots are in use.
	 * @param tokens - Number of tokens that arrived together.
	 */
	noteGap(gapMs: number, isSaturated: boolean, now: number, tokens = 1): void {
		this.#intervalStartedAt = this.#intervalTokens === 0 ? now : this.#intervalStartedAt;
		this.#intervalTokens += tokens;
		this.#intervalGapsMs += gapMs * tokens;
		if (this.#intervalTokens >= MIN_INTERVAL_TOKENS && now - this.#intervalStartedAt >= MIN_INTERVAL_MS) {
			const meanMs = this.#intervalGapsMs / this.#intervalTokens;
			this.#intervalTokens = 0;
			this.#intervalGapsMs = 0;
			this.#previousGapMs = this.#gapMs;
			this.#gapMs = meanMs;
			this.#updateMinGap(now);
			// A single interval also exceeds it when an engine pauses once.
			if (this.#slowdownAt(Math.min(this.#gapMs, this.#previousGapMs)) > DECREASE_ABOVE_SLOWDOWN) {
				this.#decrease(now);
			}
		}

		this.#increase(isSaturated, now);
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
		this.#increase(isSaturated, now);
	}

	/** Resets to the minimum limit after an outage; keeps the observed minimum gap. */
	restart(): void {
		this.#limit = MIN_LIMIT;
		this.#gapMs = Math.min(this.#gapMs, this.#minGapMs, this.#previousMinGapMs);
	}

	#slowdownAt(gapMs: number): number {
		const baselineMs = Math.max(MIN_MEASURABLE_GAP_MS, Math.min(this.#minGapMs, this.#previousMinGapMs));
		return Math.min(MAX_SLOWDOWN, Math.max(1, gapMs / baselineMs));
	}

	#updateMinGap(now: number): void {
		if (now - this.#windowStartedAt > MIN_GAP_WINDOW_MS) {
			this.#previousMinGapMs = this.#minGapMs;
			this.#minGapMs = Number.POSITIVE_INFINITY;
			this.#windowStartedAt = now;
		}

		this.#minGapMs = Math.min(this.#minGapMs, this.#gapMs);
	}

	#increase(isSaturated: boolean, now: number): void {
		if (this.slowdown < INCREASE_BELOW_SLOWDOWN && isSaturated && now - this.#lastIncreaseAt >= INCREASE_INTERVAL_MS) {
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
