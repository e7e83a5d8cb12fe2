/**
 * Share of bad answers of the base version, over its whole time and at present.
 */

/** Time constant of the present share, in ms; a fault that meets both versions for a moment has to show in it. */
const PRESENT_MS = 200;
/** Number of assumed answers with the assumed share, so that the first answers do not decide alone. */
const ASSUMED_ANSWERS = 20;
/** Number of answers with the long-run share that the present share starts from. */
const PRESENT_ASSUMED_ANSWERS = 10;
/** Number of answers with the share of all routes that the share of one route starts from. */
const ROUTE_ASSUMED_ANSWERS = 10;

/** Share of bad answers, estimated from the base version. */
export class BaseRate {
	/**
	 * @param assumed - Lowest share that is assumed; rarer bad answers are not told apart from chance.
	 * @param parent - Share of a larger set of requests, from which this one starts.
	 */
	static create(assumed: number, parent?: BaseRate): BaseRate {
		return new BaseRate(assumed, parent);
	}

	readonly #assumed: number;
	readonly #parent: BaseRate | undefined;
	#total = 0;
	#bad = 0;
	#presentTotal = 0;
	#presentBad = 0;
	#notedAt = 0;

	private constructor(assumed: number, parent: BaseRate | undefined) {
		this.#assumed = assumed;
		this.#parent = parent;
	}

	get total(): number {
		return this.#total;
	}

	get bad(): number {
		return this.#bad;
	}

	note(isBad: boolean, now: number): void {
		this.#total += 1;
		this.#decay(now);
		this.#presentTotal += 1;
		if (isBad) {
			this.#bad += 1;
			this.#presentBad += 1;
		}
	}

	/** Adds counts of an earlier allocator. */
	restore(total: number, bad: number): void {
		this.#total += total;
		this.#bad += bad;
	}

	/** @returns The larger of the long-run and the present share. */
	share(now: number): number {
		const longRun = this.#longRun();
		this.#decay(now);
		const present = (this.#presentBad + (PRESENT_ASSUMED_ANSWERS * longRun)) / (this.#presentTotal + PRESENT_ASSUMED_ANSWERS);
		return Math.max(this.#assumed, longRun, present, this.#parent?.presentExcess(now) ?? 0);
	}

	/** @returns The present share if it is above the long-run share, otherwise 0; a momentary fault of all routes. */
	presentExcess(now: number): number {
		const share = this.share(now);
		return share > 2 * this.#longRun() ? share : 0;
	}

	#longRun(): number {
		return this.#parent
			? (this.#bad + (ROUTE_ASSUMED_ANSWERS * this.#parent.#longRun())) / (this.#total + ROUTE_ASSUMED_ANSWERS)
			: (this.#bad + (ASSUMED_ANSWERS * this.#assumed)) / (this.#total + ASSUMED_ANSWERS);
	}

	#decay(now: number): void {
		if (now > this.#notedAt) {
			const factor = Math.exp((this.#notedAt - now) / PRESENT_MS);
			this.#presentTotal *= factor;
			this.#presentBad *= factor;
			this.#notedAt = now;
		}
	}
}
