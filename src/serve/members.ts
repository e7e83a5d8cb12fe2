/**
 * Connects the membership components of a node: gossip, topics, the VM list and the assignment of upstreams to nodes.
 */
import {type Clock} from '../base/clock.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type Deployment, type Upstream} from '../config/deployment.js';
import {Assignment} from '../members/assignment.js';
import {GossipPart} from '../members/gossip-part.js';
import {type MemberSelf, type MemberView, MemberStatus} from '../members/member.js';
import {Membership} from '../members/membership.js';
import {Topics} from '../members/topics.js';
import {VmListPart} from '../members/vm-list-part.js';
import {type UpstreamView} from '../policy/scheduler.js';
import {type PeerTransport} from '../peer/peer-transport.js';
import {type VmList} from '../store/vm-list.js';

/** Time without a response from any peer after which a starting node proceeds on its own. */
const SYNC_TIMEOUT_MS = 2000;

/** Dependencies of the membership components. */
export type MembersOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	readonly self: MemberSelf;
	readonly transport: PeerTransport;
	readonly vmList: VmList;
	/** Peer addresses from the settings. */
	readonly seeds: readonly string[];
	/** Called when a newer process uses this VM's identity. */
	readonly onSuperseded: () => void;
	/** Called when the upstreams assigned to this node or their states change. */
	readonly onUpstreamsChanged: (views: readonly UpstreamView[]) => void;
};

/** A node's view of the other members, and the upstreams assigned to it. */
export class Members {
	static create(options: MembersOptions): Members {
		return new Members(options);
	}

	readonly topics = Topics.create();
	readonly gossip: GossipPart;
	readonly vmList: VmListPart;
	readonly #options: MembersOptions;
	readonly #membership: Membership;
	readonly #leaving = new Set<string>();
	#deployment: Deployment | undefined;
	#assignment = Assignment.create([], []);
	#assignmentKey = '';
	#assigned: readonly string[] = [];
	/** Whether no peer is known, so that there is no peer state to wait for. */
	#hasNoPeers = false;
	readonly #startedAt: number;

