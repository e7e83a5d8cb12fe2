/**
 * Plans when refused callers come back. Each refusal invites a return at a time when room is expected, and takes that room
 * for it, so that returns are spread out and do not meet the same queue again.
 */
import {type Random} from '../base/random.js';

/** Length of the intervals in which invited work is counted, in ms; about a tenth of a typical service time. */
const INTERVAL_MS = 50;
/** Shortest Retry-After, in ms; a short queue can clear within this time. */
const MIN_RETURN_MS = 100;
/**
 * Part of its remaining time after which a caller is invited at the latest. Callers wait at most a third of it; the rest
 * covers the way back and a busy caller.
 */
const MAX_RETURN_RATIO = 0.31;
/** How long a return is awaited after its time, in ms; covers the way to the caller and back, and a busy caller. */
const RETURN_TOLERANCE_MS = 500;

/** What is known of the room of a pool when a request is refused. */
export type ReturnQuery = {
	readonly fingerprint: string;
	readonly serviceMs: number;
	/** Time that the caller has left, in ms. */
	readonly remainingMs: number;
	/** Time before which no room is expected, in ms. */
	readonly earliestMs: number;
	/** Slots that new requests are expected to leave. */
	readonly spareSlots: number;
	readonly now: number;
};

type Invitation = {readonly at: number; readonly serviceMs: number};

/** Invited returns of one pool. Times in ms of the allocator's monotonic clock. */
export class ReturnSchedule {
	static create(random: Random): ReturnSchedule {
		return new ReturnSchedule(random);
	}

	readonly #random: Random;
	/** Invited work by interval, in ms of service time. */
	readonly #workMs = new Map<number, number>();
	readonly #invitations = new Map<string, Invitation>();

	#prunedInterval = 0;

	private constructor(random: Random) {
		this.#random = random;
	}

	/** Number of invited returns that have not come. */
	get size(): number {
		return this.#invitations.size;
	}

	clear(): void {
		this.#workMs.clear();
		this.#invitations.clear();
	}

	/** @returns Whether a request was refused before; its place in the schedule is then free. */
	take(fingerprint: string): boolean {
		const invitation = this.#invitations.get(fingerprint);
		if (invitation === undefined) {
			return false;
		}

		this.#invitations.delete(fingerprint);
		this.#add(invitation.at, -invitation.serviceMs);
		return true;
	}

	/** @returns The Retry-After of a refused request, in ms: the earliest time at which room is expected, or the one with the fewest returns. */
	invite({fingerprint, serviceMs, remainingMs, earliestMs, spareSlots, now}: ReturnQuery): number {
		this.#prune(now);
		const latestMs = returnRange(remainingMs).max;
		const last = intervalOf(now + latestMs);
		const first = Math.min(last, intervalOf(now + Math.max(MIN_RETURN_MS, earliestMs)));
		const roomMs = spareSlots * INTERVAL_MS;
		let chosen = last;
		let fewestMs = Number.POSITIVE_INFINITY;
		for (let interval = first; interval <= last; interval += 1) {
			const workMs = this.#workMs.get(interval) ?? 0;
			if (workMs + serviceMs <= roomMs) {
				chosen = interval;
				break;
			}

			// Of equal intervals the latest: the longer a peak has lasted, the likelier it has ended.
			if (workMs <= fewestMs) {
				fewestMs = workMs;
				chosen = interval;
			}
		}

		const at = Math.min(now + latestMs, Math.max(now + MIN_RETURN_MS, (chosen + this.#random.next()) * INTERVAL_MS));
		this.take(fingerprint);
		this.#invitations.set(fingerprint, {at, serviceMs});
		this.#add(at, serviceMs);
		return at - now;
	}

	#add(at: number, serviceMs: number): void {
		const interval = intervalOf(at);
		this.#workMs.set(interval, Math.max(0, (this.#workMs.get(interval) ?? 0) + serviceMs));
	}

	/** Forgets returns that have not come. */
	#prune(now: number): void {
		if (intervalOf(now) === this.#prunedInterval) {
			return;
		}

		this.#prunedInterval = intervalOf(now);
		for (const [interval] of this.#workMs) {
			if (interval < intervalOf(now)) {
				this.#workMs.delete(interval);
			}
		}

		for (const [fingerprint, {at}] of this.#invitations) {
			if (at + RETURN_TOLERANCE_MS < now) {
				this.#invitations.delete(fingerprint);
			}
		}
	}
}

function intervalOf(at: number): number {
	return Math.floor(at / INTERVAL_MS);
}

/** @returns Bounds of the time until a refused caller is invited, in ms. */
export function returnRange(remainingMs: number): {readonly min: number; readonly max: number} {
	return {min: MIN_RETURN_MS, max: Math.max(MIN_RETURN_MS, MAX_RETURN_RATIO * remainingMs)};
}
