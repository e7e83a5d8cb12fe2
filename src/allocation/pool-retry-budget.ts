/**
 * Bounds how often requests are sent a second time, over all VMs and any span of a window, so that failing upstreams do
 * not multiply their own load.
 */
import {RecentParts} from './recent-parts.js';
import {SUCCESSOR_FULLNESS} from './scope.js';

/** What the deployment allows. */
export type RetryBounds = {
	/** Repeats for each request of the window. */
	readonly ratio: number;
	/** Repeats beyond these. */
	readonly slack: number;
	readonly windowMs: number;
};

/**
 * Part of the slack that is used; the rest covers what VMs grant alone, half of it, and three successors, a tenth of the slack each.
 */
const USED_SLACK = 0.45;
/** Parts in which the window is kept. */
const PARTS = 20;

/** Counts of one pool. Times in ms of the caller's monotonic clock. */
export class RepeatBudget {
	static create(bounds: RetryBounds): RepeatBudget {
		return new RepeatBudget(bounds);
	}

	readonly #bounds: RetryBounds;
	readonly #requests: RecentParts;
	readonly #repeats: RecentParts;

	private constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
		this.#requests = RecentParts.create(bounds.windowMs, PARTS);
		this.#repeats = RecentParts.create(bounds.windowMs, PARTS);
	}

	/** A request arrived (no repeat). */
	noteRequest(now: number): void {
		this.#requests.add(1, now);
	}

	/** Another process may just have spent its part of the slack, of which this one uses a little only. */
	noteSuccession(now: number): void {
		this.#repeats.add(this.#bounds.slack * (USED_SLACK - SUCCESSOR_FULLNESS), now);
	}

	/**
	 * Spends one repeat.
	 *
	 * @param share - The part of the slack that this process may use: 1 for an allocator of all VMs.
	 * @returns Whether the request may be sent again.
	 */
	spend(now: number, share: number): boolean {
		const allowed = (this.#bounds.ratio * this.#requests.sum(now)) + (this.#bounds.slack * USED_SLACK * share);
		if (this.#repeats.sum(now) + 1 > allowed) {
			return false;
		}

		this.#repeats.add(1, now);
		return true;
	}
}
