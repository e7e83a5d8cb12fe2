/**
 * Counts how requests ended by pool and tier.
 */
import {RequestOutcome} from '../base/metrics.js';

/** Ended requests of one tier of one pool since the start of the process. */
export type TierCount = {
	/** `<team>/<service>`. */
	readonly pool: string;
	/** 0 is the most important tier. */
	readonly tier: number;
	/** Whole answers whose first part arrived before the deadline: the goodput. */
	inTime: number;
	/** Whole answers whose first part arrived later. */
	late: number;
	/** Errors after dispatch. */
	failed: number;
	/** Errors without dispatch. */
	refused: number;
};

/** Counts of one node; pools and tiers come from the settings, so that their number is bounded. */
export class TierCounts {
	static create(): TierCounts {
		return new TierCounts();
	}

	readonly #counts = new Map<string, TierCount>();

	private constructor() {
		// Nothing was counted.
	}

	get all(): ReadonlyArray<Readonly<TierCount>> {
		return [...this.#counts.values()];
	}

	/** @param isInTime - Whether the first part of a whole answer arrived before the deadline. */
	note(pool: string, tier: number, outcome: RequestOutcome, isInTime: boolean): void {
		const key = `${pool} ${tier}`;
		const count = this.#counts.get(key) ?? {
			pool, tier, inTime: 0, late: 0, failed: 0, refused: 0,
		};
		this.#counts.set(key, count);
		if (outcome === RequestOutcome.Done) {
			count[isInTime ? 'inTime' : 'late'] += 1;
		} else {
			count[outcome] += 1;
		}
	}
}
