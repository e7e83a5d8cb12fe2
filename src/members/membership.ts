/**
 * Membership by gossip: who is alive, and the entries that ride on the exchange. Performs no I/O.
 */
import {create} from '@bufbuild/protobuf';
import {type Random} from '../base/random.js';
import {
	ExchangeRequestSchema, ExchangeResponseSchema, MemberState, type Entry, type ExchangeRequest, type ExchangeResponse, type Member,
} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {EntryStore} from './entry-store.js';
import {createEntry, type EntryInit} from './entry-version.js';
import {Heartbeats} from './heartbeats.js';
import {Liveness} from './failure-detector.js';
import {type MemberSelf, MemberStatus, type MemberView} from './member.js';

/** Time between exchanges of one node. */
export const GOSSIP_INTERVAL_MS = 500;
/** Random peers of one exchange, and receivers of a push. */
export const GOSSIP_FAN_OUT = 3;

/** Members that are silent together with most of their region may be cut off; they keep their place for this long. */
const PARTITION_HOLD_MS = 90 * 60_000;
/** Longer than a partition is waited for, so that no side brings back a member that the other side removed. */
const TOMBSTONE_MS = 100 * 60_000;
/** In this time after its start a process takes over its ID from an earlier process; later it gives way. */
const JOINING_MS = 30_000;
/** A tick that comes later than this shows that this process was paused. */
const PAUSE_MS = 4 * GOSSIP_INTERVAL_MS;
const SENDS_FACTOR = 3;
/** Addresses that are no known members are tried this often, to find peers after a start or a partition. */
const SEED_TICKS = 10;

const memberPrefix = 'm/';

const stateToStatus = {
	[MemberState.UNSPECIFIED]: MemberStatus.Dead,
	[MemberState.ALIVE]: MemberStatus.Alive,
	[MemberState.LEAVING]: MemberStatus.Leaving,
	[MemberState.LEFT]: MemberStatus.Left,
	[MemberState.DEAD]: MemberStatus.Dead,
} as const;

/** How a node sends on an entry that is new to it. */
const Spread = {
	/** To random peers at once, and with the next messages. */
	Push: 'push',
	/** With the next messages. */
	Rumour: 'rumour',
	/** Only to peers that turn out to lack it. */
	None: 'none',
} as const;

type Spread = (typeof Spread)[keyof typeof Spread];

/** A message to send; its answer goes to `receiveAnswer`. */
export type GossipCall = {
	readonly address: string;
	readonly req: ExchangeRequest;
};

/** What a membership is made of. */
export type MembershipOptions = {
	readonly self: MemberSelf;
	/** First incarnation; the wall clock in seconds is a good one, and a too small one is corrected by the peers. */
	readonly incarnation: number;
	readonly random: Random;
	readonly now: number;
	/** Called for each entry that is new to this node, own ones included. */
	readonly onEntry?: (entry: Entry, now: number) => void;
	/** Called for each entry whose lifetime ended. */
	readonly onEnded?: (entry: Entry) => void;
	/** Called when a newer process with this ID was heard; this one must stop. */
	readonly onSuperseded?: () => void;
};

/** Members and entries as one node knows them. */
export class Membership {
	static create(options: MembershipOptions): Membership {
		return new Membership(options);
	}

	readonly store = EntryStore.create();
	#self: MemberSelf;
	readonly #options: MembershipOptions;
	readonly #random: Random;
	readonly #heartbeats: Heartbeats;
	readonly #startedAt: number;
	readonly #urgent = new Set<string>();
	#seeds: readonly string[] = [];
	#incarnation: number;
	#state: MemberState = MemberState.ALIVE;
	#tickedAt: number;
	#ticks = 0;
	#isSuperseded = false;

	private constructor(options: MembershipOptions) {
		this.#options = options;
		this.#self = options.self;
		this.#random = options.random;
		this.#incarnation = options.incarnation;
		this.#startedAt = options.now;
		this.#tickedAt = options.now;
		this.#heartbeats = Heartbeats.create(options.self.id);
		this.#publishSelf(options.now);
	}

	get self(): MemberSelf {
		return this.#self;
	}

	/** Tells the others where callers reach this node, once its server listens. */
	setEntryAddress(entryAddress: string, now: number): void {
		this.#self = {...this.#self, entryAddress};
		// Entries of one incarnation differ in their state only.
		this.#incarnation += 1;
		this.#publishSelf(now);
	}

	get incarnation(): number {
		return this.#incarnation;
	}

	/** A newer process has this node's ID. */
	get isSuperseded(): boolean {
		return this.#isSuperseded;
	}

	/** Whether `takeUrgent` has something to push. */
	get hasUrgent(): boolean {
		return this.#urgent.size > 0;
	}

	/** Addresses from the settings and the VM list; they may be stale. */
	setSeeds(addresses: readonly string[]): void {
		this.#seeds = addresses.filter(address => address !== this.self.address);
	}

