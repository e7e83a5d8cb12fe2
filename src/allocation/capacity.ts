/**
 * What the usable upstreams of a pool can process. An upstream is bound by its slots or, if it states a limit, by the
 * number of requests that it takes.
 */

const MS_PER_SECOND = 1000;

/** One usable upstream. */
export type UpstreamCapacity = {
	/** Slots, weighted by the upstream's pace. */
	readonly slots: number;
	/** Requests per second that its limit allows; `undefined` if it has none. */
	readonly startsPerSecond: number | undefined;
	/** Time until its limit allows the next request, in ms. */
	readonly startDelayMs: number;
};

/** The capacity of a pool at one time. */
export class Capacity {
	static create(upstreams: readonly UpstreamCapacity[]): Capacity {
		return new Capacity(upstreams);
	}

	/** Slots of the upstreams without a limit. */
	readonly #unlimitedSlots: number;
	readonly #limited: ReadonlyArray<{readonly slots: number; readonly startsPerMs: number}>;
	readonly #startDelayMs: number;

	private constructor(upstreams: readonly UpstreamCapacity[]) {
		let unlimitedSlots = 0;
		const limited = [];
		for (const {slots, startsPerSecond} of upstreams) {
			if (startsPerSecond === undefined) {
				unlimitedSlots += slots;
			} else {
				limited.push({slots, startsPerMs: startsPerSecond / MS_PER_SECOND});
			}
		}

		this.#unlimitedSlots = unlimitedSlots;
		this.#limited = limited;
		this.#startDelayMs = Math.min(...upstreams.map(({startDelayMs}) => startDelayMs));
	}

	/** Number of upstreams, if all of them have a limit; 0 otherwise. */
	get limitedOnlyCount(): number {
		return this.#unlimitedSlots > 0 ? 0 : this.#limited.length;
	}

	/** Time until any upstream may get a request, as far as limits decide, in ms. */
	get startDelayMs(): number {
		return this.limitedOnlyCount > 0 ? this.#startDelayMs : 0;
	}

	/** @returns Number of requests of this service time that are processed concurrently; an upstream with a limit may be unable to fill its slots. */
	effectiveSlots(serviceMs: number): number {
		let slots = this.#unlimitedSlots;
		for (const {slots: available, startsPerMs} of this.#limited) {
			slots += Math.min(available, startsPerMs * serviceMs);
		}

		return this.limitedOnlyCount > 0 ? slots : Math.max(1, slots);
	}
}
