/**
 * What a customer was granted beyond its quota in any span of a window. Answers a customer that goes on sending several
 * times its quota: each span of the window may hold the quota's own grants and as much beyond them as is tolerated.
 */

/** The window is counted in this many parts, and one more so that any span of its length is covered. */
const PARTS = 16;

/** One customer's window. Times in ms of the caller's monotonic clock. */
export class ToleratedWindow {
	static create(windowMs: number): ToleratedWindow {
		return new ToleratedWindow(windowMs);
	}

	readonly #windowMs: number;
	readonly #granted = zeros();
	/** Greatest level of the quota's bucket in each part; what it held may still be spent inside the same window. */
	readonly #levels = zeros();
	#part = 0;

	private constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** @param level - What the bucket of the quota holds now. */
	noteLevel(level: number, now: number): void {
		const index = this.#advance(now);
		this.#levels[index] = Math.max(this.#levels[index]!, level);
	}

	/** Something was granted beyond the quota. */
	noteGrant(cost: number, now: number): void {
		this.#granted[this.#advance(now)]! += cost;
	}

	/** @returns What counts against the tolerated sum beside what the quota adds in a whole window. */
	used(now: number): number {
		this.#advance(now);
		return this.#granted.reduce((sum, granted) => sum + granted, 0) + Math.max(...this.#levels);
	}

	/** @returns Index of the current part. */
	#advance(now: number): number {
		const part = Math.floor(now * PARTS / this.#windowMs);
		for (let cleared = Math.max(this.#part + 1, part - PARTS); cleared <= part; cleared += 1) {
			this.#granted[cleared % (PARTS + 1)] = 0;
			this.#levels[cleared % (PARTS + 1)] = 0;
		}

		this.#part = Math.max(this.#part, part);
		return this.#part % (PARTS + 1);
	}
}

function zeros(): number[] {
	return Array.from({length: PARTS + 1}, () => 0);
}
