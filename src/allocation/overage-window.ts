/**
 * Tracks what a customer was granted beyond its quota within a sliding window. For a customer that keeps sending several
 * times its quota, any span of the window's length may contain the quota's own grants plus the tolerated overage.
 */
import {SlidingWindow} from './sliding-window.js';
import {type Restore} from './unchanged-state.js';

/** Number of intervals that the window is divided into. */
const WINDOW_INTERVALS = 16;

/** The overage of one customer. Times in ms of the caller's monotonic clock. */
export class OverageWindow {
	static create(windowMs: number): OverageWindow {
		return new OverageWindow(windowMs);
	}

	readonly #granted: SlidingWindow;
	/** Highest level of the quota's token bucket in each interval; those tokens may still be spent within the same window. */
	readonly #levels: SlidingWindow;

	private constructor(windowMs: number) {
		this.#granted = SlidingWindow.create(windowMs, WINDOW_INTERVALS);
		this.#levels = SlidingWindow.create(windowMs, WINDOW_INTERVALS);
	}

	/** @returns A function that restores the current state, after an evaluation that must change nothing. */
	snapshot(): Restore {
		const restores = [this.#granted.snapshot(), this.#levels.snapshot()];
		return () => {
			for (const restore of restores) {
				restore();
			}
		};
	}

	/** @param level - Current level of the quota's token bucket. */
	noteLevel(level: number, now: number): void {
		this.#levels.raiseTo(level, now);
	}

	/** Records a grant beyond the quota. */
	noteGrant(cost: number, now: number): void {
		this.#granted.add(cost, now);
	}

	/** @returns The amount that counts against the overage limit, excluding what the quota refills in a whole window. */
	used(now: number): number {
		return this.#granted.sum(now) + this.#levels.max(now);
	}
}
