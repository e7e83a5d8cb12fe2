/**
 * Limits retries to other upstreams, over all VMs and any span of the window's length, so that failing upstreams do not
 * multiply their own load.
 */
import {SlidingWindow} from './sliding-window.js';
import {SUCCESSOR_INITIAL_FILL} from './scope.js';

/** Limits set by the deployment. */
export type RetryBounds = {
	/** Allowed retries per request in the window. */
	readonly ratio: number;
	/** Allowed retries in addition to those. */
	readonly slack: number;
	readonly windowMs: number;
};

/**
 * Fraction of the slack that an allocator uses. The rest covers what standalone VMs grant, half of this fraction, and three
 * successors with a tenth of the slack each.
 */
const USED_SLACK_RATIO = 0.45;
/** Number of intervals that the window is divided into. */
const WINDOW_INTERVALS = 20;

/** The retry budget of one pool. Times in ms of the caller's monotonic clock. */
export class PoolRetryBudget {
	static create(bounds: RetryBounds): PoolRetryBudget {
		return new PoolRetryBudget(bounds);
	}

	readonly #bounds: RetryBounds;
	readonly #requests: SlidingWindow;
	readonly #retries: SlidingWindow;

	private constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
		// A sliding window covers up to one interval more than its length. Requests must be counted over no more than the window.
		const countedIntervals = WINDOW_INTERVALS - 1;
		this.#requests = SlidingWindow.create(bounds.windowMs * countedIntervals / WINDOW_INTERVALS, countedIntervals);
		this.#retries = SlidingWindow.create(bounds.windowMs, WINDOW_INTERVALS);
	}

	/** Records a new request (not a retry). */
	noteRequest(now: number): void {
		this.#requests.add(1, now);
	}

	/** Reserves most of the slack after a takeover, as the previous allocator may have just spent its part of it. */
	noteTakeover(now: number): void {
		this.#retries.add(this.#bounds.slack * (USED_SLACK_RATIO - SUCCESSOR_INITIAL_FILL), now);
	}

	/**
	 * Spends one retry, if the budget allows it.
	 *
	 * @param share - Share of the slack that this process may use; 1 for the allocator of all VMs.
	 * @returns Whether the request may be retried.
	 */
	spend(now: number, share: number): boolean {
		const allowed = (this.#bounds.ratio * this.#requests.sum(now)) + (this.#bounds.slack * USED_SLACK_RATIO * share);
		if (this.#retries.sum(now) + 1 > allowed) {
			return false;
		}

		this.#retries.add(1, now);
		return true;
	}

	/** Returns a retry that was spent at a time, if it was not made. */
	refund(spentAt: number, now: number): void {
		this.#retries.remove(1, spentAt, now);
	}
}
