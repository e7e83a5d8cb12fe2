/**
 * The leader's end of the links: accepts links from the other VMs, passes their asks to the allocator, and publishes
 * upstreams, members and configuration.
 */
import {LRUCache} from 'lru-cache';
import {type Allocator} from '../allocation/allocator.js';
import {emptyReport} from '../allocation/allocation.js';
import {reachableShare} from '../allocation/scope.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Departure} from '../gateway/departed-upstreams.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {Ending} from '../gateway/exchange-ending.js';
import {type UpstreamChanges} from '../gateway/upstream-list.js';
import {type Suspicion} from '../policy/suspicion.js';
import {type RolloutsMessage} from '../rollout/rollout-record.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {type Channel, encodeLine} from './link-network.js';
import {
	type FromLeader, type Leader, type Member, type ToLeader,
} from './messages.js';

/** Heartbeat interval of a link, in ms; about a third of `LEADER_TIMEOUT_MS`. */
export const HEARTBEAT_INTERVAL_MS = 200;
/** Silence after which a VM counts as lost, in ms; covers several heartbeats and a stall of a throttled CPU. */
const VM_TIMEOUT_MS = 1200;
/**
 * Silence after which the leader counts as lost and a VM allocates alone, in ms. Covers several heartbeats and a stall
 * of a throttled CPU; with a longer timeout, waiting requests would miss their response-time objective.
 */
export const LEADER_TIMEOUT_MS = 700;
/** How long lost VMs are assumed to be linked to another leader, in ms; if there is one, the store reports it by then. */
const LOST_VMS_HOLD_MS = 5000;
/** Changes of the member list within this time are sent together, in ms. */
const MEMBERS_BATCH_MS = 80;
/** Of the configuration versions within this time only the last is sent, in ms; a tenth of the time in which a version must be in force. */
const CONFIGURATION_BATCH_MS = 200;
/**
 * Limits of upstreams that change within this time are sent together, in ms. An upstream may change its limit with each
 * response, and the other VMs need it only when they decide without this leader.
 */
const LIMITS_BATCH_MS = 500;
/** Longest configuration that is sent over links, in characters; sending it to 360 VMs takes less than 2 s at 50 Mbit/s. */
const MAX_INLINE_CONFIGURATION_LENGTH = 32_768;
/** Interval at which the learned paces are sent, in ms; a successor works well with paces that are seconds old. */
const PACES_INTERVAL_MS = 3000;
/** Features that are sent to a VM at most; each takes some hundred bytes. */
export const MAX_SUSPICIONS = 1000;
/** Crashes of a feature from which the other VMs are told of it. */
const CRASHES_TO_SEND = 2;
/** Number of VMs that receive the paces: the strongest ones, which are the likely successors. */
const SUCCESSOR_COUNT = 4;

/** Dependencies of the host. */
export type LeaderHostOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly allocator: Allocator;
	readonly self: () => Member;
	readonly reachesStore: () => boolean;
	/** Roll-outs of versions; `undefined` if versions are not distinguished. */
	readonly rollouts?: Rollouts;
};

type Link = {
	member: Member;
	readonly channel: Channel<FromLeader>;
	readonly askIds: Set<string>;
	/** Version in force at the VM when it linked. */
	readonly configurationVersion: number;
	/** An earlier link of the same VM whose loss is not detected yet; it no longer owns asks and places that the VM sends on this link. */
	readonly before: Link | undefined;
	lastReceivedAt: number;
	lastSentAt: number;
	/** Whether this leader reached the store, as the VM was told last. */
	toldReachesStore: boolean;
	/** Whether the VM stops as planned. */
	hasResigned: boolean;
	/** Whether the whole member list was sent; from then on only changes are. */
	hasMemberList: boolean;
};

/** Serves the links of all other VMs. */
export class LeaderHost {
	static create(options: LeaderHostOptions): LeaderHost {
		return new LeaderHost(options);
	}

