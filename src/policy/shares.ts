/**
 * Divides the slots of an upstream between the nodes that use it. Performs no I/O.
 *
 * Bounds on the sum of all shares of an upstream with a constant limit, where `nodes` is the number of nodes assigned
 * to it:
 * - limit + nodes while all nodes reach the same allocator (each node has a floor of one slot, even when idle);
 * - 2 * limit + nodes for `SHARE_LIFETIME_MS` after the allocator changed, and while some holders cannot reach it and
 *   use their fallback.
 */

/** Time after which a share expires unless renewed. */
export const SHARE_LIFETIME_MS = 1000;
/** Interval between the demands of a node. */
export const DEMAND_INTERVAL_MS = 200;
/** Minimum number of slots of each node. */
export const FLOOR_SLOTS = 1;
/** Age at which a share with unchanged demand is renewed; leaves time for one retry before the share expires. */
const RENEW_AFTER_MS = 600;

/** Demand of one node for one upstream. */
export type ShareDemand = {
	readonly upstreamId: string;
	/** Limit on requests in flight over all nodes, as estimated by the node. */
	readonly limitEstimate: number;
	readonly held: number;
	/** Waiting requests by tier; index 0 is the highest priority. */
	readonly waitingByTier: readonly number[];
	/** Requests in flight by tier; if empty, all of `held` counts towards the lowest tier. */
	readonly heldByTier: readonly number[];
	/** Sequence number of the last grant that the node received; 0 if none. */
	readonly lastGrant: number;
};

/** Response of the allocator to a demand. */
export type Share = {
	readonly slots: number;
	readonly limit: number;
	readonly sequence: number;
};

type Grant = {readonly sequence: number; readonly slots: number; readonly until: number};

type Holder = {
	demand: ShareDemand;
	lastDemandAt: number;
	/** Grants that the node may still be using, oldest first. */
	grants: Grant[];
};

type UpstreamGrants = {readonly holders: Map<string, Holder>; sequence: number};

/** Allocator for the upstreams that the local node is responsible for. */
export class ShareAllocator {
	static create(): ShareAllocator {
		return new ShareAllocator();
	}

	readonly #grantsByUpstream = new Map<string, UpstreamGrants>();

	private constructor() {
		// Instances come from `create`.
	}

	/**
	 * Computes the share for a demand and records the grant.
	 *
	 * @param process - ID of the process of the node that sent the demand.
	 * @param maxConcurrency - Upper bound from the settings of the upstream.
	 */
	grant(process: string, demand: ShareDemand, maxConcurrency: number, now: number): Share {
		const upstreamGrants = this.#grantsByUpstream.get(demand.upstreamId) ?? {holders: new Map<string, Holder>(), sequence: 0};
		this.#grantsByUpstream.set(demand.upstreamId, upstreamGrants);
		removeExpiredHolders(upstreamGrants, now);
		const holder = upstreamGrants.holders.get(process) ?? {demand, lastDemandAt: now, grants: []};
		holder.demand = demand;
		holder.lastDemandAt = now;
		holder.grants = holder.grants.filter(grant => grant.until > now && grant.sequence >= demand.lastGrant);
		upstreamGrants.holders.set(process, holder);
		const limit = medianLimit(upstreamGrants, maxConcurrency);
		const isIdle = demand.held === 0 && sum(demand.waitingByTier) === 0;
		const slots = isIdle ? 0 : computeSlots(upstreamGrants, holder, limit, now);
		upstreamGrants.sequence += 1;
		holder.grants.push({sequence: upstreamGrants.sequence, slots, until: now + SHARE_LIFETIME_MS});
		return {slots, limit, sequence: upstreamGrants.sequence};
	}

	/** Removes upstreams without holders and upstreams that this node no longer allocates. */
	retain(isAllocated: (upstreamId: string) => boolean, now: number): void {
		for (const [id, upstreamGrants] of this.#grantsByUpstream) {
			removeExpiredHolders(upstreamGrants, now);
			if (upstreamGrants.holders.size === 0 || !isAllocated(id)) {
				this.#grantsByUpstream.delete(id);
			}
		}
	}
}

/** Returns the target allocation, capped at the slots that other holders do not have committed. */
function computeSlots(upstreamGrants: UpstreamGrants, holder: Holder, limit: number, now: number): number {
	const holders = [...upstreamGrants.holders.values()];
	const target = divide(limit, holders.map(({demand}) => demand))[holders.indexOf(holder)]!;
	let available = limit;
	for (const other of holders) {
		if (other !== holder) {
			available -= committedSlots(other, now);
		}
	}

	return Math.max(FLOOR_SLOTS, Math.min(target, available));
}

/** Returns the slots that a holder may be using: the maximum of its unexpired grants and its requests in flight. */
function committedSlots(holder: Holder, now: number): number {
	let slots = holder.demand.held;
	for (const grant of holder.grants) {
		if (grant.until > now) {
			slots = Math.max(slots, grant.slots);
		}
	}

	return slots;
}

function removeExpiredHolders(upstreamGrants: UpstreamGrants, now: number): void {
	for (const [process, holder] of upstreamGrants.holders) {
		if (now - holder.lastDemandAt >= SHARE_LIFETIME_MS) {
			upstreamGrants.holders.delete(process);
		}
	}
}

/** Returns the median of the nodes' estimates, so that one node with few requests cannot shift the limit far. */
function medianLimit(upstreamGrants: UpstreamGrants, maxConcurrency: number): number {
	const estimates = [...upstreamGrants.holders.values()].map(({demand}) => demand.limitEstimate).toSorted((a, b) => a - b);
	return Math.max(1, Math.min(maxConcurrency, estimates[Math.floor((estimates.length - 1) / 2)]!));
}

