/**
 * Recognises requests that come back after they were refused or failed. Answers rushes: callers that were asked back
 * count their response-time objective from their first attempt, so that it is missed when they return; taken for new
 * ones, they would make new requests late too.
 */

/**
 * Difference between the moments at which two attempts say that their caller leaves, in ms. Both name the same moment;
 * the ways from the caller to the allocator differ by a busy VM's pauses.
 */
const CALLER_DEADLINE_TOLERANCE_MS = 150;
/** Requests that are remembered; some seconds of refusals in the largest rush. */
const MAX_TRACKED_REQUESTS = 20_000;

/** What is known of a request that may come back. Times in ms of the allocator's monotonic clock. */
type EarlierAttempt = {
	readonly objectiveAt: number;
	readonly callerLeavesAt: number;
};

/** Requests that ended without their answer, by fingerprint. */
export class CallerRetries {
	static create(): CallerRetries {
		return new CallerRetries();
	}

	readonly #attempts = new Map<string, EarlierAttempt>();

	private constructor() {
		// Made by `create`.
	}

	/** A request ended without its answer. */
	note(fingerprint: string, {objectiveAt, callerLeavesAt}: EarlierAttempt, now: number): void {
		// The latest is last in the map.
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
	 * @param callerLeavesAt - When the caller of this attempt leaves.
	 * @returns When the request's objective ends, where an earlier attempt of it is known.
	 */
	objectiveAt(fingerprint: string, callerLeavesAt: number): number | undefined {
		const earlier = this.#attempts.get(fingerprint);
		return earlier !== undefined && Math.abs(earlier.callerLeavesAt - callerLeavesAt) <= CALLER_DEADLINE_TOLERANCE_MS ? earlier.objectiveAt : undefined;
	}
}
