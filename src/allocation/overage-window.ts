/**
 * What a customer was granted beyond its quota in any span of a window. Answers a customer that goes on sending several
 * times its quota: each span of the window may hold the quota's own grants and as much beyond them as is tolerated.
 */
import {SlidingWindow} from './sliding-window.js';

/** Parts in which the window is kept. */
const WINDOW_INTERVALS = 16;

/** One customer's window. Times in ms of the caller's monotonic clock. */
export class OverageWindow {
	static create(windowMs: number): OverageWindow {
		return new OverageWindow(windowMs);
	}

	readonly #granted: SlidingWindow;
	/** Greatest level of the quota's bucket in each part; what it held may still be spent inside the same window. */
	readonly #levels: SlidingWindow;

	private constructor(windowMs: number) {
		this.#granted = SlidingWindow.create(windowMs, WINDOW_INTERVALS);
		this.#levels = SlidingWindow.create(windowMs, WINDOW_INTERVALS);
	}

	/** @param level - What the bucket of the quota holds now. */
	noteLevel(level: number, now: number): void {
		this.#levels.raiseTo(level, now);
	}

	/** Something was granted beyond the quota. */
	noteGrant(cost: number, now: number): void {
		this.#granted.add(cost, now);
	}

	/** @returns What counts against the tolerated sum beside what the quota adds in a whole window. */
	used(now: number): number {
		return this.#granted.sum(now) + this.#levels.max(now);
	}
}
