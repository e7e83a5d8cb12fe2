/**
 * Gossip membership: the status of all members and the entries that are exchanged with them. Performs no I/O.
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

/** Interval between the exchanges of one node. */
export const GOSSIP_INTERVAL_MS = 500;
/** Number of random peers per exchange and per push. */
export const GOSSIP_FAN_OUT = 3;

/** If most members of a region are suspect, it may be partitioned; its members are declared dead only after this time. */
const PARTITION_TIMEOUT_MS = 90 * 60_000;
/** Exceeds `PARTITION_TIMEOUT_MS`, so that neither side of a partition restores a member that the other one removed. */
const TOMBSTONE_LIFETIME_MS = 100 * 60_000;
/** Within this time after its start a process takes over its ID from an earlier process; later it is superseded itself. */
const TAKEOVER_WINDOW_MS = 30_000;
/** A tick that is delayed by more than this indicates that the process was paused. */
const MIN_PAUSE_MS = 4 * GOSSIP_INTERVAL_MS;
const RETRANSMIT_FACTOR = 3;
/** Seeds that are not known members are contacted at this interval, to find peers after a start or a partition. */
const SEED_INTERVAL_TICKS = 10;

const memberKeyPrefix = 'm/';

const stateToStatus = {
	[MemberState.UNSPECIFIED]: MemberStatus.Dead,
	[MemberState.ALIVE]: MemberStatus.Alive,
	[MemberState.LEAVING]: MemberStatus.Leaving,
	[MemberState.LEFT]: MemberStatus.Left,
	[MemberState.DEAD]: MemberStatus.Dead,
} as const;

/** How a node disseminates an entry that is new to it. */
const Dissemination = {
	/** Sent to random peers immediately and included in the next messages. */
	Push: 'push',
	/** Included in the next messages. */
	Piggyback: 'piggyback',
	/** Sent only to peers that are found to lack it during reconciliation. */
	None: 'none',
} as const;

type Dissemination = (typeof Dissemination)[keyof typeof Dissemination];

/** An outgoing message. Its response must be passed to `receiveAnswer`. */
export type GossipCall = {
	readonly address: string;
	readonly req: ExchangeRequest;
};

/** Options of a `Membership`. */
export type MembershipOptions = {
	readonly self: MemberSelf;
	/** Initial incarnation, for example the wall clock in seconds. If it is too small, entries from peers correct it. */
	readonly incarnation: number;
	readonly random: Random;
	readonly now: number;
	/** Called for each entry that is new to this node, including its own. */
	readonly onEntry?: (entry: Entry, now: number) => void;
	/** Called for each entry that expired. */
	readonly onEnded?: (entry: Entry) => void;
	/** Called when a newer process with the same ID is detected; this process must stop. */
	readonly onSuperseded?: () => void;
};

