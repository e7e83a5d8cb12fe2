/**
 * Ejection of an upstream that fails or stalls, and its slow start on return.
 */

const FAILURES_TO_EJECT = 2;
const FIRST_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 8000;
/** An upstream that stayed healthy for this long starts with the shortest ejection again. */
const FORGIVE_AFTER_MS = 30_000;
const STALL_MIN_MS = 1000;
const STALL_GAPS = 8;
const STALL_PREFILL_FACTOR = 3;

/** Health of one upstream. Times in ms of the caller's monotonic clock. */
export class Health {
	static create(): Health {
		return new Health();
	}

	#failures = 0;
	#ejections = 0;
	#ejectedUntil = Number.NEGATIVE_INFINITY;
	#slowStartSlots = Number.POSITIVE_INFINITY;

	private constructor() {
		// Instances come from `create`.
	}

	/** End of the ejection; in the past for an upstream in use. */
	get ejectedUntil(): number {
		return this.#ejectedUntil;
	}

	/** Whether it has returned and has not yet proved itself. */
	get isOnProbation(): boolean {
		return this.#slowStartSlots !== Number.POSITIVE_INFINITY;
	}

	/** @returns Greatest number of requests in flight that its health permits. */
	slots(now: number): number {
		return now < this.#ejectedUntil ? 0 : this.#slowStartSlots;
	}

	/** A first token or a whole answer arrived. */
	noteSuccess(limit: number): void {
		this.#failures = 0;
		this.#slowStartSlots *= 2;
		if (this.#slowStartSlots >= limit) {
			this.#slowStartSlots = Number.POSITIVE_INFINITY;
		}
	}

	/** @returns Whether the failure ejects the upstream. */
	noteFailure(now: number): boolean {
		this.#failures += 1;
		if (this.#failures < FAILURES_TO_EJECT && !this.isOnProbation) {
			return false;
		}

		return this.eject(now);
	}

	/**
	 * A connection was refused. Trying again costs little, as the request goes elsewhere unsent, so that the pause does not
	 * grow: an upstream that restarts is used again within about a second.
	 *
	 * @returns Whether it was in use until now.
	 */
	noteRefused(now: number): boolean {
		if (now < this.#ejectedUntil) {
			return false;
		}

		this.#ejectedUntil = now + FIRST_EJECTION_MS;
		this.#slowStartSlots = 1;
		this.#failures = 0;
		return true;
	}

	/** @returns Whether it was in use until now. */
	eject(now: number): boolean {
		if (now < this.#ejectedUntil) {
			return false;
		}

		this.#ejections = now - this.#ejectedUntil > FORGIVE_AFTER_MS ? 0 : this.#ejections;
		this.#ejectedUntil = now + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * (2 ** this.#ejections));
		this.#ejections += 1;
		this.#slowStartSlots = 1;
		this.#failures = 0;
		return true;
	}
}

/**
 * @param usualGapMs - Usual time between tokens.
 * @param pendingPrefillMs - Time that the prompts being prefilled should take; no token may arrive meanwhile.
 * @returns Silence in ms, with work in flight, after which an engine counts as stalled.
 */
export function stallThreshold(usualGapMs: number, pendingPrefillMs: number): number {
	return Math.max(STALL_MIN_MS, STALL_GAPS * usualGapMs) + (STALL_PREFILL_FACTOR * pendingPrefillMs);
}
