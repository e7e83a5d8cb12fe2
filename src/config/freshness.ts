/**
 * Judges from the freshness rows whether each region still reaches the store. Performs no I/O.
 */
import {type RegionRow} from './rows.js';

/** How often one node of each region rewrites the region's row, in ms. */
export const FRESHNESS_INTERVAL_MS = 2000;
/** A region whose row has not changed for longer is cut off, in ms. */
export const FRESHNESS_LIMIT_MS = 5000;

/** What the observations say about a region. */
export const RegionState = {
	/** The row certainly changed within the limit. */
	Fresh: 'fresh',
	/** The row may have changed within the limit; another read will tell. */
	Uncertain: 'uncertain',
	/** The row has certainly not changed within the limit. */
	CutOff: 'cut-off',
} as const;

export type RegionState = (typeof RegionState)[keyof typeof RegionState];

type Observation = {
	version: number;
	/** The first read that showed this version, on this process's monotonic clock. */
	seenAt: number;
	/** The last read before it: the row changed after that time. */
	changedAfter: number;
};

/** Observations of the regions' rows by one process. */
export class RegionFreshness {
	static create(): RegionFreshness {
		return new RegionFreshness();
	}

	readonly #observations = new Map<string, Observation>();
	#lastReadAt = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Use `create`.
	}

	/**
	 * @param rows - All region rows, as just read.
	 * @param readAt - Monotonic time at which the read was sent.
	 * @param now - Monotonic time at which its answer arrived.
	 */
	observe(rows: readonly RegionRow[], readAt: number, now: number): void {
		// Answers of concurrent reads may arrive in another order; an older one would look like a change.
		if (readAt < this.#lastReadAt) {
			return;
		}

		for (const {region, version} of rows) {
			const previous = this.#observations.get(region);
			if (previous?.version !== version) {
				const hasRisen = previous !== undefined && version > previous.version;
				this.#observations.set(region, {
					version, seenAt: now, changedAfter: hasRisen ? this.#lastReadAt : Number.NEGATIVE_INFINITY,
				});
			}
		}

		const present = new Set(rows.map(row => row.region));
		for (const region of this.#observations.keys()) {
			if (!present.has(region)) {
				this.#observations.delete(region);
			}
		}

		this.#lastReadAt = readAt;
	}

	/** @returns The state of each region that has a row. */
	states(now: number): ReadonlyMap<string, RegionState> {
		return new Map([...this.#observations].map(([region, {seenAt, changedAfter}]) => {
			if (now - changedAfter <= FRESHNESS_LIMIT_MS) {
				return [region, RegionState.Fresh];
			}

			return [region, now - seenAt > FRESHNESS_LIMIT_MS ? RegionState.CutOff : RegionState.Uncertain];
		}));
	}
}
