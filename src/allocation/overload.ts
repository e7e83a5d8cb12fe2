/**
 * Decides, for a pool whose customers share scarce room, which requests are refused and when their callers may return. A
 * request is refused on arrival, or as soon as it can no longer be on time, unless it is served shortly; a request that
 * returned is kept as long as its caller has use for it, because a second refusal costs callers most.
 */
import {type Random} from '../base/random.js';
import {type Customer} from '../gateway/routing-table.js';
import {type PlaceRequest} from './allocation.js';
import {FairShares} from './fair-shares.js';
import {returnRange, ReturnSchedule} from './return-schedule.js';
import {FLOOR_RATIO, RankFloor} from './rank-floor.js';
import {type Restore} from './unchanged-state.js';
import {UsualLoad} from './usual-load.js';
import {type WaitingRequest, type WaitingQueue} from './waiting-queue.js';

/**
 * Part of the time until the latest useful start that the expected wait of a request may take; the margin allows for the
 * accuracy of the expected wait, which is right within a factor of two.
 */
const MAX_WAIT_RATIO = 0.6;
/**
 * Longest expected wait of a request that misses its objective anyway, in ms. Long enough that no slot stays idle when the
 * load varies; in a longer queue more important requests would overtake it until its caller leaves.
 */
const MAX_LATE_WAIT_MS = 100;
/** Part of its time after which a waiting request is no longer refused for being late: such a refusal costs its caller more than waiting. */
const MAX_REFUSAL_AGE_RATIO = 0.25;

/** Smallest part of the slots that returns are expected to find, however large the usual load. */
const MIN_SPARE_RATIO = 0.1;

/** A request to decide on, with what its pool expects. */
export type OverloadQuery = {
	readonly waiting: WaitingRequest;
	readonly queue: WaitingQueue;
	/** Levels of the request while it can be on time, and when it is late. */
	readonly levels: {readonly onTime: number; readonly late: number};
	readonly isLate: boolean;
	/** Latest time at which a place still leads to an answer that is on time. */
	readonly onTimeStartAt: number;
	/** Latest time at which a place is still useful. */
	readonly latestStartAt: number;
	readonly serviceMs: number;
	/** Slots of the pool, weighted by pace. */
	readonly slots: number;
	/** Time until any upstream may get a request, in ms. */
	readonly startDelayMs: number;
	readonly now: number;
};

/** What a decision means for the customer's share of the room. Durations in ms. */
export type ShareDecision = {
	readonly serviceMs: number;
	/** How far the customer is ahead of its share; 0 within its share. */
	readonly leadMs: number;
	/** Planned time until the caller of a refused request returns. */
	readonly returnMs?: number;
};

/** Overload control of one pool. */
export class Overload {
	static create(random: Random): Overload {
		return new Overload(random);
	}

	readonly shares = FairShares.create();
	readonly floor = RankFloor.create();
	readonly #returns: ReturnSchedule;
	#usualLoad = UsualLoad.create();
	/** IDs of waiting requests that were refused before. */
	readonly #returned = new Set<string>();

	private constructor(random: Random) {
		this.#returns = ReturnSchedule.create(random);
	}

	/** Number of invited returns that have not come. */
	get invitedCount(): number {
		return this.#returns.size;
	}

	/** Forgets all requests; a new allocator knows no shares and no returns. */
	clear(): void {
		this.shares.clear();
		this.floor.clear();
		this.#returns.clear();
		this.#returned.clear();
		this.#usualLoad = UsualLoad.create();
	}

	setCustomers(customers: readonly Customer[]): void {
		this.shares.setCustomers(customers);
	}

	/** @returns A function that restores what the arrival of a request without a fingerprint changes. */
	snapshot(): Restore {
		return this.#usualLoad.snapshot();
	}

	/** @returns Bounds of the Retry-After that `invite` chooses, in ms. */
	returnRange({waiting: {callerLeavesAt, deadlineAt}, startDelayMs, now}: OverloadQuery): {readonly min: number; readonly max: number} {
		const {min, max} = returnRange(Math.min(callerLeavesAt, deadlineAt) - now);
		return {min: Math.max(min, startDelayMs), max: Math.max(max, startDelayMs)};
	}