/**
 * Divides slots between nodes: in order of tier priority across all nodes and evenly within a tier. Remaining slots are
 * divided evenly between the nodes with demand.
 *
 * @param limit - Number of slots to divide.
 * @returns Slots per node, in the order of `demands`.
 */
export function divide(limit: number, demands: readonly ShareDemand[]): number[] {
	const tierCount = Math.max(1, ...demands.map(({waitingByTier, heldByTier}) => Math.max(waitingByTier.length, heldByTier.length)));
	const slots = demands.map(() => 0);
	let available = limit;
	for (let tier = 0; tier < tierCount; tier += 1) {
		available -= allocateEvenly(slots, demands.map(demand => requestedSlots(demand, tier, tierCount - 1)), available);
	}

	const hasDemand = demands.map(demand => demand.held + sum(demand.waitingByTier) > 0);
	allocateEvenly(slots, hasDemand.map(isActive => isActive ? limit : 0), available);
	return slots;
}

function requestedSlots(demand: ShareDemand, tier: number, lowestTier: number): number {
	const held = demand.heldByTier.length > 0
		? demand.heldByTier[tier] ?? 0
		: (tier === lowestTier ? demand.held : 0);
	return held + (demand.waitingByTier[tier] ?? 0);
}

/**
 * Max-min fair allocation: adds up to the requested number to the slots of each node, smallest requests first.
 *
 * @returns Number of slots allocated.
 */
function allocateEvenly(slots: number[], requests: readonly number[], available: number): number {
	const order = requests.map((requested, index) => ({requested, index}))
		.filter(({requested}) => requested > 0)
		.toSorted((a, b) => a.requested - b.requested);
	let unallocated = available;
	for (const [position, {requested, index}] of order.entries()) {
		const allocated = Math.min(requested, Math.floor(unallocated / (order.length - position)));
		slots[index] = slots[index]! + allocated;
		unallocated -= allocated;
	}

	return available - unallocated;
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, number) => total + number, 0);
}

/** Time without a response to a demand after which the allocator counts as unreachable. */
const DEMAND_TIMEOUT_MS = 600;

type HeldShare = Share & {readonly until: number};

/** Parameters of the share that a node uses while the allocator is unreachable. */
export type ShareFallback = {
	/** Limit used if no allocator has ever responded. */
	readonly limit: number;
	/**
	 * Number of nodes assigned to the upstream. The number of nodes with demand at the last share would be too small if
	 * more nodes become busy before a new allocator responds.
	 */
	readonly holders: number;
};

/** Shares held by one node. */
export class ShareHolder {
	static create(): ShareHolder {
		return new ShareHolder();
	}

	readonly #shares = new Map<string, HeldShare>();
	/** Time of the first demand since the last response, by upstream ID. */
	readonly #unansweredSince = new Map<string, number>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Returns the sequence number of the last grant, to be sent with the next demand. */
	lastGrant(upstreamId: string): number {
		return this.#shares.get(upstreamId)?.sequence ?? 0;
	}

	/** Records that a demand is sent. */
	noteAsked(upstreamId: string, now: number): void {
		if (!this.#unansweredSince.has(upstreamId)) {
			this.#unansweredSince.set(upstreamId, now);
		}
	}

	/**
	 * Accepts a response of the allocator. Responses that arrive out of order are ignored.
	 *
	 * @param sentAt - Time at which the demand was sent, so that the share expires here before it expires at the allocator.
	 * @param isNewAllocator - Whether a different process responded, whose sequence numbers restart.
	 */
	accept(upstreamId: string, share: Share, sentAt: number, isNewAllocator: boolean): void {
		const previous = this.#shares.get(upstreamId);
		if (!previous || isNewAllocator || share.sequence > previous.sequence) {
			this.#shares.set(upstreamId, {
				slots: share.slots, limit: share.limit, sequence: share.sequence, until: sentAt + SHARE_LIFETIME_MS,
			});
			this.#unansweredSince.delete(upstreamId);
		}
	}

	/**
	 * Returns whether a demand must be sent now: there is no share, the node is idle, the share is due for renewal, or the
	 * share is too small and below the limit. A message has a fixed cost, so a node with enough slots only renews.
	 */
	isDue(demand: ShareDemand, now: number): boolean {
		const share = this.#shares.get(demand.upstreamId);
		const waiting = sum(demand.waitingByTier);
		const isIdle = waiting === 0 && demand.held === 0;
		return !share || isIdle || share.until - now <= SHARE_LIFETIME_MS - RENEW_AFTER_MS
			|| (demand.held + waiting > share.slots && share.slots < share.limit);
	}

	/**
	 * Returns the slots that this node may use now: its share, one slot while it has no share and no demand has timed out,
	 * or an even part of the limit if the allocator is unreachable.
	 */
	slots(upstreamId: string, now: number, fallback: ShareFallback): number {
		const share = this.#shares.get(upstreamId);
		if (share && share.until > now) {
			return Math.max(FLOOR_SLOTS, share.slots);
		}

		if (now - (this.#unansweredSince.get(upstreamId) ?? now) < DEMAND_TIMEOUT_MS) {
			return FLOOR_SLOTS;
		}

		return Math.max(FLOOR_SLOTS, Math.floor((share?.limit ?? fallback.limit) / Math.max(1, fallback.holders)));
	}

	/** Stops waiting for a response for an upstream without demand. */
	noteIdle(upstreamId: string): void {
		this.#unansweredSince.delete(upstreamId);
	}

	/** Removes upstreams that this node no longer uses. */
	retain(isUsed: (upstreamId: string) => boolean): void {
		for (const id of this.#shares.keys()) {
			if (!isUsed(id)) {
				this.#shares.delete(id);
				this.#unansweredSince.delete(id);
			}
		}
	}
}
