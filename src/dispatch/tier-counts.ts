/**
 * Request outcome counters by pool and tier.
 */
import {RequestOutcome} from '../base/metrics.js';

/** Outcome counts of one tier of one pool since process start. */
export type TierCount = {
	/** `<team>/<service>`. */
	readonly pool: string;
	/** Priority tier; 0 has the highest priority. */
	readonly tier: number;
	/** Complete responses whose first chunk arrived before the deadline (goodput). */
	inTime: number;
	/** Complete responses whose first chunk arrived after the deadline. */
	late: number;
	/** Errors after dispatch. */
	failed: number;
	/** Errors without dispatch. */
	refused: number;
};

/** Outcome counters of one node. Their number is bounded because pools and tiers come from the settings. */
export class TierCounts {
	static create(): TierCounts {
		return new TierCounts();
	}

	readonly #counts = new Map<string, TierCount>();

	private constructor() {
		// Instances come from `create`.
	}

	get all(): ReadonlyArray<Readonly<TierCount>> {
		return [...this.#counts.values()];
	}

	/** @param isInTime - Whether the first chunk of a complete response arrived before the deadline. */
	record(pool: string, tier: number, outcome: RequestOutcome, isInTime: boolean): void {
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
