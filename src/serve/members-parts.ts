/**
 * Assembles membership: gossip, topics, the VM list, and which upstreams this node talks to.
 */
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
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

/** Without an answer of any peer for this long, a node starts on its own. */
const SYNC_TIMEOUT_MS = 2000;

/** What the assembly works with. */
export type MembersOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	readonly self: MemberSelf;
	readonly transport: PeerTransport;
	readonly vmList: VmList;
	/** Peer addresses from the settings. */
	readonly seeds: readonly string[];
	/** A newer process took this VM's identity. */
	readonly onSuperseded: () => void;
	/** Called when the upstreams that this node talks to, or their states, changed. */
	readonly onUpstreams: (views: readonly UpstreamView[]) => void;
};

/** What a node knows of the others, and its part of the upstreams. */
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
	#assignedFor = '';
	/** No peer is known, so that there is nothing to wait for. */
	#isAlone = false;
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
			random,
			onSynced: () => {
				this.#tellUpstreams();
			},
		});
		this.vmList = VmListPart.create({
			clock,
			log,
			vmList,
			onSeeds: addresses => {
				this.#membership.setSeeds([...seeds, ...addresses]);
				this.#isAlone = !this.#membership.hasSeeds;
				this.refresh();
			},
			onLeavingUpstream: vm => {
				this.#noteLeavingVm(vm.address);
			},
		});
		this.topics.subscribe('leaving', ({upstreamId, isLeaving}) => {
			this.#noteLeaving(upstreamId, isLeaving);
		});
	}

	/**
	 * Whether this node heard what the others know, such as which upstreams are leaving. Until then it sends no request:
	 * a node that had just started sent work to an upstream that had been leaving for 7 s.
	 */
	get isSynced(): boolean {
		return this.#isAlone || this.gossip.hasSynced || this.#options.clock.now() - this.#startedAt >= SYNC_TIMEOUT_MS;
	}

	/** All members that this node knows, itself included. */
	get all(): readonly MemberView[] {
		return this.#membership.members(this.#options.clock.now());
	}

	/** The members without this node. */
	get others(): readonly MemberView[] {
		return this.all.filter(member => member.id !== this.#options.self.id);
	}

	get incarnation(): number {
		return this.#membership.incarnation;
	}

	/** The upstreams that this node talks to. */
	get assigned(): readonly string[] {
		return this.#assignment.upstreamsOf(this.#options.self.id);
	}

	/** Whether this node writes the freshness row of its region: the first live member of the region does. */
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

	/** Tells the others where callers reach this node. */
	setEntryAddress(address: string): void {
		this.#membership.setEntryAddress(address, this.#options.clock.now());
	}

	/** @param percent - This node's load in percent of its capacity. */
	setLoad(percent: number): void {
		this.#membership.setLoad(percent);
	}

	/** Takes settings that came into force. */
	setDeployment(deployment: Deployment): void {
		this.#deployment = deployment;
		this.#assignedFor = '';
		this.refresh();
	}

	/** Publishes that an upstream takes no new work. */
	reportLeaving(upstreamId: string): void {
		const {clock} = this.#options;
		if (this.topics.publishLeaving(upstreamId, true, clock.now())) {
			this.gossip.pushUrgent();
		}
	}

	/** Publishes that an upstream takes work again. */
	reportReturned(upstreamId: string): void {
		const {clock} = this.#options;
		if (this.topics.publishLeaving(upstreamId, false, clock.now())) {
			this.gossip.pushUrgent();
		}
	}

	/** Computes the assignment again where members changed; to be called at an interval. */
	refresh(): void {
		const members = this.all;
		const key = String(this.isSynced) + members.map(({id, status}) => `${id} ${status}`).toSorted().join('\n');
		if (key === this.#assignedFor) {
			return;
		}

		this.#assignedFor = key;
		const upstreams = (this.#deployment?.upstreams ?? []).map(({id, pool, settings}) => ({
			id, pool, region: settings.region, dataCentre: settings.dataCentre,
		}));
		this.#assignment = Assignment.create(members, upstreams);
		this.#tellUpstreams();
	}

	#tellUpstreams(): void {
		if (!this.isSynced) {
			return;
		}

		const assigned = new Set(this.assigned);
		const upstreams = (this.#deployment?.upstreams ?? []).filter(({id}) => assigned.has(id));
		this.#options.onUpstreams(upstreams.map(upstream => this.#toView(upstream)));
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

	#noteLeaving(upstreamId: string, isLeaving: boolean): void {
		if (isLeaving === this.#leaving.has(upstreamId)) {
			return;
		}

		if (isLeaving) {
			this.#leaving.add(upstreamId);
		} else {
			this.#leaving.delete(upstreamId);
		}

		this.#tellUpstreams();
	}

	/** The list names VMs by address; an upstream's URL has it as its host. */
	#noteLeavingVm(address: string): void {
		for (const {id, settings} of this.#deployment?.upstreams ?? []) {
			if (new URL(settings.url).host === address) {
				this.reportLeaving(id);
			}
		}
	}
}