	private constructor(options: MembersOptions) {
		this.#options = options;
		this.#startedAt = options.clock.now();
		const {clock, log, random, self, transport, vmList, seeds, onSuperseded} = options;
		this.#membership = Membership.create({
			self, incarnation: Math.floor(clock.wallNow() / 1000), random, now: clock.now(), onEntry: this.topics.accept, onSuperseded,
		});
		this.topics.attach(this.#membership);
		this.#membership.setSeeds(seeds);
		this.gossip = GossipPart.create({
			membership: this.#membership,
			transport,
			clock,
			log: log.part(LogPrefix.Members),
			random,
			onSynced: () => {
				this.#notifyUpstreams();
			},
		});
		this.vmList = VmListPart.create({
			clock,
			log,
			vmList,
			onSeeds: addresses => {
				this.#membership.setSeeds([...seeds, ...addresses]);
				this.#hasNoPeers = !this.#membership.hasSeeds;
				this.refresh();
			},
			onLeavingUpstream: vm => {
				this.#reportLeavingVm(vm.address);
			},
		});
		this.topics.subscribe('leaving', ({upstreamId, isLeaving}) => {
			this.#setLeaving(upstreamId, isLeaving);
		});
	}

	/**
	 * Whether this node has received the state of the other members, such as which upstreams are leaving. Until then it sends
	 * no requests, because a starting node could otherwise use an upstream that has been leaving for seconds (7 s were seen).
	 */
	get isSynced(): boolean {
		return this.#hasNoPeers || this.gossip.hasSynced || this.#options.clock.now() - this.#startedAt >= SYNC_TIMEOUT_MS;
	}

	/** All known members, including this node. */
	get all(): readonly MemberView[] {
		return this.#membership.members(this.#options.clock.now());
	}

	/** All known members except this node. */
	get others(): readonly MemberView[] {
		return this.all.filter(member => member.id !== this.#options.self.id);
	}

	get incarnation(): number {
		return this.#membership.incarnation;
	}

	/** IDs of the upstreams assigned to this node. They stay the same while it leaves, as its waiting requests still need them. */
	get assigned(): readonly string[] {
		return this.#assigned;
	}

	/** Whether this node writes the freshness row of its region, which is the task of the live member with the lowest ID. */
	get isFreshnessWriter(): boolean {
		const {self} = this.#options;
		const alive = this.others.filter(member => member.region === self.region && member.status === MemberStatus.Alive);
		return alive.every(member => self.id < member.id);
	}

	nodesOf(upstreamId: string): readonly MemberView[] {
		return this.#assignment.nodesOf(upstreamId);
	}

	allocatorOf(upstreamId: string): MemberView | undefined {
		return this.#assignment.allocatorOf(upstreamId);
	}

	isAllocator(upstreamId: string): boolean {
		return this.allocatorOf(upstreamId)?.id === this.#options.self.id;
	}

	/** Publishes the address at which callers reach this node. */
	setEntryAddress(address: string): void {
		this.#membership.setEntryAddress(address, this.#options.clock.now());
	}

	/** @param percent - This node's load in percent of its capacity. */
	setLoad(percent: number): void {
		this.#membership.setLoad(percent);
	}

	/** Applies newly activated settings. */
	setDeployment(deployment: Deployment): void {
		this.#deployment = deployment;
		this.#assignmentKey = '';
		this.refresh();
	}

	/** Publishes that an upstream accepts no new work. */
	reportLeaving(upstreamId: string): void {
		const {clock} = this.#options;
		if (this.topics.publishLeaving(upstreamId, true, clock.now())) {
			this.gossip.pushUrgent();
		}
	}

	/** Publishes that an upstream accepts work again. */
	reportReturned(upstreamId: string): void {
		const {clock} = this.#options;
		if (this.topics.publishLeaving(upstreamId, false, clock.now())) {
			this.gossip.pushUrgent();
		}
	}

	/** Recomputes the assignment if members have changed. Must be called periodically. */
	refresh(): void {
		const members = this.all;
		const key = String(this.isSynced) + members.map(({id, status}) => `${id} ${status}`).toSorted().join('\n');
		if (key === this.#assignmentKey) {
			return;
		}

		this.#assignmentKey = key;
		const upstreams = (this.#deployment?.upstreams ?? []).map(({id, pool, settings}) => ({
			id, pool, region: settings.region, dataCentre: settings.dataCentre,
		}));
		this.#assignment = Assignment.create(members, upstreams);
		const {self} = this.#options;
		if (members.some(({id, status}) => id === self.id && status === MemberStatus.Alive)) {
			this.#assigned = this.#assignment.upstreamsOf(self.id);
		}

		this.#notifyUpstreams();
	}

	#notifyUpstreams(): void {
		if (!this.isSynced) {
			return;
		}

		const assigned = new Set(this.assigned);
		const upstreams = (this.#deployment?.upstreams ?? []).filter(({id}) => assigned.has(id));
		this.#options.onUpstreamsChanged(upstreams.map(upstream => this.#toView(upstream)));
	}

	#toView({id, pool, settings}: Upstream): UpstreamView {
		return {
			id,
			pool,
			region: settings.region,
			dataCentre: settings.dataCentre,
			models: settings.models,
			maxConcurrency: settings.maxConcurrency,
			isLeaving: settings.leaving || this.#leaving.has(id),
		};
	}

	#setLeaving(upstreamId: string, isLeaving: boolean): void {
		if (isLeaving === this.#leaving.has(upstreamId)) {
			return;
		}

		if (isLeaving) {
			this.#leaving.add(upstreamId);
		} else {
			this.#leaving.delete(upstreamId);
		}

		this.#notifyUpstreams();
	}

	/** Reports the upstreams of a VM as leaving. The VM list identifies VMs by address, which is the host of an upstream's URL. */
	#reportLeavingVm(address: string): void {
		for (const {id, settings} of this.#deployment?.upstreams ?? []) {
			if (new URL(settings.url).host === address) {
				this.reportLeaving(id);
			}
		}
	}
}