	readonly #options: LeaderHostOptions;
	readonly #links = new Map<Channel<FromLeader>, Link>();
	#leader: Leader | undefined;
	#timer: Timer | undefined;
	#membersTimer: Timer | undefined;
	#configurationTimer: Timer | undefined;
	#limitsTimer: Timer | undefined;
	/** Upstreams whose limits are sent next. */
	readonly #limitsToSend = new Set<string>();
	/** The link that was asked for its configuration. */
	#configurationSource: Link | undefined;
	readonly #publishedFeatures = new LRUCache<string, true>({max: MAX_SUSPICIONS});
	#pacesSentAt = 0;
	/** Number of VMs, this one included, that were recently in contact at the same time. */
	#knownVmCount = 0;
	#knownVmCountAt = 0;

	private constructor(options: LeaderHostOptions) {
		this.#options = options;
	}

	/** Number of links. */
	get linkCount(): number {
		return this.#links.size;
	}

	/** @param leader - This VM as leader, with its term. */
	start(leader: Leader): void {
		this.#leader = leader;
		this.#knownVmCount = 0;
		this.#tick();
		this.publishMembers();
	}

	/** @param leader - This VM under a later term; the links stay. */
	renew(leader: Leader): void {
		this.#leader = leader;
		this.#broadcast({kind: 'renewed', leader}, [...this.#links.values()]);
	}

