/**
 * Bounds how often requests are sent a second time, over all VMs and any span of a window, so that failing upstreams do
 * not multiply their own load.
 */
import {SlidingWindow} from './sliding-window.js';
import {SUCCESSOR_INITIAL_FILL} from './scope.js';

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
const USED_SLACK_RATIO = 0.45;
/** Parts in which the window is kept. */
const WINDOW_INTERVALS = 20;

/** Counts of one pool. Times in ms of the caller's monotonic clock. */
export class PoolRetryBudget {
	static create(bounds: RetryBounds): PoolRetryBudget {
		return new PoolRetryBudget(bounds);
	}

	readonly #bounds: RetryBounds;
	readonly #requests: SlidingWindow;
	readonly #retries: SlidingWindow;

	private constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
		this.#requests = SlidingWindow.create(bounds.windowMs, WINDOW_INTERVALS);
		this.#retries = SlidingWindow.create(bounds.windowMs, WINDOW_INTERVALS);
	}

	/** A request arrived (no repeat). */
	noteRequest(now: number): void {
		this.#requests.add(1, now);
	}

	/** Another process may just have spent its part of the slack, of which this one uses a little only. */
	noteTakeover(now: number): void {
		this.#retries.add(this.#bounds.slack * (USED_SLACK_RATIO - SUCCESSOR_INITIAL_FILL), now);
	}

	/**
	 * Spends one repeat.
	 *
	 * @param share - The part of the slack that this process may use: 1 for an allocator of all VMs.
	 * @returns Whether the request may be sent again.
	 */
	spend(now: number, share: number): boolean {
		const allowed = (this.#bounds.ratio * this.#requests.sum(now)) + (this.#bounds.slack * USED_SLACK_RATIO * share);
		if (this.#retries.sum(now) + 1 > allowed) {
			return false;
		}

		this.#retries.add(1, now);
		return true;
	}
}