	/** Whether any other address is known to start from. */
	get hasSeeds(): boolean {
		return this.#seeds.length > 0;
	}

	/** This node's load in percent of its capacity. */
	setLoad(percent: number): void {
		this.#heartbeats.setLoad(percent);
	}

	/** Stores an entry of this node; an urgent one is pushed at once. */
	publish(init: EntryInit, now: number, isUrgent: boolean): boolean {
		return this.#take(createEntry(init), now, isUrgent ? Spread.Push : Spread.Rumour);
	}

	/** Announces the start of a planned stop, or its end. */
	announceStop(state: typeof MemberStatus.Leaving | typeof MemberStatus.Left, now: number): void {
		this.#state = state === MemberStatus.Leaving ? MemberState.LEAVING : MemberState.LEFT;
		this.#publishSelf(now);
	}

	/** All members that were heard of and are not yet forgotten. */
	members(now: number): MemberView[] {
		const views: MemberView[] = [];
		for (const entry of this.store.entries()) {
			if (entry.value.case === 'member') {
				views.push(this.#view(entry, entry.value.value, now));
			}
		}

		return views;
	}

	/**
	 * To be called every `GOSSIP_INTERVAL_MS`.
	 *
	 * @returns The messages of this round.
	 */
	tick(now: number): GossipCall[] {
		const late = now - this.#tickedAt - GOSSIP_INTERVAL_MS;
		if (late > PAUSE_MS) {
			this.#heartbeats.detector.skip(late);
		}

		this.#tickedAt = now;
		this.#ticks += 1;
		if (!this.#isSuperseded) {
			this.#heartbeats.beat(now);
		}

		for (const entry of this.store.expire(now)) {
			this.#options.onEnded?.(entry);
		}

		if (this.#isSuperseded) {
			return [];
		}

		this.#buryOverdue(now);
		return this.#chooseTargets().map(address => ({address, req: this.#request(now)}));
	}

	/** Takes the entries to push at once, addressed to random peers. */
	takeUrgent(now: number): GossipCall[] {
		const entries = this.store.toSend(this.#urgent, now);
		this.#urgent.clear();
		if (entries.length === 0) {
			return [];
		}

		const peers = this.#heartbeats.peerAddresses();
		return this.#random.sample(peers.length === 0 ? this.#seeds : peers, GOSSIP_FAN_OUT)
			.map(address => ({address, req: create(ExchangeRequestSchema, {entries, isPush: true})}));
	}

	/** Answers a peer. */
	receiveRequest(req: ExchangeRequest, now: number): ExchangeResponse {
		const res = create(ExchangeResponseSchema);
		if (this.#isSuperseded) {
			return res;
		}

		this.#takeAll(req.entries, now, req.isPush ? Spread.Push : (req.heartbeats ? Spread.Rumour : Spread.None));
		this.#heartbeats.merge(req.heartbeats, now);
		if (req.heartbeats) {
			res.heartbeats = this.#heartbeats.select();
			res.entries = this.store.takeRumours(now);
		}

		if (req.digest) {
			const {entries, wanted} = this.store.compare(req.digest, now);
			res.entries = entries;
			res.wanted = wanted;
			res.isReconciliation = true;
		} else if (req.root !== undefined && req.root !== this.store.root(now)) {
			res.bucketHashes = [...this.store.bucketHashes(now)];
		}

		return res;
	}

	/**
	 * Takes a peer's answer.
	 *
	 * @returns A further message to the same peer while the two differ.
	 */
	receiveAnswer(res: ExchangeResponse, now: number): ExchangeRequest | undefined {
		if (this.#isSuperseded) {
			return undefined;
		}

		this.#takeAll(res.entries, now, res.isReconciliation ? Spread.None : Spread.Rumour);
		this.#heartbeats.merge(res.heartbeats, now);
		if (res.wanted.length > 0) {
			const entries = this.store.ofHashes(res.wanted, now);
			return entries.length > 0 ? create(ExchangeRequestSchema, {entries}) : undefined;
		}

		const digest = res.bucketHashes.length > 0
			? this.store.digest(res.bucketHashes, now, this.#random.integer(0, res.bucketHashes.length - 1))
			: undefined;
		return digest && create(ExchangeRequestSchema, {digest});
	}

	#request(now: number): ExchangeRequest {
		return create(ExchangeRequestSchema, {
			heartbeats: this.#heartbeats.select(),
			entries: this.store.takeRumours(now),
			root: this.store.root(now),
		});
	}

	#takeAll(entries: readonly Entry[], now: number, spread: Spread): void {
		for (const entry of entries) {
			this.#take(entry, now, spread);
		}
	}

	#take(entry: Entry, now: number, spread: Spread): boolean {
		if (this.#isAboutSelf(entry) && !this.#acceptAboutSelf(entry, now)) {
			return false;
		}

		const sends = spread === Spread.None ? 0 : Math.ceil(SENDS_FACTOR * Math.log2(this.#heartbeats.size + 2));
		if (!this.store.merge(entry, now, sends)) {
			return false;
		}

		if (entry.value.case === 'member') {
			this.#heartbeats.setMember(entry.value.value, entry.generation, now);
		}

		if (spread === Spread.Push) {
			this.#urgent.add(entry.key);
		}

		this.#options.onEntry?.(entry, now);
		return true;
	}

	#isAboutSelf(entry: Entry): boolean {
		return entry.key === memberPrefix + this.self.id;
	}

	/** Own news pass; news about an older self, or a report of this one's death, are answered by a new incarnation. */
	#acceptAboutSelf(entry: Entry, now: number): boolean {
		const known = this.store.get(entry.key);
		const member = entry.value.value as Member;
		const isOwn = member.process === this.self.process && member.state === this.#state && entry.generation === this.#incarnation;
		if (isOwn || entry.generation < this.#incarnation || (entry.generation === known?.generation && entry.version < known.version)) {
			return isOwn;
		}

		if (member.process !== this.self.process && isRunning(member.state) && now - this.#startedAt > JOINING_MS) {
			this.#isSuperseded = true;
			this.#options.onSuperseded?.();
			return true;
		}

		this.#incarnation = entry.generation + 1;
		this.#publishSelf(now);
		return false;
	}

