/**
 * Order of tiers in one pool: pressure marks, and the assertion that no tier is shed before lower work.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Tiers 0 (most important) to 4. */
export const TIER_COUNT = 5;
/** After a tier was shed, nothing below it is admitted for this long. */
export const PRESSURE_WINDOW_MS = 2000;
/** A mark is sent this long before work is shed, so that the other nodes act on it first. */
export const PRESSURE_LEAD_MS = 60;
/** Marks are sent again at most this often while work is being shed. */
const MARK_INTERVAL_MS = 250;

/** Admission state of one pool. Times in ms of the caller's monotonic clock. */
export class Admission {
	/** @param sendMark - Tells the other nodes about the pressure on a tier. */
	static create(invariants: Invariants, sendMark: (tier: number) => void): Admission {
		return new Admission(invariants, sendMark);
	}

	readonly #invariants: Invariants;
	readonly #sendMark: (tier: number) => void;
	readonly #pressureUntil = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);
	readonly #markedAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);
	readonly #firstMarkedAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);
	readonly #shedAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);

	private constructor(invariants: Invariants, sendMark: (tier: number) => void) {
		this.#invariants = invariants;
		this.#sendMark = sendMark;
	}

	/** @returns Until when a more important tier keeps this one out; in the past if it may be admitted. */
	blockedUntil(tier: number): number {
		let until = Number.NEGATIVE_INFINITY;
		for (let higher = 0; higher < tier; higher += 1) {
			until = Math.max(until, this.#pressureUntil[higher]!);
		}

		return until;
	}

	/** Another node reported pressure on a tier; it may shed work until it sends the mark again. */
	setPressure(tier: number, until: number): void {
		this.#extend(tier, until + MARK_INTERVAL_MS + PRESSURE_LEAD_MS);
	}

	/**
	 * Marks pressure on a tier that is about to be shed.
	 *
	 * @returns The time from which the tier may be shed.
	 */
	prepareShed(tier: number, now: number): number {
		if (tier >= TIER_COUNT - 1) {
			return now;
		}

		if (now > this.#pressureUntil[tier]! || this.#firstMarkedAt[tier] === Number.NEGATIVE_INFINITY) {
			this.#firstMarkedAt[tier] = now;
		}

		this.#extend(tier, now + PRESSURE_WINDOW_MS);
		if (now - this.#markedAt[tier]! >= MARK_INTERVAL_MS) {
			this.#markedAt[tier] = now;
			this.#sendMark(tier);
		}

		return this.#firstMarkedAt[tier]! + PRESSURE_LEAD_MS;
	}

	/**
	 * Records and asserts a shed decision (P2).
	 *
	 * @param waitingByTier - Waiting work of the pool by tier.
	 */
	noteShed(tier: number, waitingByTier: readonly number[], now: number): void {
		this.#shedAt[tier] = now;
		const isLowerWaiting = waitingByTier.some((count, other) => other > tier && count > 0);
		this.#invariants.check(PromiseId.TierOrder, !isLowerWaiting, () => `tier ${tier} is shed while lower work waits`);
	}

	/** Asserts that no more important tier was shed within the window before this work starts (P2). */
	noteStart(tier: number, now: number): boolean {
		const isInversion = this.#shedAt.some((at, other) => other < tier && now - at < PRESSURE_WINDOW_MS);
		return this.#invariants.check(PromiseId.TierOrder, !isInversion, () => `tier ${tier} starts after a more important tier was shed`);
	}

	#extend(tier: number, until: number): void {
		this.#pressureUntil[tier] = Math.max(this.#pressureUntil[tier]!, until);
	}
}