	/** @returns Whether a new request is refused before it waits. */
	mustRefuse({waiting, queue, levels, isLate, onTimeStartAt, latestStartAt, serviceMs, slots, startDelayMs, now}: OverloadQuery, hasFreePlace: boolean): boolean {
		const {ask} = waiting;
		// A refusal of a request that an upstream had begun, or that was refused before, costs its caller most.
		const isKept = this.#noteArrival(ask, serviceMs, now) || ask.attempt > 1 || ask.isContinuation;
		if (hasFreePlace) {
			return false;
		}

		const key = this.shares.nextKey(ask);
		const maxWaitMs = MAX_WAIT_RATIO * (latestStartAt - now);
		const workMs = queue.workMsBefore(levels.onTime, key);
		// The rank is served by its order or by its floor, whichever is sooner.
		const ownWorkMs = workMs - queue.workMsUpTo(levels.onTime - 1);
		const waitMs = startDelayMs + Math.min(workMs / slots, (serviceMs + ownWorkMs) / (FLOOR_RATIO * slots));
		if (!isLate && now + waitMs <= onTimeStartAt) {
			return waitMs > maxWaitMs;
		}

		const lateWaitMs = startDelayMs + (queue.workMsBefore(levels.late, key) / slots);
		return lateWaitMs > (isKept ? latestStartAt - now : Math.min(maxWaitMs, MAX_LATE_WAIT_MS));
	}

	/** @returns Whether a waiting request is refused if it can no longer be on time, because it is not served shortly. */
	mustServeOnTime({ask, requestedAt, deadlineAt}: WaitingRequest, waitMs: number, now: number): boolean {
		return waitMs > MAX_LATE_WAIT_MS && now - requestedAt < MAX_REFUSAL_AGE_RATIO * (deadlineAt - requestedAt)
			&& ask.attempt === 1 && !ask.isContinuation && !this.#returned.has(ask.id);
	}

	/** Charges a request that begins to wait. */
	add(ask: PlaceRequest, serviceMs: number): void {
		this.shares.add(ask, serviceMs);
	}

	/** Records that a waiting request got a place. */
	noteGrant({id, rank}: PlaceRequest, serviceMs: number, waitingRanks: Iterable<number>): void {
		this.floor.noteGrant(rank, serviceMs, waitingRanks);
		this.shares.noteGrant(id);
		this.#returned.delete(id);
	}

	/** Records that a request no longer waits and got no place. */
	remove(id: string): void {
		this.shares.remove(id);
		this.#returned.delete(id);
	}

	/** @returns The Retry-After of a refused request, in ms; its return is expected then. */
	invite({waiting: {ask, callerLeavesAt, deadlineAt}, queue, levels, serviceMs, slots, startDelayMs, now}: OverloadQuery): number {
		const spareSlots = Math.max(MIN_SPARE_RATIO * slots, slots - this.#usualLoad.slots(now));
		const earliestMs = startDelayMs + (queue.workMsUpTo(levels.late) / spareSlots);
		const returnMs = this.#returns.invite({
			fingerprint: ask.fingerprint, serviceMs, remainingMs: Math.min(callerLeavesAt, deadlineAt) - now, earliestMs, spareSlots, now,
		});
		// Where limits of the upstreams leave nothing for longer than the caller waits, it is told so rather than invited in vain.
		return Math.max(returnMs, startDelayMs);
	}

	/** @returns Whether the caller of the request was refused before. */
	#noteArrival({id, fingerprint, attempt}: PlaceRequest, serviceMs: number, now: number): boolean {
		if (attempt > 1) {
			return false;
		}

		const isReturn = this.#returns.take(fingerprint);
		if (isReturn) {
			this.#returned.add(id);
		} else {
			this.#usualLoad.note(serviceMs, now);
		}

		return isReturn;
	}
}
