/**
 * The waiting requests of a pool, in the order in which they get places. The order and the totals are maintained
 * incrementally as requests are added and removed, so that a decision does not scan the whole queue. This keeps decisions
 * fast in a load spike with hundreds of upstreams.
 */
import {type PlaceRequest, type PlaceRequestEvents} from './allocation.js';

/** A request in the queue. Times in ms of the allocator's monotonic clock. */
export type WaitingRequest = {
	readonly ask: PlaceRequest;
	readonly events: PlaceRequestEvents;
	readonly requestedAt: number;
	readonly objectiveAt: number;
	readonly deadlineAt: number;
	/** When the caller disconnects unless its answer begins or, if it had begun, goes on. */
	readonly patienceEndsAt: number;
	/** When the caller disconnects, as stated by the caller. */
	readonly callerLeavesAt: number;
};

/** Functions that determine the order and the totals of the queue. */
export type QueueOrder = {
	/** Lower levels are served first; within a level, the lowest share key is, and within that, the earliest objective. */
	levelOf(waiting: WaitingRequest, now: number): number;
	/** Share key of a request when it starts to wait; without it, all requests of a level have the same. */
	shareKeyOf?(waiting: WaitingRequest): number;
	/** Expected service time of the request at an upstream of average pace, in ms. */
	serviceMs(ask: PlaceRequest): number;
};

type Entry = {
	readonly waiting: WaitingRequest;
	/** Sequence number; requests of equal level and objective are served in the order of arrival. */
	readonly arrival: number;
	readonly shareKey: number;
	level: number;
	serviceMs: number;
};

/** The queue of one pool. */
export class WaitingQueue {
	static create(order: QueueOrder): WaitingQueue {
		return new WaitingQueue(order);
	}

	readonly #order: QueueOrder;
	readonly #byId = new Map<string, Entry>();
	#entries: Entry[] = [];
	/** Total expected service time per level, in ms. */
	readonly #workMsByLevel = new Map<number, number>();
	/** The same per level and share key, if requests have share keys. */
	readonly #workMsByKey = new Map<number, Map<number, number>>();
	readonly #countByRank = new Map<number, number>();
	#arrivals = 0;

	private constructor(order: QueueOrder) {
		this.#order = order;
	}

	get size(): number {
		return this.#entries.length;
	}

