/**
 * Sends this node's demand for slots to the allocators and grants shares to the nodes whose allocator it is.
 */
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type MemberView} from '../members/member.js';
import {
	DEMAND_INTERVAL_MS, ShareAllocator, type Share, type ShareDemand, ShareHolder,
} from '../policy/shares.js';
import {type UpstreamDemand} from '../policy/scheduler.js';
import {Part} from '../supervisor/part.js';
import {type PeerHandlers, type PeerTransport} from './peer-transport.js';

/** A share that arrives later is about to expire. */
const CALL_TIMEOUT_MS = 800;
/** A node without demand reports this so many times, so that its share is released before it expires. */
const RELEASE_MESSAGE_COUNT = 2;

/** Demand of the scheduler. The numbers of in-flight requests by tier let the allocator follow the tiers exactly. */
export type TieredDemand = UpstreamDemand & {
	readonly heldByTier?: readonly number[];
};

/** Dependencies and callbacks of a `SharesPart`. */
export type SharesPartOptions = {
	readonly self: {readonly id: string; readonly process: string};
	readonly clock: Clock;
	readonly log: Log;
	readonly transport: PeerTransport;
	/** Returns the current demand; upstreams without requests in flight or waiting may be omitted. */
	readonly demand: () => readonly TieredDemand[];
	/** Returns the allocator of an upstream according to this node's view of the members. */
	readonly allocatorOf: (upstreamId: string) => MemberView | undefined;
	/** Returns the number of nodes assigned to an upstream. */
	readonly nodeCountOf: (upstreamId: string) => number;
	/** Returns the maximum concurrency of an upstream from the settings; `undefined` if the upstream is not known. */
	readonly maxConcurrencyOf: (upstreamId: string) => number | undefined;
	/** Called in each round for every upstream in `demand` or recently in use, and when a grant arrives. */
	readonly setShare: (upstreamId: string, slots: number) => void;
};

type AddressedDemand = {readonly demand: ShareDemand; readonly allocator: MemberView};

/** Exchanges demands and shares for one node. */
export class SharesPart extends Part {
	static create(options: SharesPartOptions): SharesPart {
		return new SharesPart(options);
	}

	readonly #options: SharesPartOptions;
	readonly #allocator = ShareAllocator.create();
	readonly #holder = ShareHolder.create();
	readonly #allocatorProcess = new Map<string, string>();
	/** Remaining release messages for upstreams that are no longer in use, by ID. */
	readonly #releaseMessagesLeft = new Map<string, number>();
	#timer: Timer | undefined;

	private constructor(options: SharesPartOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'shares';
	}

	/** Handlers to register with this node's peer service. */
	get handlers(): Pick<PeerHandlers, 'demand'> {
		return {demand: req => ({grants: this.#grantShares(req)})};
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#schedule(onFailure);
	}

	async stop(): Promise<void> {
		this.#timer?.cancel();
	}

	/** Returns the number of slots that this node may use now. */
	slots(upstreamId: string): number {
		const {clock, nodeCountOf, maxConcurrencyOf} = this.#options;
		return this.#holder.slots(upstreamId, clock.now(), {limit: maxConcurrencyOf(upstreamId) ?? 1, holders: nodeCountOf(upstreamId)});
	}

	/** Sends the current demand, with one message per allocator. */
	sendDemand(): void {
		const now = this.#options.clock.now();
		const batches = new Map<string, AddressedDemand[]>();
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
			runInBackground(this.#options.log, 'exchange of shares', async () => this.#send(batch));
		}

		this.#allocator.retain(id => this.#isAllocator(id), now);
		this.#holder.retain(id => this.#options.maxConcurrencyOf(id) !== undefined);
	}

	#schedule(onFailure: (err: Error) => void): void {
		this.#timer = this.#options.clock.setTimer(DEMAND_INTERVAL_MS, () => {
			try {
				this.sendDemand();
				this.#schedule(onFailure);
			} catch (error) {
				onFailure(error as Error);
			}
		});
	}

	/** Returns the demand for upstreams in use, and an empty demand for upstreams that were in use recently. */
	#currentDemand(): ShareDemand[] {
		const demands: ShareDemand[] = [];
		const inUse = new Set<string>();
		for (const demand of this.#options.demand()) {
			if (demand.held > 0 || demand.waitingByTier.some(count => count > 0)) {
				inUse.add(demand.upstreamId);
				this.#releaseMessagesLeft.set(demand.upstreamId, RELEASE_MESSAGE_COUNT);
				demands.push({...demand, heldByTier: demand.heldByTier ?? [], lastGrant: this.#holder.lastGrant(demand.upstreamId)});
			}
		}

		for (const [upstreamId, messagesLeft] of this.#releaseMessagesLeft) {
			if (inUse.has(upstreamId)) {
				continue;
			}

			demands.push({
				upstreamId, limitEstimate: this.#options.maxConcurrencyOf(upstreamId) ?? 1, held: 0, waitingByTier: [], heldByTier: [], lastGrant: this.#holder.lastGrant(upstreamId),
			});
			if (messagesLeft > 1) {
				this.#releaseMessagesLeft.set(upstreamId, messagesLeft - 1);
			} else {
				this.#releaseMessagesLeft.delete(upstreamId);
			}
		}

		return demands;
	}

	async #send(batch: readonly AddressedDemand[]): Promise<void> {
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
			this.#applyGrants(batch, this.#grantShares({process: self.process, demands}), sentAt);
			return;
		}

		const response = await transport.call(allocator.address, 'demand', {process: self.process, demands}, CALL_TIMEOUT_MS);
		if (response.isOk) {
			this.#applyGrants(batch, response.value.grants, sentAt);
		}
	}

	#applyGrants(batch: readonly AddressedDemand[], grants: readonly Share[], sentAt: number): void {
		for (const [index, {demand: {upstreamId}, allocator}] of batch.entries()) {
			const grant = grants[index];
			// A response from a former allocator must not replace the grant of its successor.
			if (grant && grant.sequence > 0 && this.#options.allocatorOf(upstreamId)?.process === allocator.process) {
				const isNewAllocator = this.#allocatorProcess.get(upstreamId) !== allocator.process;
				this.#allocatorProcess.set(upstreamId, allocator.process);
				this.#holder.accept(upstreamId, grant, sentAt, isNewAllocator);
				this.#options.setShare(upstreamId, this.slots(upstreamId));
			}
		}
	}

	#isAllocator(upstreamId: string): boolean {
		return this.#options.allocatorOf(upstreamId)?.id === this.#options.self.id;
	}

	#grantShares({process, demands}: {process: string; demands: readonly ShareDemand[]}): Share[] {
		const now = this.#options.clock.now();
		return demands.map(demand => {
			const maxConcurrency = this.#options.maxConcurrencyOf(demand.upstreamId);
			return maxConcurrency === undefined || !this.#isAllocator(demand.upstreamId)
				? {slots: 0, limit: 0, sequence: 0}
				: this.#allocator.grant(process, demand, maxConcurrency, now);
		});
	}
}
