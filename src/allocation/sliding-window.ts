/**
 * Sums and maxima over a sliding time window, kept per interval of the window.
 */
import {type Restore} from './unchanged-state.js';

/**
 * A ring buffer of intervals. It holds one interval more than the window, so that any span of the window's length is
 * covered. Times in ms of the caller's monotonic clock.
 */
export class SlidingWindow {
	/**
	 * @param windowMs - Length of the window.
	 * @param intervalCount - Number of intervals in the window; an amount expires up to one interval late.
	 */
	static create(windowMs: number, intervalCount: number): SlidingWindow {
		return new SlidingWindow(windowMs, intervalCount);
	}

	readonly #windowMs: number;
	readonly #intervalCount: number;
	readonly #amounts: number[];
	#interval = 0;

	private constructor(windowMs: number, intervalCount: number) {
		this.#windowMs = windowMs;
		this.#intervalCount = intervalCount;
		this.#amounts = Array.from({length: intervalCount + 1}, () => 0);
	}

	/** @returns A function that restores the current state, after an evaluation that must change nothing. */
	snapshot(): Restore {
		const amounts = [...this.#amounts];
		const interval = this.#interval;
		return () => {
			this.#amounts.splice(0, amounts.length, ...amounts);
			this.#interval = interval;
		};
	}

	/** Adds an amount to the current interval. */
	add(amount: number, now: number): void {
		this.#amounts[this.#advance(now)]! += amount;
	}

	/** Removes an amount that was added at an earlier time, unless it has expired. */
	remove(amount: number, addedAt: number, now: number): void {
		this.#advance(now);
		const interval = Math.floor(addedAt * this.#intervalCount / this.#windowMs);
		if (interval >= this.#interval - this.#intervalCount) {
			this.#amounts[interval % (this.#intervalCount + 1)]! -= amount;
		}
	}

	/** Raises the current interval to a level observed in it, if that is higher. */
	raiseTo(level: number, now: number): void {
		const index = this.#advance(now);
		this.#amounts[index] = Math.max(this.#amounts[index]!, level);
	}

	/** @returns The sum over all intervals. */
	sum(now: number): number {
		this.#advance(now);
		let total = 0;
		for (const amount of this.#amounts) {
			total += amount;
		}

		return total;
	}

	/** @returns The largest value of any interval. */
	max(now: number): number {
		this.#advance(now);
		return Math.max(...this.#amounts);
	}

	/** @returns Time until the sum over all intervals is no more than `amount` unless something is added, in ms. */
	msUntil(amount: number, now: number): number {
		let excess = this.sum(now) - amount;
		const intervals = this.#intervalCount + 1;
		for (let interval = this.#interval - this.#intervalCount; interval <= this.#interval; interval += 1) {
			if (excess <= 0) {
				return 0;
			}

			excess -= this.#amounts[(interval + intervals) % intervals]!;
			if (excess <= 0) {
				return ((interval + intervals) * this.#windowMs / this.#intervalCount) - now;
			}
		}

		return this.#windowMs;
	}

	/** @returns The index of the current interval, after clearing the intervals that began since the last call. */
	#advance(now: number): number {
		const interval = Math.floor(now * this.#intervalCount / this.#windowMs);
		for (let cleared = Math.max(this.#interval + 1, interval - this.#intervalCount); cleared <= interval; cleared += 1) {
			this.#amounts[cleared % (this.#intervalCount + 1)] = 0;
		}

		this.#interval = Math.max(this.#interval, interval);
		return this.#interval % (this.#intervalCount + 1);
	}
}
