/**
 * Dividing the slots of an upstream between the nodes that use it. Performs no I/O.
 *
 * Bounds on the sum of all shares of an upstream with a constant limit, where `nodes` are those assigned to it:
 * - limit + nodes while all nodes reach one allocator (each node has a floor of one slot, also when it is idle);
 * - 2 * limit + nodes for `SHARE_LIFETIME_MS` after the allocator changed, and as long as some holders can't reach
 *   it and use their fall-back.
 */

/** A share that is not renewed ends after this time. */
export const SHARE_LIFETIME_MS = 1000;
/** Time between the demands of a node. */
export const DEMAND_INTERVAL_MS = 200;
/** Slots that every node keeps. */
export const FLOOR_SLOTS = 1;
/** A share whose demand did not change is renewed at this age, which leaves time for one repetition. */
const RENEW_AFTER_MS = 600;

/** What one node wants of one upstream. */
export type ShareDemand = {
	readonly upstreamId: string;
	/** Requests in flight that the node's limit allows over all nodes. */
	readonly limitEstimate: number;
	readonly held: number;
	/** Index 0 is the most important tier. */
	readonly waitingByTier: readonly number[];
	/** Requests in flight by tier; where it is empty, all of `held` count as the lowest tier. */
	readonly heldByTier: readonly number[];
	/** Sequence of the last grant that the node received; 0 without one. */
	readonly lastGrant: number;
};

/** The allocator's answer. */
export type Share = {
	readonly slots: number;
	readonly limit: number;
	readonly sequence: number;
};

type Grant = {readonly sequence: number; readonly slots: number; readonly until: number};

type Holder = {
	demand: ShareDemand;
	heardAt: number;
	/** Grants that the node may be using, oldest first. */
	grants: Grant[];
};

type Pool = {readonly holders: Map<string, Holder>; sequence: number};

/** Divides the slots of the upstreams that a node is the allocator of. */
export class ShareAllocator {
	static create(): ShareAllocator {
		return new ShareAllocator();
	}

	readonly #pools = new Map<string, Pool>();

	private constructor() {
		// No demand was heard.
	}

	/**
	 * Answers a demand.
	 *
	 * @param process - The demanding node's process.
	 * @param maxConcurrency - Upper bound of the upstream from the settings.
	 */
	grant(process: string, demand: ShareDemand, maxConcurrency: number, now: number): Share {
		const pool = this.#pools.get(demand.upstreamId) ?? {holders: new Map<string, Holder>(), sequence: 0};
		this.#pools.set(demand.upstreamId, pool);
		forgetSilent(pool, now);
		const holder = pool.holders.get(process) ?? {demand, heardAt: now, grants: []};
		holder.demand = demand;
		holder.heardAt = now;
		holder.grants = holder.grants.filter(grant => grant.until > now && grant.sequence >= demand.lastGrant);
		pool.holders.set(process, holder);
		const limit = limitOf(pool, maxConcurrency);
		const isIdle = demand.held === 0 && sum(demand.waitingByTier) === 0;
		const slots = isIdle ? 0 : slotsFor(pool, holder, limit, now);
		pool.sequence += 1;
		holder.grants.push({sequence: pool.sequence, slots, until: now + SHARE_LIFETIME_MS});
		return {slots, limit, sequence: pool.sequence};
	}

	/** Drops upstreams without holders and those that this node no longer allocates. */
	retain(isAllocated: (upstreamId: string) => boolean, now: number): void {
		for (const [id, pool] of this.#pools) {
			forgetSilent(pool, now);
			if (pool.holders.size === 0 || !isAllocated(id)) {
				this.#pools.delete(id);
			}
		}
	}
}

/** What the allocator aims at, reduced by what the other holders still have. */
function slotsFor(pool: Pool, holder: Holder, limit: number, now: number): number {
	const holders = [...pool.holders.values()];
	const target = divide(limit, holders.map(({demand}) => demand))[holders.indexOf(holder)]!;
	let free = limit;
	for (const other of holders) {
		if (other !== holder) {
			free -= committed(other, now);
		}
	}

	return Math.max(FLOOR_SLOTS, Math.min(target, free));
}

/** Slots that a holder may be using: any grant that it may still follow, and its requests in flight. */
function committed(holder: Holder, now: number): number {
	let slots = holder.demand.held;
	for (const grant of holder.grants) {
		if (grant.until > now) {
			slots = Math.max(slots, grant.slots);
		}
	}

	return slots;
}

function forgetSilent(pool: Pool, now: number): void {
	for (const [process, holder] of pool.holders) {
		if (now - holder.heardAt >= SHARE_LIFETIME_MS) {
			pool.holders.delete(process);
		}
	}
}

/** The median of the nodes' estimates; one node that saw few requests must not move the limit far. */
function limitOf(pool: Pool, maxConcurrency: number): number {
	const estimates = [...pool.holders.values()].map(({demand}) => demand.limitEstimate).toSorted((a, b) => a - b);
	return Math.max(1, Math.min(maxConcurrency, estimates[Math.floor((estimates.length - 1) / 2)]!));
}

/**
 * Divides slots over nodes: from the most important tier over all nodes, evenly within a tier; what is left evenly
 * over the nodes with demand.
 *
 * @param limit - Slots to divide.
 * @returns Slots by node.
 */
