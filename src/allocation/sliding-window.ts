/**
 * Amounts of the last span of time, kept in parts of it.
 */

/** A ring of parts, and one part more than the span, so that any span of its length is covered. Times in ms of the caller's monotonic clock. */
export class SlidingWindow {
	/**
	 * @param windowMs - Length of the span.
	 * @param intervalCount - Parts that it is kept in; an amount is forgotten up to one part late.
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

	/** Adds to the current part. */
	add(amount: number, now: number): void {
		this.#amounts[this.#advance(now)]! += amount;
	}

	/** Raises the current part to a level that was seen in it. */
	raiseTo(level: number, now: number): void {
		const index = this.#advance(now);
		this.#amounts[index] = Math.max(this.#amounts[index]!, level);
	}

	/** @returns All parts together. */
	sum(now: number): number {
		this.#advance(now);
		let total = 0;
		for (const amount of this.#amounts) {
			total += amount;
		}

		return total;
	}

	/** @returns The greatest part. */
	max(now: number): number {
		this.#advance(now);
		return Math.max(...this.#amounts);
	}

	/** @returns Index of the current part; the parts since the last call are empty. */
	#advance(now: number): number {
		const interval = Math.floor(now * this.#intervalCount / this.#windowMs);
		for (let cleared = Math.max(this.#interval + 1, interval - this.#intervalCount); cleared <= interval; cleared += 1) {
			this.#amounts[cleared % (this.#intervalCount + 1)] = 0;
		}

		this.#interval = Math.max(this.#interval, interval);
		return this.#interval % (this.#intervalCount + 1);
	}
}
