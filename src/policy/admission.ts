/**
 * Admission control by priority tier for one pool: pressure signals between nodes, and a check that no tier is shed
 * while lower-priority work is waiting.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Number of priority tiers, which are numbered from 0 (highest priority) to 4. */
export const TIER_COUNT = 5;
/** How long lower-priority tiers stay blocked after a tier was shed. */
export const PRESSURE_WINDOW_MS = 2000;
/** Delay between the first pressure signal and shedding, so that other nodes block lower tiers first. */
export const PRESSURE_LEAD_MS = 60;
/** Minimum interval between pressure signals for one tier. */
const SIGNAL_INTERVAL_MS = 250;

/** Admission state of one pool. Times are milliseconds of the caller's monotonic clock. */
export class Admission {
	/** @param sendSignal - Sends a pressure signal for a tier to the other nodes. */
	static create(invariants: Invariants, sendSignal: (tier: number) => void): Admission {
		return new Admission(invariants, sendSignal);
	}

	readonly #invariants: Invariants;
	readonly #sendSignal: (tier: number) => void;
	readonly #pressureUntil = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);
	readonly #lastSignalAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);
	readonly #firstSignalAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);
	readonly #lastShedAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);

	private constructor(invariants: Invariants, sendSignal: (tier: number) => void) {
		this.#invariants = invariants;
		this.#sendSignal = sendSignal;
	}

	/** @returns Time until which higher-priority tiers block this one; in the past if the tier may be admitted. */
	blockedUntil(tier: number): number {
		let until = Number.NEGATIVE_INFINITY;
		for (let higher = 0; higher < tier; higher += 1) {
			until = Math.max(until, this.#pressureUntil[higher]!);
		}

		return until;
	}

	/** Applies a pressure signal from another node; extends it because that node may shed work until its next signal. */
	setPressure(tier: number, until: number): void {
		this.#extendPressure(tier, until + SIGNAL_INTERVAL_MS + PRESSURE_LEAD_MS);
	}

	/**
	 * Registers pressure on a tier that is about to be shed and signals it to the other nodes.
	 *
	 * @returns Earliest time at which the tier may be shed.
	 */
	prepareShed(tier: number, now: number): number {
		if (tier >= TIER_COUNT - 1) {
			return now;
		}

		if (now > this.#pressureUntil[tier]! || this.#firstSignalAt[tier] === Number.NEGATIVE_INFINITY) {
			this.#firstSignalAt[tier] = now;
		}

		this.#extendPressure(tier, now + PRESSURE_WINDOW_MS);
		if (now - this.#lastSignalAt[tier]! >= SIGNAL_INTERVAL_MS) {
			this.#lastSignalAt[tier] = now;
			this.#sendSignal(tier);
		}

		return this.#firstSignalAt[tier]! + PRESSURE_LEAD_MS;
	}

	/**
	 * Records that work was shed and checks that no lower-priority work is waiting (P2).
	 *
	 * @param waitingByTier - Number of waiting requests of the pool by tier.
	 */
	noteShed(tier: number, waitingByTier: readonly number[], now: number): void {
		this.#lastShedAt[tier] = now;
		const isLowerTierWaiting = waitingByTier.some((count, other) => other > tier && count > 0);
		this.#invariants.check(PromiseId.TierOrder, !isLowerTierWaiting, () => `tier ${tier} was shed while lower-priority work was waiting`);
	}

	/** Checks that no higher-priority tier was shed within the pressure window before this start (P2). */
	noteStart(tier: number, now: number): boolean {
		const isPriorityInversion = this.#lastShedAt.some((at, other) => other < tier && now - at < PRESSURE_WINDOW_MS);
		return this.#invariants.check(PromiseId.TierOrder, !isPriorityInversion, () => `tier ${tier} started after a higher-priority tier was shed`);
	}

	#extendPressure(tier: number, until: number): void {
		this.#pressureUntil[tier] = Math.max(this.#pressureUntil[tier]!, until);
	}
}
