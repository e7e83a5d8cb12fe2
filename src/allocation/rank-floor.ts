/**
 * Keeps a small part of a pool's room for each rank, so that a load peak of important requests does not leave a rank
 * without any answer on time. Ranks that wait earn credit from what others are granted, and spend it on their own requests.
 */

/** Part of the granted service time that each rank earns while it waits: small, as important requests go first. */
export const FLOOR_RATIO = 0.05;
/** Largest credit of a rank, in ms of service time; a rank that waits rarely does not save up for a burst. */
const MAX_CREDIT_MS = 2000;

/** Credits of the ranks of one pool, in ms of service time. */
export class RankFloor {
	static create(): RankFloor {
		return new RankFloor();
	}

	readonly #credits = new Map<number, number>();

	private constructor() {
		// Instances come from `create`.
	}

	clear(): void {
		this.#credits.clear();
	}

	/** Records a grant while requests of some ranks wait. */
	noteGrant(rank: number, serviceMs: number, waitingRanks: Iterable<number>): void {
		for (const other of waitingRanks) {
			if (other !== rank) {
				this.#credits.set(other, Math.min(MAX_CREDIT_MS, (this.#credits.get(other) ?? 0) + (FLOOR_RATIO * serviceMs)));
			}
		}

		const credit = (this.#credits.get(rank) ?? 0) - serviceMs;
		if (credit > 0) {
			this.#credits.set(rank, credit);
		} else {
			this.#credits.delete(rank);
		}
	}

	/** @returns Whether a rank has credit for a request. */
	covers(rank: number, serviceMs: number): boolean {
		return (this.#credits.get(rank) ?? 0) >= Math.min(serviceMs, MAX_CREDIT_MS);
	}

	/** Ranks that have credit. */
	get ranks(): Iterable<number> {
		return this.#credits.keys();
	}
}
