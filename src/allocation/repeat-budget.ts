/**
 * Bounds how often requests are sent a second time, over all VMs and any span of a window, so that failing upstreams do
 * not multiply their own load.
 */

/** What the deployment allows. */
export type RepeatBounds = {
	/** Repeats for each request of the window. */
	readonly ratio: number;
	/** Repeats beyond these. */
	readonly slack: number;
	readonly windowMs: number;
};

/**
 * Part of the slack that is used; the rest covers repeats granted by an allocator that a VM has just left, and requests
 * whose first sending never arrived.
 */
const USED_SLACK = 0.6;
/** The window is counted in this many parts, and one more so that any span of its length is covered. */
const PARTS = 20;

/** Counts of one pool. Times in ms of the caller's monotonic clock. */
export class RepeatBudget {
	static create(bounds: RepeatBounds): RepeatBudget {
		return new RepeatBudget(bounds);
	}

	readonly #bounds: RepeatBounds;
	readonly #requests: number[] = emptyCounts();
	readonly #repeats: number[] = emptyCounts();
	#part = 0;

	private constructor(bounds: RepeatBounds) {
		this.#bounds = bounds;
	}

	/** A request arrived (no repeat). */
	noteRequest(now: number): void {
		this.#advance(now);
		this.#requests[this.#part % (PARTS + 1)]! += 1;
	}

	/**
	 * Spends one repeat.
	 *
	 * @param share - The part of the slack that this process may use: 1 for an allocator of all VMs.
	 * @returns Whether the request may be sent again.
	 */
	spend(now: number, share: number): boolean {
		this.#advance(now);
		const allowed = (this.#bounds.ratio * sum(this.#requests)) + (this.#bounds.slack * USED_SLACK * share);
		if (sum(this.#repeats) + 1 > allowed) {
			return false;
		}

		this.#repeats[this.#part % (PARTS + 1)]! += 1;
		return true;
	}

	#advance(now: number): void {
		const part = Math.floor(now * PARTS / this.#bounds.windowMs);
		const first = Math.max(this.#part + 1, part - PARTS);
		for (let cleared = first; cleared <= part; cleared += 1) {
			this.#requests[cleared % (PARTS + 1)] = 0;
			this.#repeats[cleared % (PARTS + 1)] = 0;
		}

		this.#part = Math.max(this.#part, part);
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function emptyCounts(): number[] {
	return Array.from({length: PARTS + 1}, () => 0);
}