	#publishSelf(now: number): void {
		const isLeft = this.#state === MemberState.LEFT;
		this.publish({
			key: memberPrefix + this.self.id,
			generation: this.#incarnation,
			version: this.#state,
			lifetimeMs: isLeft ? TOMBSTONE_MS : 0,
			value: {case: 'member', value: {$typeName: 'redwingspool.peer.v1.Member', ...this.self, state: this.#state}},
		}, now, true);
	}

	#view(entry: Entry, member: Member, now: number): MemberView {
		const status = stateToStatus[member.state];
		const isSilent = isRunning(member.state) && member.id !== this.self.id
			&& this.#heartbeats.liveness(member.id, now) !== Liveness.Alive;
		return {
			id: member.id,
			process: member.process,
			address: member.address,
			entryAddress: member.entryAddress,
			region: member.region,
			dataCentre: member.dataCentre,
			incarnation: entry.generation,
			status: isSilent ? MemberStatus.Suspect : status,
			load: this.#heartbeats.loadOf(member.id),
		};
	}

	/** Declares members dead that were suspect for too long, unless their whole region seems cut off. */
	#buryOverdue(now: number): void {
		const views = this.members(now).filter(view => view.status !== MemberStatus.Dead && view.status !== MemberStatus.Left);
		const cutOff = cutOffRegions(views);
		for (const view of views) {
			if (view.status !== MemberStatus.Suspect || this.#heartbeats.liveness(view.id, now) !== Liveness.Overdue) {
				continue;
			}

			if (!cutOff.has(view.region) || this.#heartbeats.suspectFor(view.id, now) > PARTITION_HOLD_MS) {
				this.#bury(view, now);
			}
		}
	}

	#bury(view: MemberView, now: number): void {
		const entry = this.store.get(memberPrefix + view.id)!;
		const member = entry.value.value as Member;
		this.publish({
			key: entry.key,
			generation: entry.generation,
			version: MemberState.DEAD,
			lifetimeMs: TOMBSTONE_MS,
			value: {case: 'member', value: {...member, state: MemberState.DEAD}},
		}, now, false);
	}

	/** Suspects are included, so that a healed partition is noticed. */
	#chooseTargets(): string[] {
		const peers = this.#heartbeats.peerAddresses();
		const targets = this.#random.sample(peers, GOSSIP_FAN_OUT);
		const strangers = this.#seeds.filter(address => !peers.includes(address));
		if (strangers.length > 0 && (peers.length < GOSSIP_FAN_OUT || this.#ticks % SEED_TICKS === 0)) {
			targets.push(...this.#random.sample(strangers, Math.max(1, GOSSIP_FAN_OUT - peers.length)));
		}

		return targets;
	}
}

function isRunning(state: MemberState): boolean {
	return state === MemberState.ALIVE || state === MemberState.LEAVING;
}

/** @returns The regions in which more than half of the members are suspect. */
function cutOffRegions(views: readonly MemberView[]): Set<string> {
	const counts = new Map<string, {all: number; suspect: number}>();
	for (const view of views) {
		const count = counts.get(view.region) ?? {all: 0, suspect: 0};
		count.all += 1;
		count.suspect += view.status === MemberStatus.Suspect ? 1 : 0;
		counts.set(view.region, count);
	}

	return new Set([...counts].filter(([, count]) => count.suspect * 2 > count.all).map(([region]) => region));
}
