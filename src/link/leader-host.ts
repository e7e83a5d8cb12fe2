/**
 * The side of the VM that allocates for all: links from the other VMs, their asks, and what it tells them.
 */
import {type Allocator} from '../allocation/allocator.js';
import {emptyReport} from '../allocation/allocation.js';
import {reachableShare} from '../allocation/scope.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {Ending} from '../gateway/exchange-ending.js';
import {type UpstreamChanges} from '../gateway/upstream-list.js';
import {type Channel, encodeLine} from './link-network.js';
import {
	type FromLeader, type Leader, type Member, type ToLeader,
} from './messages.js';

/** Time between signs of life on a link, in ms; a third of the silence after which a VM decides alone. */
export const BEAT_MS = 200;
/** Silence after which a VM counts as gone, in ms: several of its beats, and a pause of a throttled processor. */
const VM_SILENCE_MS = 1200;
/**
 * Silence after which the allocator counts as lost, in ms. Several beats and a pause of a throttled processor; longer
 * would cost waiting requests their response-time objective.
 */
export const LEADER_SILENCE_MS = 700;
/** How long VMs that are gone count as those of another allocator, in ms; where there is one, the store tells of it by then. */
const KNOWN_MS = 5000;
/** Changes of the member list are told together, in ms. */
const MEMBERS_DELAY_MS = 80;
/** Versions of the configuration that follow each other within this time are told as one, in ms; a tenth of the time to come into force. */
const CONFIGURATION_DELAY_MS = 200;
/** Longest configuration that is sent over links, in characters: 360 VMs then cost a link of 50 Mbit/s under 2 s. */
const MAX_SENT_CONFIGURATION = 32_768;
/** Time between two lists of learnt paces, in ms; a successor works well with ones that are seconds old. */
const PACES_MS = 3000;
/** VMs that get the list: the ones that would take over. */
const SUCCESSORS = 4;

/** What the host works with. */
export type LeaderHostOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly allocator: Allocator;
	readonly self: () => Member;
	readonly reachesStore: () => boolean;
};

type Link = {
	member: Member;
	readonly channel: Channel<FromLeader>;
	readonly asks: Set<string>;
	/** An earlier link of the same VM that is not known to be gone: what the VM names here is no longer its. */
	readonly before: Link | undefined;
	heardAt: number;
	sentAt: number;
	/** It was told the whole list of VMs. */
	knowsMembers: boolean;
};

