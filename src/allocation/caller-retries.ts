/**
 * Recognises requests that callers retry after a refusal or failure. The response-time objective of a retried request
 * counts from the first attempt, so in a load spike it is usually missed by the time of the retry; if retries were
 * treated as new requests, they would make new requests late too.
 */

/**
 * Tolerance when comparing the moments at which two attempts say that their caller disconnects, in ms. Both state the same
 * moment, but the delay from the caller to the allocator varies by the pauses of a busy VM.
 */
const CALLER_DEADLINE_TOLERANCE_MS = 150;
/** Holds several seconds of refusals in the largest load spike. */
const MAX_TRACKED_REQUESTS = 20_000;

/** A request that may be retried. Times in ms of the allocator's monotonic clock. */
type EarlierAttempt = {
	readonly objectiveAt: number;
	readonly callerLeavesAt: number;
};

/** Requests that ended without an answer, by fingerprint. */
export class CallerRetries {
	static create(): CallerRetries {
		return new CallerRetries();
	}

	readonly #attempts = new Map<string, EarlierAttempt>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Records a request that ended without an answer. */
	note(fingerprint: string, {objectiveAt, callerLeavesAt}: EarlierAttempt, now: number): void {
		// Re-inserting keeps the map ordered from the oldest to the most recent record.
		this.#attempts.delete(fingerprint);
		this.#attempts.set(fingerprint, {objectiveAt, callerLeavesAt});
		for (const [oldest, {callerLeavesAt: oldestLeavesAt}] of this.#attempts) {
			if (oldestLeavesAt > now && this.#attempts.size <= MAX_TRACKED_REQUESTS) {
				break;
			}

			this.#attempts.delete(oldest);
		}
	}

	/**
	 * @param callerLeavesAt - When the caller of this attempt disconnects.
	 * @returns When the objective of the earlier attempt is missed, or `undefined` if no earlier attempt is known.
	 */
	objectiveAt(fingerprint: string, callerLeavesAt: number): number | undefined {
		const earlier = this.#attempts.get(fingerprint);
		return earlier !== undefined && Math.abs(earlier.callerLeavesAt - callerLeavesAt) <= CALLER_DEADLINE_TOLERANCE_MS ? earlier.objectiveAt : undefined;
	}
}