/** The members and entries known to one node. */
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
	readonly #urgentKeys = new Set<string>();
	#seeds: readonly string[] = [];
	#incarnation: number;
	#state: MemberState = MemberState.ALIVE;
	#lastTickAt: number;
	#tickCount = 0;
	#isSuperseded = false;

	private constructor(options: MembershipOptions) {
		this.#options = options;
		this.#self = options.self;
		this.#random = options.random;
		this.#incarnation = options.incarnation;
		this.#startedAt = options.now;
		this.#lastTickAt = options.now;
		this.#heartbeats = Heartbeats.create(options.self.id);
		this.#publishSelf(options.now);
	}

	get self(): MemberSelf {
		return this.#self;
	}

	/** Publishes the address at which callers reach this node. Call it once the server listens. */
	setEntryAddress(entryAddress: string, now: number): void {
		this.#self = {...this.#self, entryAddress};
		// Entries of one incarnation may differ only in their state, so a new address needs a new incarnation.
		this.#incarnation += 1;
		this.#publishSelf(now);
	}

	get incarnation(): number {
		return this.#incarnation;
	}

	/** Whether a newer process has this node's ID. */
	get isSuperseded(): boolean {
		return this.#isSuperseded;
	}

	/** Whether there are entries for `takeUrgent`. */
	get hasUrgent(): boolean {
		return this.#urgentKeys.size > 0;
	}

	/** Sets the seed addresses from the settings and the VM list; they may be stale. */
	setSeeds(addresses: readonly string[]): void {
		this.#seeds = addresses.filter(address => address !== this.self.address);
	}

	/** Whether there is any seed other than this node. */
	get hasSeeds(): boolean {
		return this.#seeds.length > 0;
	}

	/** Sets this node's load in percent of its capacity. */
	setLoad(percent: number): void {
		this.#heartbeats.setLoad(percent);
	}

	/**
	 * Stores an entry of this node for dissemination. An urgent entry is queued for `takeUrgent`.
	 *
	 * @returns Whether the entry was newer than the stored one.
	 */
	publish(init: EntryInit, now: number, isUrgent: boolean): boolean {
		return this.#merge(createEntry(init), now, isUrgent ? Dissemination.Push : Dissemination.Piggyback);
	}

	/** Announces the start or the end of a planned stop. */
	announceStop(state: typeof MemberStatus.Leaving | typeof MemberStatus.Left, now: number): void {
		this.#state = state === MemberStatus.Leaving ? MemberState.LEAVING : MemberState.LEFT;
		this.#publishSelf(now);
	}

	/** Returns all known members, including dead ones and ones that left until their entries expire. */
	members(now: number): MemberView[] {
		const views: MemberView[] = [];
		for (const entry of this.store.entries()) {
			if (entry.value.case === 'member') {
				views.push(this.#toView(entry, entry.value.value, now));
			}
		}

		return views;
	}

	/**
	 * Runs one gossip round. Call it every `GOSSIP_INTERVAL_MS`.
	 *
	 * @returns The messages to send.
	 */
	tick(now: number): GossipCall[] {
		const delayMs = now - this.#lastTickAt - GOSSIP_INTERVAL_MS;
		if (delayMs > MIN_PAUSE_MS) {
			this.#heartbeats.detector.excludePause(delayMs);
		}

		this.#lastTickAt = now;
		this.#tickCount += 1;
		if (!this.#isSuperseded) {
			this.#heartbeats.beat(now);
		}

		for (const entry of this.store.expire(now)) {
			this.#options.onEnded?.(entry);
		}

		if (this.#isSuperseded) {
			return [];
		}

		this.#declareOverdueDead(now);
		return this.#selectTargets().map(address => ({address, req: this.#createRequest(now)}));
	}

	/** Removes the queued urgent entries and returns the messages that push them to random peers. */
	takeUrgent(now: number): GossipCall[] {
		const entries = this.store.entriesForKeys(this.#urgentKeys, now);
		this.#urgentKeys.clear();
		if (entries.length === 0) {
			return [];
		}

		const peers = this.#heartbeats.peerAddresses();
		return this.#random.sample(peers.length === 0 ? this.#seeds : peers, GOSSIP_FAN_OUT)
			.map(address => ({address, req: create(ExchangeRequestSchema, {entries, isPush: true})}));
	}

	/** Handles a peer's message and returns the response. */
	receiveRequest(req: ExchangeRequest, now: number): ExchangeResponse {
		const res = create(ExchangeResponseSchema);
		if (this.#isSuperseded) {
			return res;
		}

		this.#mergeAll(req.entries, now, req.isPush ? Dissemination.Push : (req.heartbeats ? Dissemination.Piggyback : Dissemination.None));
		this.#heartbeats.merge(req.heartbeats, now);
		if (req.heartbeats) {
			res.heartbeats = this.#heartbeats.select();
			res.entries = this.store.takePendingUpdates(now);
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
	 * Handles a peer's response.
	 *
	 * @returns A follow-up message to the same peer if their entries differ.
	 */
	receiveAnswer(res: ExchangeResponse, now: number): ExchangeRequest | undefined {
		if (this.#isSuperseded) {
			return undefined;
		}

		this.#mergeAll(res.entries, now, res.isReconciliation ? Dissemination.None : Dissemination.Piggyback);
		this.#heartbeats.merge(res.heartbeats, now);
		if (res.wanted.length > 0) {
			const entries = this.store.entriesForKeyHashes(res.wanted, now);
			return entries.length > 0 ? create(ExchangeRequestSchema, {entries}) : undefined;
		}

		const digest = res.bucketHashes.length > 0
			? this.store.digest(res.bucketHashes, now, this.#random.integer(0, res.bucketHashes.length - 1))
			: undefined;
		return digest && create(ExchangeRequestSchema, {digest});
	}

	#createRequest(now: number): ExchangeRequest {
		return create(ExchangeRequestSchema, {
			heartbeats: this.#heartbeats.select(),
			entries: this.store.takePendingUpdates(now),
			root: this.store.root(now),
		});
	}

	#mergeAll(entries: readonly Entry[], now: number, dissemination: Dissemination): void {
		for (const entry of entries) {
			this.#merge(entry, now, dissemination);
		}
	}

	#merge(entry: Entry, now: number, dissemination: Dissemination): boolean {
		if (this.#isOwnKey(entry) && !this.#acceptOwnEntry(entry, now)) {
			return false;
		}

		const sendCount = dissemination === Dissemination.None ? 0 : Math.ceil(RETRANSMIT_FACTOR * Math.log2(this.#heartbeats.size + 2));
		if (!this.store.merge(entry, now, sendCount)) {
			return false;
		}

		if (entry.value.case === 'member') {
			this.#heartbeats.setMember(entry.value.value, entry.generation, now);
		}

		if (dissemination === Dissemination.Push) {
			this.#urgentKeys.add(entry.key);
		}

		this.#options.onEntry?.(entry, now);
		return true;
	}

	#isOwnKey(entry: Entry): boolean {
		return entry.key === memberKeyPrefix + this.self.id;
	}

	/**
	 * Decides whether to store an entry about this node. Accepts its own current entry and rejects outdated ones. Refutes
	 * a report that this node is dead, and within the takeover window an entry of another process, by publishing a higher
	 * incarnation. After that window, an entry of another running process supersedes this one and is accepted.
	 */
	#acceptOwnEntry(entry: Entry, now: number): boolean {
		const known = this.store.get(entry.key);
		const member = entry.value.value as Member;
		const isCurrent = member.process === this.self.process && member.state === this.#state && entry.generation === this.#incarnation;
		if (isCurrent || entry.generation < this.#incarnation || (entry.generation === known?.generation && entry.version < known.version)) {
			return isCurrent;
		}

		if (member.process !== this.self.process && isRunning(member.state) && now - this.#startedAt > TAKEOVER_WINDOW_MS) {
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
			key: memberKeyPrefix + this.self.id,
			generation: this.#incarnation,
			version: this.#state,
			lifetimeMs: isLeft ? TOMBSTONE_LIFETIME_MS : 0,
			value: {case: 'member', value: {$typeName: 'redwingspool.peer.v1.Member', ...this.self, state: this.#state}},
		}, now, true);
	}

	#toView(entry: Entry, member: Member, now: number): MemberView {
		const status = stateToStatus[member.state];
		const isSuspect = isRunning(member.state) && member.id !== this.self.id
			&& this.#heartbeats.liveness(member.id, now) !== Liveness.Alive;
		return {
			id: member.id,
			process: member.process,
			address: member.address,
			entryAddress: member.entryAddress,
			region: member.region,
			dataCentre: member.dataCentre,
			incarnation: entry.generation,
			status: isSuspect ? MemberStatus.Suspect : status,
			load: this.#heartbeats.loadOf(member.id),
		};
	}

	/** Declares members dead that were suspect for too long, unless their region appears to be partitioned. */
	#declareOverdueDead(now: number): void {
		const views = this.members(now).filter(view => view.status !== MemberStatus.Dead && view.status !== MemberStatus.Left);
		const unreachableRegions = findUnreachableRegions(views);
		for (const view of views) {
			if (view.status !== MemberStatus.Suspect || this.#heartbeats.liveness(view.id, now) !== Liveness.Overdue) {
				continue;
			}

			if (!unreachableRegions.has(view.region) || this.#heartbeats.suspectDuration(view.id, now) > PARTITION_TIMEOUT_MS) {
				this.#declareDead(view, now);
			}
		}
	}

	#declareDead(view: MemberView, now: number): void {
		const entry = this.store.get(memberKeyPrefix + view.id)!;
		const member = entry.value.value as Member;
		this.publish({
			key: entry.key,
			generation: entry.generation,
			version: MemberState.DEAD,
			lifetimeMs: TOMBSTONE_LIFETIME_MS,
			value: {case: 'member', value: {...member, state: MemberState.DEAD}},
		}, now, false);
	}

	/** Selects random peers, including suspects so that a healed partition is detected, and periodically unknown seeds. */
	#selectTargets(): string[] {
		const peers = this.#heartbeats.peerAddresses();
		const targets = this.#random.sample(peers, GOSSIP_FAN_OUT);
		const unknownSeeds = this.#seeds.filter(address => !peers.includes(address));
		if (unknownSeeds.length > 0 && (peers.length < GOSSIP_FAN_OUT || this.#tickCount % SEED_INTERVAL_TICKS === 0)) {
			targets.push(...this.#random.sample(unknownSeeds, Math.max(1, GOSSIP_FAN_OUT - peers.length)));
		}

		return targets;
	}
}

function isRunning(state: MemberState): boolean {
	return state === MemberState.ALIVE || state === MemberState.LEAVING;
}

/** @returns The regions in which more than half of the members are suspect. */
function findUnreachableRegions(views: readonly MemberView[]): Set<string> {
	const counts = new Map<string, {all: number; suspect: number}>();
	for (const view of views) {
		const count = counts.get(view.region) ?? {all: 0, suspect: 0};
		count.all += 1;
		count.suspect += view.status === MemberStatus.Suspect ? 1 : 0;
		counts.set(view.region, count);
	}

	return new Set([...counts].filter(([, count]) => count.suspect * 2 > count.all).map(([region]) => region));
}
