/**
 * Sends this node's demand for slots to the allocators, and answers the demands of others.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {type MemberView} from '../members/member.js';
import {
	DEMAND_INTERVAL_MS, ShareAllocator, type Share, type ShareDemand, ShareHolder,
} from '../policy/shares.js';
import {type UpstreamDemand} from '../policy/scheduler.js';
import {Part} from '../supervisor/part.js';
import {type PeerHandlers, type PeerTransport} from './peer-transport.js';

/** An answer that takes longer brings a share that is about to end. */
const CALL_TIMEOUT_MS = 800;
/** A node without demand says so this many times, so that its share is free before it ends. */
const RELEASES = 2;

/** Demand of the scheduler; in-flight requests by tier make the division follow the tiers exactly. */
export type TieredDemand = UpstreamDemand & {
	readonly heldByTier?: readonly number[];
};

/** What the part is made of. */
export type SharesPartOptions = {
	readonly self: {readonly id: string; readonly process: string};
	readonly clock: Clock;
	readonly transport: PeerTransport;
	/** What this node wants now; upstreams without requests in flight or waiting may be left out. */
	readonly demand: () => readonly TieredDemand[];
	/** The allocator of an upstream, as this node knows it. */
	readonly allocatorOf: (upstreamId: string) => MemberView | undefined;
	/** Nodes assigned to an upstream. */
	readonly nodeCountOf: (upstreamId: string) => number;
	/** Bound of an upstream from the settings; `undefined` for upstreams that this node does not know. */
	readonly maxConcurrencyOf: (upstreamId: string) => number | undefined;
	/** Called after each round for each upstream with demand or a share. */
	readonly setShare: (upstreamId: string, slots: number) => void;
};

type Wish = {readonly demand: ShareDemand; readonly allocator: MemberView};

/** The share traffic of one node. */
export class SharesPart extends Part {
	static create(options: SharesPartOptions): SharesPart {
		return new SharesPart(options);
	}

	readonly #options: SharesPartOptions;
	readonly #allocator = ShareAllocator.create();
	readonly #holder = ShareHolder.create();
	readonly #allocatorProcess = new Map<string, string>();
	/** Remaining messages about upstreams that were in use, by ID. */
	readonly #releases = new Map<string, number>();
	#timer: Timer | undefined;

	private constructor(options: SharesPartOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'shares';
	}

	/** To be served by this node's peer service. */
	get handlers(): Pick<PeerHandlers, 'demand'> {
		return {demand: req => ({grants: this.#divide(req)})};
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#timer = this.#options.clock.setTimer(DEMAND_INTERVAL_MS, () => {
			try {
				this.sendDemand();
				void this.start(onFailure);
			} catch (error) {
				onFailure(error as Error);
			}
		});
	}

	async stop(): Promise<void> {
		this.#timer?.cancel();
	}

	/** Slots that this node may use now. */
	slots(upstreamId: string): number {
		const {clock, nodeCountOf, maxConcurrencyOf} = this.#options;
		return this.#holder.slots(upstreamId, clock.now(), {limit: maxConcurrencyOf(upstreamId) ?? 1, holders: nodeCountOf(upstreamId)});
	}

	/** Sends the demand of this moment, one message for each allocator. */
	sendDemand(): void {
		const now = this.#options.clock.now();
		const batches = new Map<string, Wish[]>();
		for (const demand of this.#currentDemand()) {
			this.#options.setShare(demand.upstreamId, this.slots(demand.upstreamId));
			if (!this.#holder.isDue(demand, now)) {
				continue;
			}

			const allocator = this.#options.allocatorOf(demand.upstreamId);
			if (demand.held === 0 && demand.waitingByTier.length === 0) {
				this.#holder.noteIdle(demand.upstreamId);
			} else {
				this.#holder.noteAsked(demand.upstreamId, now);
			}

			if (allocator) {
				const batch = batches.get(allocator.id) ?? [];
				batch.push({demand, allocator});
				batches.set(allocator.id, batch);
			}
		}

		for (const batch of batches.values()) {
			void this.#send(batch);
		}

		this.#allocator.retain(id => this.#isAllocator(id), now);
		this.#holder.retain(id => this.#options.maxConcurrencyOf(id) !== undefined);
	}

	/** Upstreams in use, and for a while those that were. */
	#currentDemand(): ShareDemand[] {
		const demands: ShareDemand[] = [];
		const used = new Set<string>();
		for (const demand of this.#options.demand()) {
			if (demand.held > 0 || demand.waitingByTier.some(count => count > 0)) {
				used.add(demand.upstreamId);
				this.#releases.set(demand.upstreamId, RELEASES);
				demands.push({...demand, heldByTier: demand.heldByTier ?? [], lastGrant: this.#holder.lastGrant(demand.upstreamId)});
			}
		}

		for (const [upstreamId, left] of this.#releases) {
			if (used.has(upstreamId)) {
				continue;
			}

			demands.push({
				upstreamId, limitEstimate: this.#options.maxConcurrencyOf(upstreamId) ?? 1, held: 0, waitingByTier: [], heldByTier: [], lastGrant: this.#holder.lastGrant(upstreamId),
			});
			if (left > 1) {
				this.#releases.set(upstreamId, left - 1);
			} else {
				this.#releases.delete(upstreamId);
			}
		}

		return demands;
	}

	async #send(batch: readonly Wish[]): Promise<void> {
		const {self, transport, clock} = this.#options;
		const {allocator} = batch[0]!;
		const sentAt = clock.now();
		const demands = batch.map(({demand}) => ({
			...demand,
			waitingByTier: [...demand.waitingByTier],
			heldByTier: [...demand.heldByTier],
			lastGrant: this.#allocatorProcess.get(demand.upstreamId) === allocator.process ? demand.lastGrant : 0,
		}));
		if (allocator.id === self.id) {
			this.#accept(batch, this.#divide({process: self.process, demands}), sentAt);
			return;
		}

		const answer = await transport.call(allocator.address, 'demand', {process: self.process, demands}, CALL_TIMEOUT_MS);
		if (answer.isOk) {
			this.#accept(batch, answer.value.grants, sentAt);
		}
	}

	#accept(batch: readonly Wish[], grants: readonly Share[], sentAt: number): void {
		for (const [index, {demand: {upstreamId}, allocator}] of batch.entries()) {
			const grant = grants[index];
			// An answer of a former allocator must not replace that of its successor.
			if (grant && grant.sequence > 0 && this.#options.allocatorOf(upstreamId)?.process === allocator.process) {
				const isNew = this.#allocatorProcess.get(upstreamId) !== allocator.process;
				this.#allocatorProcess.set(upstreamId, allocator.process);
				this.#holder.accept(upstreamId, grant, sentAt, isNew);
				this.#options.setShare(upstreamId, this.slots(upstreamId));
			}
		}
	}

	#isAllocator(upstreamId: string): boolean {
		return this.#options.allocatorOf(upstreamId)?.id === this.#options.self.id;
	}

	#divide({process, demands}: {process: string; demands: readonly ShareDemand[]}): Share[] {
		const now = this.#options.clock.now();
		return demands.map(demand => {
			const maxConcurrency = this.#options.maxConcurrencyOf(demand.upstreamId);
			return maxConcurrency === undefined || !this.#isAllocator(demand.upstreamId)
				? {slots: 0, limit: 0, sequence: 0}
				: this.#allocator.grant(process, demand, maxConcurrency, now);
		});
	}
}
