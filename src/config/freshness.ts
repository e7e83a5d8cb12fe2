/**
 * Determines from the freshness rows whether each region can still reach the store. Performs no I/O.
 */
import {type RegionRow} from './rows.js';

/** Interval at which one node of each region rewrites the region's row, in ms. */
export const FRESHNESS_INTERVAL_MS = 2000;
/** Time without a change of its row after which a region counts as cut off, in ms. */
export const FRESHNESS_TIMEOUT_MS = 5000;

/** State of a region according to the observations of its row. */
export const RegionState = {
	/** The row is known to have changed within the timeout. */
	Fresh: 'fresh',
	/** The row may have changed within the timeout; another read is needed to decide. */
	Uncertain: 'uncertain',
	/** The row is known not to have changed within the timeout. */
	CutOff: 'cut-off',
} as const;

export type RegionState = (typeof RegionState)[keyof typeof RegionState];

type Observation = {
	version: number;
	/** Time of the first read that returned this version, on this process's monotonic clock. */
	firstSeenAt: number;
	/** Time of the last read before it; the row changed after that time. */
	changedAfter: number;
};

/** Tracks this process's observations of the region rows. */
export class RegionFreshness {
	static create(): RegionFreshness {
		return new RegionFreshness();
	}

	readonly #observations = new Map<string, Observation>();
	#lastReadAt = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Instances come from `create`.
	}

	/**
	 * @param rows - All region rows, as just read.
	 * @param readAt - Monotonic time at which the read was sent.
	 * @param now - Monotonic time at which its response arrived.
	 */
	observe(rows: readonly RegionRow[], readAt: number, now: number): void {
		// Responses of concurrent reads may arrive out of order; an older one would be mistaken for a change.
		if (readAt < this.#lastReadAt) {
			return;
		}

		for (const {region, version} of rows) {
			const previous = this.#observations.get(region);
			if (previous?.version !== version) {
				const hasIncreased = previous !== undefined && version > previous.version;
				this.#observations.set(region, {
					version, firstSeenAt: now, changedAfter: hasIncreased ? this.#lastReadAt : Number.NEGATIVE_INFINITY,
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
		return new Map([...this.#observations].map(([region, {firstSeenAt, changedAfter}]) => {
			if (now - changedAfter <= FRESHNESS_TIMEOUT_MS) {
				return [region, RegionState.Fresh];
			}

			return [region, now - firstSeenAt > FRESHNESS_TIMEOUT_MS ? RegionState.CutOff : RegionState.Uncertain];
		}));
	}
}