	stop(): void {
		this.#timer?.cancel();
		this.#membersTimer?.cancel();
		this.#configurationTimer?.cancel();
		this.#limitsTimer?.cancel();
		this.#timer = undefined;
		this.#membersTimer = undefined;
		this.#configurationTimer = undefined;
		this.#limitsTimer = undefined;
		this.#limitsToSend.clear();
		this.#configurationSource = undefined;
		// Cleared before closing: each close would otherwise publish a member list without that VM, also to this VM.
		const links = [...this.#links.values()];
		this.#links.clear();
		for (const link of links) {
			link.channel.close();
		}
	}

	/** Adds the link of a VM that sent a hello. */
	add(channel: Channel<FromLeader>, hello: Extract<ToLeader, {kind: 'hello'}>): void {
		const {
			clock, state, allocator, log, rollouts,
		} = this.#options;
		const now = clock.now();
		const before = [...this.#links.values()].findLast(({member}) => member.name === hello.member.name);
		const link: Link = {
			member: hello.member, channel, askIds: new Set(), configurationVersion: hello.configurationVersion, before, lastReceivedAt: now, lastSentAt: now, toldReachesStore: true, hasResigned: false, hasMemberList: false,
		};
		this.#links.set(channel, link);
		log.info('VM linked.', {vm: hello.member.name, links: this.#links.size});
		if (this.#leader !== undefined) {
			this.#send(link, {kind: 'welcome', leader: this.#leader});
		}

		this.#send(link, {
			kind: 'upstreams', isWhole: true, changed: state.upstreams.all, removed: [],
		});
		const departures = state.upstreams.departed.all;
		if (departures.length > 0) {
			this.#send(link, {kind: 'departed', departures});
		}

		const limits = state.limits.list(now);
		if (limits.length > 0) {
			this.#send(link, {kind: 'limits', limits});
		}

		const suspicions = allocator.quarantine.export(now).filter(suspicion => isWorthSending(suspicion));
		if (suspicions.length > 0) {
			this.#send(link, {kind: 'suspicions', suspicions: suspicions.slice(0, MAX_SUSPICIONS)});
		}

		if (rollouts !== undefined) {
			rollouts.informed.noteLinked(hello.member.name);
			this.#send(link, rollouts.message);
		}

		this.#sendConfiguration([link]);
		this.#requestLaterConfiguration();
		this.publishMembers();
	}

	receive(channel: Channel<FromLeader>, message: ToLeader): void {
		const link = this.#links.get(channel);
		if (link === undefined) {
			return;
		}

		const {allocator, clock, state, rollouts} = this.#options;
		link.lastReceivedAt = clock.now();
		switch (message.kind) {
			case 'ask': {
				this.#handleAsk(link, message.ask);
				break;
			}

			case 'places': {
				for (const place of message.places) {
					link.before?.askIds.delete(place.ask.id);
					link.askIds.add(place.ask.id);
				}

				allocator.adopt(message.places);
				break;
			}

			case 'withdraw': {
				this.#cancelAsk(link, message.id);
				break;
			}

			case 'first': {
				allocator.noteFirst(message.id, message.ms, message.pace);
				break;
			}

			case 'release': {
				link.askIds.delete(message.id);
				allocator.release(message.id, message.report);
				break;
			}

			case 'member': {
				link.member = message.member;
				this.publishMembers();
				break;
			}

			case 'resigned': {
				link.hasResigned = true;
				break;
			}

			case 'leaving': {
				state.noteLeaving(message.boots);
				break;
			}

			case 'departed': {
				state.noteDeparted(message.departures);
				break;
			}

			case 'limits': {
				state.mergeLimits(message.limits, clock.now());
				// Also sent if nothing changed, as the VM may know less than this leader.
				this.publishLimits(message.limits.map(({id}) => id));
				break;
			}

			case 'suspicions': {
				this.#importSuspicions(message.suspicions);
				break;
			}

			case 'rollouts': {
				rollouts?.merge(message.rollouts);
				break;
			}

			case 'rollouts-known': {
				rollouts?.informed.noteAcknowledged(link.member.name, message.revision);
				break;
			}

			case 'need-configuration': {
				if (state.table !== undefined) {
					this.#send(link, {kind: 'configuration', configuration: state.table.configuration});
				}

				break;
			}

			case 'configuration': {
				state.applyConfiguration(message.configuration);
				this.#configurationSource = undefined;
				this.#requestLaterConfiguration();
				break;
			}

			case 'beat':
			case 'hello': {
				break;
			}
		}
	}

	/** Removes a link whose connection closed, and releases the places and queue entries of its VM. */
	remove(channel: Channel<FromLeader>): void {
		const link = this.#links.get(channel);
		if (link === undefined) {
			return;
		}

		const {
			log, rollouts, allocator, clock,
		} = this.#options;
		this.#links.delete(channel);
		if (link.hasResigned) {
			// It cannot have another leader, unlike a VM whose link was lost.
			this.#knownVmCount = Math.max(0, this.#knownVmCount - 1);
		}

		if ([...this.#links.values()].every(({member}) => member.name !== link.member.name)) {
			rollouts?.informed.noteLost(link.member.name, Math.max(0, ...[...link.askIds].map(id => allocator.remainingMs(id))), clock.now());
		}

		log.warn('Link to a VM lost.', {vm: link.member.name, places: link.askIds.size});
		for (const id of link.askIds) {
			this.#cancelAsk(link, id);
		}

		if (this.#configurationSource === link) {
			this.#configurationSource = undefined;
			this.#requestLaterConfiguration();
		}

		this.publishMembers();
	}

	publishRollouts(message: RolloutsMessage): void {
		this.#broadcast(message, [...this.#links.values()]);
	}

	publishDepartures(departures: readonly Departure[]): void {
		this.#broadcast({kind: 'departed', departures}, [...this.#links.values()]);
	}

	publishUpstreams({changed, removed}: UpstreamChanges): void {
		this.#broadcast({
			kind: 'upstreams', isWhole: false, changed, removed,
		}, [...this.#links.values()]);
	}

	/** Sends what is known of the limits of these upstreams to all VMs, after `LIMITS_BATCH_MS`. */
	publishLimits(ids: readonly string[]): void {
		for (const id of ids) {
			this.#limitsToSend.add(id);
		}

		const {clock, state} = this.#options;
		this.#limitsTimer ??= clock.setTimer(LIMITS_BATCH_MS, () => {
			this.#limitsTimer = undefined;
			this.#broadcast({kind: 'limits', limits: state.limits.get(this.#limitsToSend, clock.now())}, [...this.#links.values()]);
			this.#limitsToSend.clear();
		});
	}

	/** Sends a suspicion to all VMs if a successor needs it: most requests are suspects of a single crash, and soon cleared. */
	publishSuspicion(suspicion: Suspicion): void {
		const {feature, isCleared} = suspicion;
		if (isCleared ? this.#publishedFeatures.delete(feature) : isWorthSending(suspicion)) {
			if (!isCleared) {
				this.#publishedFeatures.set(feature, true);
			}

			this.#broadcast({kind: 'suspicions', suspicions: [suspicion]}, [...this.#links.values()]);
		}
	}

	/** Sends the configuration in force to all VMs, after `CONFIGURATION_BATCH_MS`. */
	publishConfiguration(): void {
		this.#configurationTimer ??= this.#options.clock.setTimer(CONFIGURATION_BATCH_MS, () => {
			this.#configurationTimer = undefined;
			this.#sendConfiguration([...this.#links.values()]);
		});
	}

	/** Sends the member list to all VMs, after `MEMBERS_BATCH_MS`. */
	publishMembers(): void {
		const {clock, self} = this.#options;
		this.#membersTimer ??= clock.setTimer(MEMBERS_BATCH_MS, () => {
			this.#membersTimer = undefined;
			// A VM that reconnected may still have an earlier link whose loss is not detected yet.
			const members = new Map([self(), ...[...this.#links.values()].map(link => link.member)].map(member => [member.name, member]));
			this.#sendMembers([...members.values()]);
		});
	}

	/**
	 * Asks the strongest ready VM to take over as the leader.
	 *
	 * @returns Whether there is a ready VM of at least `minStrength`.
	 */
	handOver(minStrength: number): boolean {
		const successor = this.#linksByStrength().find(link => link.member.isReady && link.member.strength >= minStrength);
		if (successor !== undefined) {
			this.#send(successor, {kind: 'take-over'});
		}

		return successor !== undefined;
	}

	/** Adds what a VM knows, and sends the sum to all VMs. */
	#importSuspicions(suspicions: readonly Suspicion[]): void {
		const {allocator: {quarantine}, clock} = this.#options;
		quarantine.import(suspicions, clock.now());
		const features = new Set(suspicions.map(({feature}) => feature));
		for (const suspicion of quarantine.export(clock.now()).filter(({feature}) => features.has(feature))) {
			this.publishSuspicion(suspicion);
		}
	}

	#linksByStrength(): Link[] {
		return [...this.#links.values()].sort((a, b) => b.member.strength - a.member.strength || (a.member.name < b.member.name ? -1 : 1));
	}

	/** Sends only the changes to VMs that have the member list, and the whole list to the others. */
	#sendMembers(members: readonly Member[]): void {
		const {state} = this.#options;
		const previous = new Map(state.members.map(member => [member.name, member]));
		const names = new Set(members.map(member => member.name));
		const changed = members.filter(member => !isSameMember(previous.get(member.name), member));
		const removed = [...previous.keys()].filter(name => !names.has(name));
		state.setMembers(members);
		const links = [...this.#links.values()];
		const newLinks = links.filter(link => !link.hasMemberList);
		if (changed.length + removed.length > 0) {
			this.#broadcast({
				kind: 'members', isWhole: false, changed, removed,
			}, links.filter(link => link.hasMemberList));
		}

		this.#broadcast({
			kind: 'members', isWhole: true, changed: members, removed: [],
		}, newLinks);
		for (const link of newLinks) {
			link.hasMemberList = true;
		}
	}

	/** Sends a small configuration itself, since a store read by each VM costs more than the traffic; of a large one only the version. */
	#sendConfiguration(links: readonly Link[]): void {
		const {table} = this.#options.state;
		if (table === undefined) {
			return;
		}

		const {configuration, version} = table;
		const isSmall = JSON.stringify(configuration).length <= MAX_INLINE_CONFIGURATION_LENGTH;
		this.#broadcast(isSmall ? {kind: 'configuration', configuration} : {kind: 'version', version}, links);
	}

	/** Asks one VM for its configuration if it has a later one: this VM may have started with an older copy of the store. */
	#requestLaterConfiguration(): void {
		const version = this.#options.state.table?.version ?? 0;
		const source = [...this.#links.values()].find(({configurationVersion}) => configurationVersion > version);
		if (this.#configurationSource === undefined && source !== undefined) {
			this.#configurationSource = source;
			this.#send(source, {kind: 'need-configuration'});
		}
	}

	#handleAsk(link: Link, ask: Extract<ToLeader, {kind: 'ask'}>['ask']): void {
		link.before?.askIds.delete(ask.id);
		link.askIds.add(ask.id);
		this.#options.allocator.ask(ask, {
			grant: (upstreamId, expectedFirstMs) => {
				this.#send(link, {
					kind: 'grant', id: ask.id, upstreamId, expectedFirstMs: Math.round(expectedFirstMs),
				});
			},
			refuse: (error, retryAfterMs) => {
				link.askIds.delete(ask.id);
				this.#send(link, {
					kind: 'refuse', id: ask.id, error, retryAfterMs,
				});
			},
		});
	}

	/** Withdraws an ask, and releases its place in case a grant is already on its way. */
	#cancelAsk(link: Link, id: string): void {
		link.askIds.delete(id);
		this.#options.allocator.withdraw(id);
		this.#options.allocator.release(id, emptyReport(Ending.Cancelled));
	}

	#tick(): void {
		const {clock, allocator, reachesStore} = this.#options;
		const now = clock.now();
		this.#timer = clock.setTimer(HEARTBEAT_INTERVAL_MS, () => {
			this.#tick();
		});
		const sendsPaces = now - this.#pacesSentAt >= PACES_INTERVAL_MS;
		if (sendsPaces) {
			this.#pacesSentAt = now;
			this.#broadcast({kind: 'paces', paces: [...allocator.paces]}, this.#linksByStrength().slice(0, SUCCESSOR_COUNT));
		}

		for (const link of this.#links.values()) {
			if (now - link.lastReceivedAt > VM_TIMEOUT_MS) {
				link.channel.close();
			} else if (now - link.lastSentAt >= HEARTBEAT_INTERVAL_MS || !reachesStore() || !link.toldReachesStore) {
				// Grants take the place of heartbeats, so a VM under load would not learn that the store is back.
				link.toldReachesStore = reachesStore();
				this.#send(link, {kind: 'beat', reachesStore: link.toldReachesStore});
			}
		}

		allocator.setShare(this.#grantableShare(now));
	}

	/** The share of common quotas and budgets that may be granted; VMs silent for `LEADER_TIMEOUT_MS` may have another leader. */
	#grantableShare(now: number): number {
		const reachesStore = this.#options.reachesStore();
		const heardCount = 1 + [...this.#links.values()].filter(link => now - link.lastReceivedAt <= LEADER_TIMEOUT_MS).length;
		if (heardCount >= this.#knownVmCount || (reachesStore && now - this.#knownVmCountAt > LOST_VMS_HOLD_MS)) {
			this.#knownVmCount = heardCount;
			this.#knownVmCountAt = now;
		}

		return reachableShare(heardCount, this.#knownVmCount, reachesStore);
	}

	/** Encodes a message once for all its receivers. */
	#broadcast(message: FromLeader, links: readonly Link[]): void {
		if (links.length === 0) {
			return;
		}

		const line = encodeLine(message);
		const now = this.#options.clock.now();
		for (const link of links) {
			link.lastSentAt = now;
			link.channel.sendLine(line);
		}
	}

	#send(link: Link, message: FromLeader): void {
		link.lastSentAt = this.#options.clock.now();
		link.channel.send(message);
	}
}

function isSameMember(a: Member | undefined, b: Member): boolean {
	return a?.boot === b.boot && a.isReady === b.isReady;
}

function isWorthSending({crashes, isCleared, quarantinedMs}: Suspicion): boolean {
	return !isCleared && (quarantinedMs > 0 || crashes.length >= CRASHES_TO_SEND);
}
