/**
 * Outlier ejection of failing or stalled upstreams, and slow start when they return.
 */

const FAILURES_TO_EJECT = 2;
const INITIAL_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 8000;
/** Healthy time after which the ejection backoff is reset. */
const EJECTION_BACKOFF_RESET_MS = 30_000;
const MIN_STALL_MS = 1000;
const STALL_GAP_FACTOR = 8;
const STALL_PREFILL_FACTOR = 3;

/** Health of one upstream. Times are milliseconds of the caller's monotonic clock. */
export class Health {
	static create(): Health {
		return new Health();
	}

	#consecutiveFailures = 0;
	#ejectionCount = 0;
	#ejectedUntil = Number.NEGATIVE_INFINITY;
	#slowStartSlots = Number.POSITIVE_INFINITY;

	private constructor() {
		// Instances come from `create`.
	}

	/** End of the current ejection; in the past if the upstream is not ejected. */
	get ejectedUntil(): number {
		return this.#ejectedUntil;
	}

	/** Whether the upstream has been ejected and has not yet completed slow start. */
	get isOnProbation(): boolean {
		return this.#slowStartSlots !== Number.POSITIVE_INFINITY;
	}

	/** @returns Maximum number of requests in flight that the health of the upstream permits. */
	slots(now: number): number {
		return now < this.#ejectedUntil ? 0 : this.#slowStartSlots;
	}

	/** Records that a first token or a complete response arrived. */
	noteSuccess(limit: number): void {
		this.#consecutiveFailures = 0;
		this.#slowStartSlots *= 2;
		if (this.#slowStartSlots >= limit) {
			this.#slowStartSlots = Number.POSITIVE_INFINITY;
		}
	}

	/** @returns Whether the failure ejects the upstream. */
	noteFailure(now: number): boolean {
		this.#consecutiveFailures += 1;
		if (this.#consecutiveFailures < FAILURES_TO_EJECT && !this.isOnProbation) {
			return false;
		}

		return this.eject(now);
	}

	/**
	 * Ejects the upstream after a refused connection. A retry is cheap because the request was not sent, so the ejection
	 * has no backoff and a restarted upstream is used again within about one second.
	 *
	 * @returns Whether the upstream was in use until now.
	 */
	noteRefused(now: number): boolean {
		if (now < this.#ejectedUntil) {
			return false;
		}

		this.#ejectedUntil = now + INITIAL_EJECTION_MS;
		this.#slowStartSlots = 1;
		this.#consecutiveFailures = 0;
		return true;
	}

	/** @returns Whether the upstream was in use until now. */
	eject(now: number): boolean {
		if (now < this.#ejectedUntil) {
			return false;
		}

		this.#ejectionCount = now - this.#ejectedUntil > EJECTION_BACKOFF_RESET_MS ? 0 : this.#ejectionCount;
		this.#ejectedUntil = now + Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * (2 ** this.#ejectionCount));
		this.#ejectionCount += 1;
		this.#slowStartSlots = 1;
		this.#consecutiveFailures = 0;
		return true;
	}
}

/**
 * @param usualGapMs - Smoothed inter-token gap.
 * @param pendingPrefillMs - Expected duration of pending prefills, during which no token may arrive.
 * @returns Time in milliseconds without progress, with work in flight, after which an engine counts as stalled.
 */
export function stallThreshold(usualGapMs: number, pendingPrefillMs: number): number {
	return Math.max(MIN_STALL_MS, STALL_GAP_FACTOR * usualGapMs) + (STALL_PREFILL_FACTOR * pendingPrefillMs);
}