/** All links. */
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
	#pacesAt = 0;
	/** VMs that were heard at once, of late. */
	#known = 0;
	#knownAt = 0;

	private constructor(options: LeaderHostOptions) {
		this.#options = options;
	}

	/** Other VMs that are linked. */
	get linkCount(): number {
		return this.#links.size;
	}

	/** @param leader - This VM with its term. */
	start(leader: Leader): void {
		this.#leader = leader;
		this.#known = 0;
		this.#tick();
		this.publishMembers();
	}

	stop(): void {
		this.#timer?.cancel();
		this.#membersTimer?.cancel();
		this.#configurationTimer?.cancel();
		this.#timer = undefined;
		this.#membersTimer = undefined;
		this.#configurationTimer = undefined;
		// Forgotten first: the end of a link would otherwise be told to the others, and to this VM itself.
		const links = [...this.#links.values()];
		this.#links.clear();
		for (const link of links) {
			link.channel.close();
		}
	}

	/** Takes a VM that said hello. */
	add(channel: Channel<FromLeader>, hello: Extract<ToLeader, {kind: 'hello'}>): void {
		const {clock, state, log} = this.#options;
		const now = clock.now();
		const before = [...this.#links.values()].findLast(({member}) => member.name === hello.member.name);
		const link: Link = {
			member: hello.member, channel, asks: new Set(), before, heardAt: now, sentAt: now, knowsMembers: false,
		};
		this.#links.set(channel, link);
		log.info('VM linked.', {vm: hello.member.name, links: this.#links.size});
		if (this.#leader !== undefined) {
			this.#send(link, {kind: 'welcome', leader: this.#leader});
		}

		this.#send(link, {
			kind: 'upstreams', isWhole: true, changed: state.upstreams.all, removed: [],
		});
		this.#sendConfiguration([link]);
		this.publishMembers();
	}

	take(channel: Channel<FromLeader>, message: ToLeader): void {
		const link = this.#links.get(channel);
		if (link === undefined) {
			return;
		}

		const {allocator, clock, state} = this.#options;
		link.heardAt = clock.now();
		switch (message.kind) {
			case 'ask': {
				this.#ask(link, message.ask);
				break;
			}

			case 'places': {
				for (const place of message.places) {
					link.before?.asks.delete(place.ask.id);
					link.asks.add(place.ask.id);
				}

				allocator.adopt(message.places);
				break;
			}

			case 'withdraw': {
				this.#drop(link, message.id);
				break;
			}

			case 'first': {
				allocator.noteFirst(message.id, message.ms);
				break;
			}

			case 'release': {
				link.asks.delete(message.id);
				allocator.release(message.id, message.report);
				break;
			}

			case 'member': {
				link.member = message.member;
				this.publishMembers();
				break;
			}

			case 'leaving': {
				state.noteLeaving(message.boots);
				break;
			}

			case 'need-configuration': {
				if (state.table !== undefined) {
					this.#send(link, {kind: 'configuration', configuration: state.table.configuration});
				}

				break;
			}

			case 'beat':
			case 'hello': {
				break;
			}
		}
	}

	/** The connection of a VM is gone; its requests free their places. */
	remove(channel: Channel<FromLeader>): void {
		const link = this.#links.get(channel);
		if (link === undefined) {
			return;
		}

		const {log} = this.#options;
		this.#links.delete(channel);
		log.warn('Link to a VM lost.', {vm: link.member.name, places: link.asks.size});
		for (const id of link.asks) {
			this.#drop(link, id);
		}

		this.publishMembers();
	}

	publishUpstreams({changed, removed}: UpstreamChanges): void {
		this.#broadcast({
			kind: 'upstreams', isWhole: false, changed, removed,
		}, [...this.#links.values()]);
	}

	/** Tells all VMs the configuration that is in force here; of versions that follow each other closely, the last. */
	publishConfiguration(): void {
		this.#configurationTimer ??= this.#options.clock.setTimer(CONFIGURATION_DELAY_MS, () => {
			this.#configurationTimer = undefined;
			this.#sendConfiguration([...this.#links.values()]);
		});
	}

	/** Tells all VMs who is there. */
	publishMembers(): void {
		const {clock, self} = this.#options;
		this.#membersTimer ??= clock.setTimer(MEMBERS_DELAY_MS, () => {
			this.#membersTimer = undefined;
			// A VM that linked anew may have an earlier link that is not known to be gone.
			const members = new Map([self(), ...[...this.#links.values()].map(link => link.member)].map(member => [member.name, member]));
			this.#tellMembers([...members.values()]);
		});
	}

	/** Asks the strongest VM that takes callers to allocate in place of this one; returns false where there is none. */
	handOver(minStrength: number): boolean {
		const successor = this.#strongest().find(link => link.member.isReady && link.member.strength >= minStrength);
		if (successor !== undefined) {
			this.#send(successor, {kind: 'take-over'});
		}

		return successor !== undefined;
	}

	#strongest(): Link[] {
		return [...this.#links.values()].sort((a, b) => b.member.strength - a.member.strength || (a.member.name < b.member.name ? -1 : 1));
	}

	/** Tells changes of the list to VMs that know it, and the whole list to the others. */
	#tellMembers(members: readonly Member[]): void {
		const {state} = this.#options;
		const before = new Map(state.members.map(member => [member.name, member]));
		const names = new Set(members.map(member => member.name));
		const changed = members.filter(member => !isSameMember(before.get(member.name), member));
		const removed = [...before.keys()].filter(name => !names.has(name));
		state.setMembers(members);
		const links = [...this.#links.values()];
		const newcomers = links.filter(link => !link.knowsMembers);
		if (changed.length + removed.length > 0) {
			this.#broadcast({
				kind: 'members', isWhole: false, changed, removed,
			}, links.filter(link => link.knowsMembers));
		}

		this.#broadcast({
			kind: 'members', isWhole: true, changed: members, removed: [],
		}, newcomers);
		for (const link of newcomers) {
			link.knowsMembers = true;
		}
	}

	/** Sends the configuration itself while it is small: a read of the store by each VM costs more than the bytes. */
	#sendConfiguration(links: readonly Link[]): void {
		const {table} = this.#options.state;
		if (table === undefined) {
			return;
		}

		const {configuration, version} = table;
		const isSmall = JSON.stringify(configuration).length <= MAX_SENT_CONFIGURATION;
		this.#broadcast(isSmall ? {kind: 'configuration', configuration} : {kind: 'version', version}, links);
	}

	#ask(link: Link, ask: Extract<ToLeader, {kind: 'ask'}>['ask']): void {
		link.before?.asks.delete(ask.id);
		link.asks.add(ask.id);
		this.#options.allocator.ask(ask, {
			grant: (upstreamId, expectedFirstMs) => {
				this.#send(link, {
					kind: 'grant', id: ask.id, upstreamId, expectedFirstMs: Math.round(expectedFirstMs),
				});
			},
			refuse: (error, retryAfterMs) => {
				link.asks.delete(ask.id);
				this.#send(link, {
					kind: 'refuse', id: ask.id, error, retryAfterMs,
				});
			},
		});
	}

	/** Forgets an ask, whose grant may be on its way. */
	#drop(link: Link, id: string): void {
		link.asks.delete(id);
		this.#options.allocator.withdraw(id);
		this.#options.allocator.release(id, emptyReport(Ending.Cancelled));
	}

	#tick(): void {
		const {clock, allocator, reachesStore} = this.#options;
		const now = clock.now();
		const sendsPaces = now - this.#pacesAt >= PACES_MS;
		if (sendsPaces) {
			this.#pacesAt = now;
			this.#broadcast({kind: 'paces', paces: [...allocator.paces]}, this.#strongest().slice(0, SUCCESSORS));
		}

		for (const link of this.#links.values()) {
			if (now - link.heardAt > VM_SILENCE_MS) {
				link.channel.close();
			} else if (now - link.sentAt >= BEAT_MS || !reachesStore()) {
				this.#send(link, {kind: 'beat', reachesStore: reachesStore()});
			}
		}

		allocator.setShare(this.#shareInTouch(now));
		this.#timer = clock.setTimer(BEAT_MS, () => {
			this.#tick();
		});
	}

	/** The part of what all VMs share that may be granted here; a VM that is silent for so long may follow another allocator. */
	#shareInTouch(now: number): number {
		const reachesStore = this.#options.reachesStore();
		const heard = 1 + [...this.#links.values()].filter(link => now - link.heardAt <= LEADER_SILENCE_MS).length;
		if (heard >= this.#known || (reachesStore && now - this.#knownAt > KNOWN_MS)) {
			this.#known = heard;
			this.#knownAt = now;
		}

		return reachableShare(heard, this.#known, reachesStore);
	}

	/** Encodes a message once for all who get it. */
	#broadcast(message: FromLeader, links: readonly Link[]): void {
		if (links.length === 0) {
			return;
		}

		const line = encodeLine(message);
		const now = this.#options.clock.now();
		for (const link of links) {
			link.sentAt = now;
			link.channel.sendLine(line);
		}
	}

	#send(link: Link, message: FromLeader): void {
		link.sentAt = this.#options.clock.now();
		link.channel.send(message);
	}
}

function isSameMember(a: Member | undefined, b: Member): boolean {
	return a?.boot === b.boot && a.isReady === b.isReady;
}