	/** Highest rank number in the queue, which is the rank of the least important request. */
	get maxRank(): number {
		return Math.max(0, ...this.#countByRank.keys());
	}

	/** Ranks of the requests in the queue. */
	get ranks(): Iterable<number> {
		return this.#countByRank.keys();
	}

	/** @returns The request of a level that is served first. */
	firstOf(level: number): WaitingRequest | undefined {
		let low = 0;
		let high = this.#entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#entries[middle]!.level < level) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		const entry = this.#entries[low];
		return entry?.level === level ? entry.waiting : undefined;
	}

	get(id: string): WaitingRequest | undefined {
		return this.#byId.get(id)?.waiting;
	}

	/** Iterates over the requests in the order in which they are served. */
	* [Symbol.iterator](): Generator<WaitingRequest> {
		for (const {waiting} of this.#entries) {
			yield waiting;
		}
	}

	/**
	 * Calls a function for each request, in the order in which they are served.
	 *
	 * @param visit - Gets the expected service time of the request as of the last refresh, in ms.
	 */
	visitInOrder(visit: (waiting: WaitingRequest, serviceMs: number) => void): void {
		for (const {waiting, serviceMs} of this.#entries) {
			visit(waiting, serviceMs);
		}
	}

	add(waiting: WaitingRequest, now: number): void {
		const {ask} = waiting;
		this.delete(ask.id);
		this.#arrivals += 1;
		const entry: Entry = {
			waiting, arrival: this.#arrivals, shareKey: this.#order.shareKeyOf?.(waiting) ?? 0, level: this.#order.levelOf(waiting, now), serviceMs: this.#order.serviceMs(ask),
		};
		this.#byId.set(ask.id, entry);
		this.#entries.splice(this.#indexOf(entry), 0, entry);
		this.#updateTotals(entry, 1);
	}

	delete(id: string): void {
		const entry = this.#byId.get(id);
		if (entry !== undefined) {
			this.#byId.delete(id);
			this.#entries.splice(this.#indexOf(entry), 1);
			this.#updateTotals(entry, -1);
		}
	}

	clear(): void {
		this.#byId.clear();
		this.#entries = [];
		this.#workMsByLevel.clear();
		this.#workMsByKey.clear();
		this.#countByRank.clear();
	}

	/** Recomputes levels, service times and order: requests become late over time, and the estimates change. */
	refresh(now: number): void {
		this.#workMsByLevel.clear();
		this.#workMsByKey.clear();
		// Neighbours are mostly of the same level, so that a total is written once per run of equal levels.
		let level: number | undefined;
		let workMs = 0;
		for (const entry of this.#entries) {
			entry.level = this.#order.levelOf(entry.waiting, now);
			entry.serviceMs = this.#order.serviceMs(entry.waiting.ask);
			if (entry.level !== level) {
				if (level !== undefined) {
					this.#workMsByLevel.set(level, workMs);
				}

				level = entry.level;
				workMs = this.#workMsByLevel.get(level) ?? 0;
			}

			workMs += entry.serviceMs;
		}

		if (level !== undefined) {
			this.#workMsByLevel.set(level, workMs);
		}

		this.#entries.sort(compareEntries);
		this.#totalByKey();
	}

	/** @returns Total expected service time of all requests up to and including a level, in ms. */
	workMsUpTo(level: number): number {
		let sum = 0;
		for (const [other, workMs] of this.#workMsByLevel) {
			sum += other <= level ? workMs : 0;
		}

		return sum;
	}

	/** @returns Total expected service time of the requests that are served before a new one of a level and share key, in ms. */
	workMsBefore(level: number, shareKey: number): number {
		let sum = this.workMsUpTo(level - 1);
		for (const [other, workMs] of this.#workMsByKey.get(level) ?? []) {
			sum += other <= shareKey ? workMs : 0;
		}

		return sum;
	}

	#updateTotals(entry: Entry, sign: 1 | -1): void {
		const {level, serviceMs, waiting: {ask}} = entry;
		this.#addToKey(entry, sign * serviceMs);
		this.#workMsByLevel.set(level, (this.#workMsByLevel.get(level) ?? 0) + (sign * serviceMs));
		const count = (this.#countByRank.get(ask.rank) ?? 0) + sign;
		if (count === 0) {
			this.#countByRank.delete(ask.rank);
		} else {
			this.#countByRank.set(ask.rank, count);
		}

		if (this.#entries.length === 0) {
			// Rounding errors would otherwise leave totals slightly off 0 in an empty queue.
			this.#workMsByLevel.clear();
			this.#workMsByKey.clear();
		}
	}

	/** Computes the totals per share key from the sorted entries, with one update per key instead of one per request. */
	#totalByKey(): void {
		if (this.#order.shareKeyOf === undefined) {
			return;
		}

		let previous: Entry | undefined;
		let workMs = 0;
		for (const entry of this.#entries) {
			if (previous !== undefined && (previous.level !== entry.level || previous.shareKey !== entry.shareKey)) {
				this.#addToKey(previous, workMs);
				workMs = 0;
			}

			workMs += entry.serviceMs;
			previous = entry;
		}

		if (previous !== undefined) {
			this.#addToKey(previous, workMs);
		}
	}

	#addToKey({level, shareKey}: Entry, workMs: number): void {
		if (this.#order.shareKeyOf === undefined) {
			return;
		}

		let byKey = this.#workMsByKey.get(level);
		if (byKey === undefined) {
			byKey = new Map();
			this.#workMsByKey.set(level, byKey);
		}

		const sum = (byKey.get(shareKey) ?? 0) + workMs;
		if (sum > 0) {
			byKey.set(shareKey, sum);
		} else {
			byKey.delete(shareKey);
		}
	}

	/** @returns The index at which an entry is or would be inserted. */
	#indexOf(entry: Entry): number {
		let low = 0;
		let high = this.#entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareEntries(this.#entries[middle]!, entry) < 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareEntries(a: Entry, b: Entry): number {
	return a.level - b.level || a.shareKey - b.shareKey || a.waiting.objectiveAt - b.waiting.objectiveAt || a.arrival - b.arrival;
}
