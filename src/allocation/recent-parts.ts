/**
 * Amounts of the last span of time, kept in parts of it.
 */

/** A ring of parts, and one part more than the span, so that any span of its length is covered. Times in ms of the caller's monotonic clock. */
export class RecentParts {
	/**
	 * @param spanMs - Length of the span.
	 * @param count - Parts that it is kept in; an amount is forgotten up to one part late.
	 */
	static create(spanMs: number, count: number): RecentParts {
		return new RecentParts(spanMs, count);
	}

	readonly #spanMs: number;
	readonly #count: number;
	readonly #amounts: number[];
	#part = 0;

	private constructor(spanMs: number, count: number) {
		this.#spanMs = spanMs;
		this.#count = count;
		this.#amounts = Array.from({length: count + 1}, () => 0);
	}

	/** Adds to the current part. */
	add(amount: number, now: number): void {
		this.#amounts[this.#advance(now)]! += amount;
	}

	/** Raises the current part to a level that was seen in it. */
	raise(level: number, now: number): void {
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
	greatest(now: number): number {
		this.#advance(now);
		return Math.max(...this.#amounts);
	}

	/** @returns Index of the current part; the parts since the last call are empty. */
	#advance(now: number): number {
		const part = Math.floor(now * this.#count / this.#spanMs);
		for (let cleared = Math.max(this.#part + 1, part - this.#count); cleared <= part; cleared += 1) {
			this.#amounts[cleared % (this.#count + 1)] = 0;
		}

		this.#part = Math.max(this.#part, part);
		return this.#part % (this.#count + 1);
	}
}
