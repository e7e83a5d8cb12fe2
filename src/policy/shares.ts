/**
 * Divides the concurrency limit of one upstream between the nodes that use it.
 */
import {type UpstreamDemand} from './scheduler.js';

/** A share that is not renewed within this time ends. */
export const SHARE_LIFETIME_MS = 1000;
/** Every node that uses the upstream keeps this many slots. */
export const FLOOR_SLOTS = 1;

/** What an allocator grants a node. */
export type Share = {
	readonly slots: number;
	/** Slots once the share has expired. */
	readonly expiredSlots: number;
};

type Holder = {
	readonly id: string;
	readonly demand: UpstreamDemand;
	readonly at: number;
};

/** Allocator of one upstream. Times in ms of the allocator's monotonic clock. */
export class ShareAllocator {
	static create(): ShareAllocator {
		return new ShareAllocator();
	}

	readonly #holders = new Map<string, Holder>();

	private constructor() {
		// Instances come from `create`.
	}

	/**
	 * Takes the demand of a node and grants its share.
	 *
	 * @returns The share, for `SHARE_LIFETIME_MS`.
	 */
	request(holderId: string, demand: UpstreamDemand, now: number): Share {
		this.#holders.set(holderId, {id: holderId, demand, at: now});
		for (const holder of this.#holders.values()) {
			if (now - holder.at > SHARE_LIFETIME_MS) {
				this.#holders.delete(holder.id);
			}
		}

		return {slots: this.grants().get(holderId)!, expiredSlots: Math.max(FLOOR_SLOTS, Math.floor(this.#limit() / this.#holders.size))};
	}

	/** @returns Slots by holder: the floors and running requests, which cannot be taken back, then demand from the most important tier down, then the rest evenly. */
	grants(): Map<string, number> {
		const holders = [...this.#holders.values()].sort((a, b) => a.id < b.id ? -1 : 1);
		const slots = new Map(holders.map(({id, demand}) => [id, Math.max(FLOOR_SLOTS, demand.held)]));
		const kept = [...slots.values()].reduce((sum, value) => sum + value, 0);
		let left = Math.max(0, Math.floor(this.#limit()) - kept);
		const tierCount = Math.max(0, ...holders.map(holder => holder.demand.waitingByTier.length));
		for (let tier = 0; tier < tierCount; tier += 1) {
			left = fill(slots, left, holders.map(({id, demand}) => ({id, wanted: demand.waitingByTier[tier] ?? 0})));
		}

		fill(slots, left, holders.map(({id}) => ({id, wanted: left})));
		return slots;
	}

	/** The mean of what the holders estimate. */
	#limit(): number {
		let sum = 0;
		for (const {demand} of this.#holders.values()) {
			sum += demand.limitEstimate;
		}

		return sum / Math.max(1, this.#holders.size);
	}
}

/** One slot at a time to each holder that wants more. */
function fill(slots: Map<string, number>, available: number, wants: ReadonlyArray<{id: string; wanted: number}>): number {
	let left = available;
	let open = wants.filter(({wanted}) => wanted > 0);
	for (let round = 1; left > 0 && open.length > 0; round += 1) {
		for (const {id} of open.slice(0, left)) {
			slots.set(id, slots.get(id)! + 1);
		}

		left -= Math.min(left, open.length);
		open = open.filter(want => want.wanted > round);
	}

	return left;
}