export function divide(limit: number, demands: readonly ShareDemand[]): number[] {
	const tiers = Math.max(1, ...demands.map(({waitingByTier, heldByTier}) => Math.max(waitingByTier.length, heldByTier.length)));
	const slots = demands.map(() => 0);
	let free = limit;
	for (let tier = 0; tier < tiers; tier += 1) {
		free -= fillEvenly(slots, demands.map(demand => wanted(demand, tier, tiers - 1)), free);
	}

	const hasDemand = demands.map(demand => demand.held + sum(demand.waitingByTier) > 0);
	fillEvenly(slots, hasDemand.map(has => has ? limit : 0), free);
	return slots;
}

function wanted(demand: ShareDemand, tier: number, lowest: number): number {
	const held = demand.heldByTier.length > 0
		? demand.heldByTier[tier] ?? 0
		: (tier === lowest ? demand.held : 0);
	return held + (demand.waitingByTier[tier] ?? 0);
}

/**
 * Adds to the slots of each node up to what it wants, the smallest wishes first.
 *
 * @returns Slots given out.
 */
function fillEvenly(slots: number[], wishes: readonly number[], free: number): number {
	const order = wishes.map((wish, index) => ({wish, index})).filter(({wish}) => wish > 0).toSorted((a, b) => a.wish - b.wish);
	let rest = free;
	for (const [position, {wish, index}] of order.entries()) {
		const given = Math.min(wish, Math.floor(rest / (order.length - position)));
		slots[index] = slots[index]! + given;
		rest -= given;
	}

	return free - rest;
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, number) => total + number, 0);
}

/** A demand that stays without answer for this long shows that the allocator is not heard. */
const UNANSWERED_MS = 600;

type HeldShare = Share & {readonly until: number};

/** What a node falls back on while it does not hear the allocator. */
export type ShareFallback = {
	/** Limit where no allocator was ever heard. */
	readonly limit: number;
	/**
	 * Nodes that are assigned to the upstream. The number that had demand in the last share is too small when more
	 * nodes become busy before a new allocator is heard.
	 */
	readonly holders: number;
};

/** The shares of one node. */
export class ShareHolder {
	static create(): ShareHolder {
		return new ShareHolder();
	}

	readonly #shares = new Map<string, HeldShare>();
	/** Time of the first demand since the last answer. */
	readonly #unansweredSince = new Map<string, number>();

	private constructor() {
		// Nothing was granted.
	}

	/** Sequence of the last grant, to be sent with the next demand. */
	lastGrant(upstreamId: string): number {
		return this.#shares.get(upstreamId)?.sequence ?? 0;
	}

	/** Notes that a demand is sent. */
	noteAsked(upstreamId: string, now: number): void {
		if (!this.#unansweredSince.has(upstreamId)) {
			this.#unansweredSince.set(upstreamId, now);
		}
	}

	/**
	 * Takes an answer. One that arrives after a later one is ignored.
	 *
	 * @param sentAt - When the demand was sent; the share ends here before it ends at the allocator.
	 * @param isNewAllocator - Another process than before answered; its sequences start anew.
	 */
	accept(upstreamId: string, share: Share, sentAt: number, isNewAllocator: boolean): void {
		const known = this.#shares.get(upstreamId);
		if (!known || isNewAllocator || share.sequence > known.sequence) {
			this.#shares.set(upstreamId, {
				slots: share.slots, limit: share.limit, sequence: share.sequence, until: sentAt + SHARE_LIFETIME_MS,
			});
			this.#unansweredSince.delete(upstreamId);
		}
	}

	/**
	 * Whether a demand must be sent now: work waits for slots, few are left, or the share is about to end. Each message
	 * costs more than its content, so a satisfied node only renews.
	 */
	isDue(demand: ShareDemand, now: number): boolean {
		const share = this.#shares.get(demand.upstreamId);
		const waiting = sum(demand.waitingByTier);
		const isIdle = waiting === 0 && demand.held === 0;
		return !share || isIdle || share.until - now <= SHARE_LIFETIME_MS - RENEW_AFTER_MS
			|| (demand.held + waiting > share.slots && share.slots < share.limit);
	}

	/**
	 * Slots that this node may use now: the share, one slot for a node that has not asked, or an even part of the limit
	 * where the allocator is not heard.
	 */
	slots(upstreamId: string, now: number, fallback: ShareFallback): number {
		const share = this.#shares.get(upstreamId);
		if (share && share.until > now) {
			return Math.max(FLOOR_SLOTS, share.slots);
		}

		if (now - (this.#unansweredSince.get(upstreamId) ?? now) < UNANSWERED_MS) {
			return FLOOR_SLOTS;
		}

		return Math.max(FLOOR_SLOTS, Math.floor((share?.limit ?? fallback.limit) / Math.max(1, fallback.holders)));
	}

	/** Ends the wait for an answer of an upstream without demand. */
	noteIdle(upstreamId: string): void {
		this.#unansweredSince.delete(upstreamId);
	}

	/** Forgets upstreams that this node no longer uses. */
	retain(isUsed: (upstreamId: string) => boolean): void {
		for (const id of this.#shares.keys()) {
			if (!isUsed(id)) {
				this.#shares.delete(id);
				this.#unansweredSince.delete(id);
			}
		}
	}
}
