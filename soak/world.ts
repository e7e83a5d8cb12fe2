/**
 * A deployment in virtual time: nodes, upstreams, platform and callers, with faults drawn from a seed.
 */
import {type Clock} from '../src/base/clock.js';
import {Invariants, PromiseId} from '../src/base/invariant.js';
import {ErrorKind, type SchedulerError} from '../src/base/errors.js';
import {Random} from '../src/base/random.js';
import {VirtualClock} from '../src/base/virtual-clock.js';
import {SettingsTree} from '../src/config/settings-tree.js';
import {MemoryNetwork} from '../src/peer/memory-transport.js';
import {type Scheduler, type SchedulerEvents} from '../src/policy/scheduler.js';
import {MemoryObjectStore, MemoryVmList} from '../src/store/memory-table.js';
import {type Table} from '../src/store/table.js';
import {FaultyTable} from '../test/coordination/faulty-table.js';
import {FakeUpstream} from './fake-upstream.js';
import {
	type AskedRequest, isPlainRequest, Ledger, RequestKind,
} from './ledger.js';
import {ProcessClock} from './process-clock.js';
import {addressOf, SoakNode} from './soak-node.js';

const regions = ['north', 'centre', 'south'];
const NODE_COUNT = 6;
const ENGINE_COUNT = 5;
const BOOKING_COUNT = 3;
const SETTLE_MS = 4000;
const TICK_MS = 50;
const REQUEST_CHANCE = 0.5;
const FAULT_CHANCE = 0.03;
const BURST_REQUESTS = 250;
/** Time in which a pressure mark reaches the other nodes. */
const PRESSURE_SPREAD_MS = 250;
const PRESSURE_MS = 2000;
const LEAVING_LIMIT_MS = 3000;
const IN_FORCE_LIMIT_MS = 5000;
/** Time after the faults in which everything must come to rest. */
const RECOVERY_MS = 30_000;
const CALLER_RETRY_MS = 300;
const MAX_ATTEMPTS = 4;

/** Faults by kind. */
export const FaultKind = {
	Kill: 'kill',
	Pause: 'pause',
	Stop: 'graceful stop',
	StoreDown: 'store down',
	StoreFaults: 'store faults',
	Partition: 'partition',
	Crash: 'upstream crash',
	Slow: 'upstream slow',
	Cut: 'answers cut',
	Leaving: 'upstream leaving',
	WallJump: 'wall clock jump',
	Poison: 'crashing request',
	SettingsRace: 'settings race',
	Burst: 'burst',
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** What a scheduler of a break is made of. */
export type SchedulerContext = {
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly nodeId: string;
	readonly region: string;
};

/** A change of the program that a run must find. */
export type Break = {
	readonly table?: (inner: Table) => Table;
	readonly createScheduler?: (context: SchedulerContext, events: SchedulerEvents) => Scheduler;
	readonly upstream?: (upstream: FakeUpstream) => void;
	/** A planned stop that waits for nothing. */
	readonly stopsAtOnce?: boolean;
	/** Answers that callers receive are changed. */
	readonly answer?: (body: string) => string;
};

/** What a run did. */
export type RunReport = {
	readonly seed: number;
	readonly requests: number;
	readonly told: ReadonlyMap<string, number>;
	readonly faults: ReadonlyMap<FaultKind, number>;
	/** Evaluations by promise: the program's own and those of the ledger. */
	readonly evaluated: ReadonlyMap<PromiseId, number>;
	readonly findings: Ledger['findings'];
};

/** One run. */
export class World {
	/**
	 * @param seconds - Virtual time with faults, in s.
	 * @param broken - A deliberate break.
	 */
	static async run(seed: number, seconds: number, broken: Break = {}): Promise<RunReport> {
		const world = new World(seed, broken);
		await world.#run(seconds * 1000);
		return world.#report();
	}

	readonly #seed: number;
	readonly #break: Break;
	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #table: FaultyTable;
	readonly #objects = MemoryObjectStore.create();
	readonly #network: MemoryNetwork;
	readonly #invariants: Invariants;
	readonly #ledger: Ledger;
	readonly #nodes = new Map<number, SoakNode>();
	readonly #generations = new Map<number, number>();
	readonly #upstreams = new Map<string, FakeUpstream>();
	readonly #cutRegions = new Set<string>();
	readonly #faults = new Map<FaultKind, number>();
	readonly #accepted = new Map<number, number>();
	readonly #sheds: Array<{readonly isPlain: boolean; readonly tier: number; readonly at: number}> = [];
	#lastDisturbance = Number.NEGATIVE_INFINITY;
	#healedAt = Number.NEGATIVE_INFINITY;
	#version = 1;
	#isCalm = false;

	private constructor(seed: number, broken: Break) {
		this.#seed = seed;
		this.#break = broken;
		this.#random = Random.create(seed);
		this.#table = FaultyTable.create(this.#clock, Random.create(seed + 1));
		this.#table.maxLatencyMs = 5;
		this.#ledger = new Ledger(() => this.#clock.now(), body => this.#executionsOf(body));
		this.#invariants = Invariants.create({
			throwOnViolation: false,
			onViolation: (promise, detail) => {
				this.#ledger.findings.push({promise, atMs: Math.round(this.#clock.now()), detail: `asserted: ${detail}`});
			},
		});
		const linkRandom = Random.create(seed + 2);
		this.#network = MemoryNetwork.create(this.#clock, linkRandom, (from, to) => this.#link(from, to, linkRandom));
		this.#createUpstreams();
	}

	async #run(faultMs: number): Promise<void> {
		await this.#commitSettings(0);
		for (let index = 0; index < NODE_COUNT; index += 1) {
			this.#startNode(index);
		}

		await this.#clock.advanceAsync(SETTLE_MS);
		for (const end = this.#clock.now() + faultMs; this.#clock.now() < end;) {
			this.#tick();
			// eslint-disable-next-line no-await-in-loop
			await this.#clock.advanceAsync(TICK_MS);
		}

		this.#heal();
		await this.#clock.advanceAsync(RECOVERY_MS);
		this.#checkEnd();
	}

	#tick(): void {
		if (this.#random.next() < REQUEST_CHANCE) {
			this.#ask(this.#random.pick([RequestKind.Note, RequestKind.Note, RequestKind.KeyedNote, RequestKind.Booking, RequestKind.Booking, RequestKind.Lookup]));
		}

		if (this.#random.next() < FAULT_CHANCE) {
			this.#inject(this.#random.pick(Object.values(FaultKind)));
		}
	}

	#ask(kind: RequestKind): void {
		const tier = this.#random.integer(0, 2);
		this.#attempt(this.#ledger.ask(kind, tier), tier);
	}

	/** Callers repeat at any node what was lost, refused or of unknown outcome. */
	#attempt(asked: AskedRequest, tier: number): void {
		const nodes = [...this.#nodes.values()].filter(node => !node.process.isEnded && !node.isLeaving);
		if (nodes.length === 0) {
			return;
		}

		const node = this.#random.pick(nodes);
		const isFirstAttempt = asked.attempts === 0 && this.#random.next() < 0.5;
		asked.attempts += 1;
		asked.pendingAttempts += 1;
		const executionsBefore = this.#executionsOf(asked.body);
		let isOpen = true;
		const close = (then: () => void) => {
			if (isOpen) {
				isOpen = false;
				then();
			}
		};

		const mayRepeat = asked.kind !== RequestKind.Note && asked.kind !== RequestKind.Lookup;
		const repeat = () => {
			if (mayRepeat && asked.attempts < MAX_ATTEMPTS && !this.#isCalm) {
				this.#clock.setTimer(CALLER_RETRY_MS, () => {
					this.#attempt(asked, tier);
				});
			}
		};

		node.submit(asked, tier, isFirstAttempt, {
			onAnswer: (body, isReplay) => {
				close(() => {
					this.#ledger.noteAnswer(asked, this.#break.answer?.(body) ?? body, isReplay);
				});
			},
			onError: (err, ran) => {
				close(() => {
					this.#ledger.noteError(asked, err, ran, executionsBefore);
					this.#noteShed(asked, err);
					repeat();
				});
			},
		});
		this.#watchForDeath(node, () => {
			close(() => {
				this.#ledger.noteLost(asked);
				repeat();
			});
		}, () => isOpen);
	}

	/** More important work was refused because of load; less important work must not start in the pool for a while. */
	#noteShed({kind, tier}: AskedRequest, {kind: errorKind}: SchedulerError): void {
		if (errorKind === ErrorKind.Overloaded || errorKind === ErrorKind.DeadlineUnreachable) {
			this.#sheds.push({isPlain: isPlainRequest(kind), tier, at: this.#clock.now()});
		}
	}

	#checkTierOrder(body: string): void {
		const asked = this.#ledger.requestOf(body);
		const now = this.#clock.now();
		while (this.#sheds.length > 0 && now - this.#sheds[0]!.at > PRESSURE_MS) {
			this.#sheds.shift();
		}

		if (asked === undefined || this.#isDisturbed()) {
			return;
		}

		const isPlain = isPlainRequest(asked.kind);
		const shed = this.#sheds.find(other => other.isPlain === isPlain && other.tier < asked.tier && now - other.at > PRESSURE_SPREAD_MS);
		this.#ledger.check(PromiseId.TierOrder, shed === undefined, `${body} of tier ${asked.tier} started ${Math.round(now - (shed?.at ?? 0))} ms after tier ${shed?.tier} was shed`);
	}

	/** Pressure marks do not reach nodes that are cut off, paused or just started. */
	#isDisturbed(): boolean {
		const since = this.#clock.now() - PRESSURE_MS;
		return this.#cutRegions.size > 0 || this.#lastDisturbance > since
			|| [...this.#nodes.values()].some(node => node.process.isPaused || node.process.wasPausedSince(since));
	}

	#watchForDeath(node: SoakNode, onDeath: () => void, isOpen: () => boolean): void {
		this.#clock.setTimer(TICK_MS, () => {
			if (node.process.isEnded) {
				onDeath();
			} else if (isOpen()) {
				this.#watchForDeath(node, onDeath, isOpen);
			}
		});
	}

	#inject(kind: FaultKind): void {
		this.#faults.set(kind, (this.#faults.get(kind) ?? 0) + 1);
		const upstream = this.#random.pick([...this.#upstreams.values()]);
		const later = (minMs: number, maxMs: number, action: () => void) => {
			this.#clock.setTimer(this.#random.integer(minMs, maxMs), action);
		};

		const effects: Record<FaultKind, () => void> = {
			[FaultKind.Kill]: () => {
				this.#kill(this.#random.integer(0, NODE_COUNT - 1), this.#random.integer(200, 5000));
			},
			[FaultKind.Pause]: () => {
				const {process} = this.#anyNode();
				process.pause();
				later(500, 15_000, () => {
					process.resume();
				});
			},
			[FaultKind.Stop]: () => {
				void this.#stopGracefully(this.#anyNode());
			},
			[FaultKind.StoreDown]: () => {
				this.#table.isDown = true;
				later(500, 10_000, () => {
					this.#table.isDown = false;
				});
			},
			[FaultKind.StoreFaults]: () => {
				this.#table.faultRate = 0.3;
				later(500, 8000, () => {
					this.#table.faultRate = 0;
				});
			},
			[FaultKind.Partition]: () => {
				const region = this.#random.pick(regions);
				this.#cutRegions.add(region);
				later(1000, 15_000, () => {
					this.#cutRegions.delete(region);
					this.#healedAt = this.#clock.now();
					this.#lastDisturbance = this.#clock.now();
				});
			},
			[FaultKind.Crash]() {
				upstream.crash();
			},
			[FaultKind.Slow]() {
				upstream.condition.slowness = 3;
				later(2000, 10_000, () => {
					upstream.condition.slowness = 1;
				});
			},
			[FaultKind.Cut]() {
				upstream.condition.cutChance = 0.2;
				later(1000, 8000, () => {
					upstream.condition.cutChance = 0;
				});
			},
			[FaultKind.Leaving]: () => {
				this.#leave(upstream);
			},
			[FaultKind.WallJump]: () => {
				this.#clock.jumpWall(this.#random.pick([-86_400_000, 86_400_000, -5000, 5000]));
			},
			[FaultKind.Poison]: () => {
				this.#ask(RequestKind.Poison);
			},
			[FaultKind.Burst]: () => {
				for (let count = 0; count < BURST_REQUESTS; count += 1) {
					this.#ask(RequestKind.Note);
				}
			},
			[FaultKind.SettingsRace]: () => {
				void this.#raceSettings();
			},
		};
		effects[kind]();
	}

	#anyNode(): SoakNode {
		return this.#random.pick([...this.#nodes.values()]);
	}

	#kill(index: number, downMs: number): void {
		const node = this.#nodes.get(index);
		if (node === undefined) {
			return;
		}

		node.process.end();
		this.#network.detach(node.address);
		this.#nodes.delete(index);
		this.#clock.setTimer(downMs, () => {
			this.#startNode(index);
		});
	}

	async #stopGracefully(node: SoakNode): Promise<void> {
		if (node.isLeaving || node.process.isPaused) {
			return;
		}

		this.#nodes.delete(node.index);
		const open = node.core.dispatcher.inFlightCount;
		if (this.#break.stopsAtOnce) {
			this.#ledger.check(PromiseId.GracefulStop, open === 0, `${open} requests were cut off by a planned stop`);
		} else {
			const isDrained = await node.drainAndStop();
			this.#ledger.check(PromiseId.GracefulStop, isDrained, 'a planned stop ended with requests in flight');
		}

		node.process.end();
		this.#network.detach(node.address);
		this.#startNode(node.index);
	}

	/** An upstream leaves, comes to an end of its work, and returns as another one after a while. */
	#leave(upstream: FakeUpstream): void {
		if (upstream.leavingSince !== undefined) {
			return;
		}

		upstream.leavingSince = this.#clock.now();
		const [id] = [...this.#upstreams].find(([, candidate]) => candidate === upstream)!;
		const reporters = [...this.#nodes.values()].filter(node => !node.process.isPaused && !this.#cutRegions.has(node.region));
		if (reporters.length === 0) {
			upstream.leavingSince = undefined;
			return;
		}

		this.#random.pick(reporters).core.members.reportLeaving(id);
		this.#clock.setTimer(8000, () => {
			upstream.leavingSince = undefined;
			for (const node of this.#nodes.values()) {
				node.core.members.reportReturned(id);
			}
		});
	}

	/** Two operators change the settings from the same version, at different nodes. */
	async #raceSettings(): Promise<void> {
		const fromVersion = this.#version;
		const nodes = [this.#anyNode(), this.#anyNode()];
		const before = new Map([...this.#nodes.values()].map(node => [node, node.core.config.sync.subtrees.heads[0]?.version ?? 0]));
		const puts = await Promise.all(nodes.map(async (node, index) => node.core.config.service.put({
			team: 'team', fromVersion, author: `operator ${index}`, subtree: this.#subtree(this.#clock.now() + index), force: false,
		})));
		const winners = puts.filter(put => put.isOk);
		this.#ledger.check(PromiseId.SettingsInForce, winners.length <= 1, `two changes were accepted from version ${fromVersion}`);
		const stored = await this.#table.inner.get('config/current/head/team');
		const head = stored.isOk && stored.value !== undefined ? JSON.parse(stored.value.value) as {version: number} : {version: fromVersion};
		this.#version = head.version;
		if (winners.length > 0) {
			this.#accepted.set(fromVersion + 1, this.#clock.now());
		}

		for (const [node, version] of before) {
			const now = node.core.config.sync.subtrees.heads[0]?.version ?? 0;
			this.#ledger.check(PromiseId.SettingsInForce, now >= version, `settings went back from ${version} to ${now}`);
		}

		if (winners.length > 0) {
			this.#checkInForceLater(fromVersion + 1);
		}
	}

	/** Nodes that could reach the store or their peers all the time have the version within 5 s. */
	#checkInForceLater(version: number): void {
		const candidates = new Set([...this.#nodes.values()].filter(node => !node.process.isPaused));
		const start = this.#clock.now();
		const watch = () => {
			for (const node of candidates) {
				if (node.process.isEnded || node.process.isPaused || this.#table.isDown || this.#table.faultRate > 0 || this.#cutRegions.size > 0) {
					candidates.delete(node);
				}
			}

			if (this.#clock.now() - start < IN_FORCE_LIMIT_MS) {
				this.#clock.setTimer(TICK_MS, watch);
				return;
			}

			for (const node of candidates) {
				const applied = node.core.config.sync.subtrees.heads[0]?.version ?? 0;
				this.#ledger.check(PromiseId.SettingsInForce, applied >= version, `${node.address} has version ${applied} 5 s after ${version} was accepted`);
			}
		};

		watch();
	}

	#startNode(index: number): void {
		if (this.#nodes.has(index)) {
			return;
		}

		const generation = (this.#generations.get(index) ?? 0) + 1;
		this.#generations.set(index, generation);
		this.#lastDisturbance = this.#clock.now();
		const process = ProcessClock.create(this.#clock);
		const table = this.#break.table?.(this.#table) ?? this.#table;
		const {createScheduler} = this.#break;
		const context = {
			clock: process, invariants: this.#invariants, nodeId: `${index}.${generation}`, region: regions[index % regions.length]!,
		};
		const node = new SoakNode({
			index,
			generation,
			region: regions[index % regions.length]!,
			process,
			seed: this.#seed + (1000 * index) + generation,
			invariants: this.#invariants,
			platform: {table, objects: this.#objects, vmList: MemoryVmList.create()},
			network: this.#network,
			seeds: Array.from({length: NODE_COUNT}, (_, other) => addressOf(other)),
			connect: (id, client) => this.#upstreams.get(id)!.connect(client),
			createScheduler: createScheduler && (events => createScheduler(context, events)),
		});
		this.#nodes.set(index, node);
		void node.start();
	}

	#link(from: string, to: string, random: Random) {
		const [a, b] = [this.#regionOf(from), this.#regionOf(to)];
		if (a !== b && (this.#cutRegions.has(a) || this.#cutRegions.has(b))) {
			return undefined;
		}

		const isPaused = [...this.#nodes.values()].some(node => (node.address === from || node.address === to) && node.process.isPaused);
		return isPaused ? undefined : {loss: 0.01, duplication: 0.01, delayMs: () => (a === b ? 1 : 8) + random.integer(0, 4)};
	}

	#regionOf(address: string): string {
		return regions[(Number(/\.(?<last>\d+):/v.exec(address)!.groups!.last) - 1) % regions.length]!;
	}

	#createUpstreams(): void {
		const onAccept = (upstream: FakeUpstream, body: string) => {
			this.#checkTierOrder(body);
			const since = upstream.leavingSince;
			if (since !== undefined && this.#cutRegions.size === 0) {
				const forMs = this.#clock.now() - since;
				this.#ledger.check(PromiseId.LeavingUpstream, forMs <= LEAVING_LIMIT_MS || this.#wasDisturbed(since), `an upstream got work ${Math.round(forMs)} ms after it began to leave`);
			}
		};

		for (let index = 0; index < ENGINE_COUNT + BOOKING_COUNT; index += 1) {
			const id = index < ENGINE_COUNT ? `team/engine-${index}` : `team/booking-${index}`;
			const upstream = new FakeUpstream(this.#clock, Random.create(this.#seed + 100 + index), 20 * (1 + (index % 3)), onAccept);
			this.#break.upstream?.(upstream);
			this.#upstreams.set(id, upstream);
		}
	}

	/** Nodes that are paused, or whose region was joined again less than 3 s ago, may not know that an upstream leaves. */
	#wasDisturbed(since: number): boolean {
		return this.#clock.now() - this.#healedAt < LEAVING_LIMIT_MS || [...this.#nodes.values()].some(node => node.process.isPaused || node.process.wasPausedSince(since));
	}

	async #commitSettings(fromVersion: number): Promise<void> {
		const tree = SettingsTree.create({table: this.#table.inner, objects: this.#objects, clock: this.#clock});
		const committed = tree.commit({
			team: 'team', fromVersion, author: 'soak', body: JSON.stringify(this.#subtree(0)),
		});
		await this.#clock.advanceAsync(100);
		await committed;
	}

	#subtree(mark: number): unknown {
		const tiers = ['high', 'middle', 'low'].map(name => ({name, deadlineMs: 5000}));
		return {
			services: {
				advice: {
					kind: 'model', description: `mark ${mark}`, models: ['m'], tiers, defaultTier: 'high',
				},
				booking: {kind: 'plain', tiers, defaultTier: 'high'},
			},
			upstreams: Object.fromEntries([...this.#upstreams.keys()].map((id, index) => [id.split('/')[1]!, {
				service: id.includes('engine') ? 'advice' : 'booking',
				url: `http://10.1.0.${index + 1}`,
				region: regions[index % regions.length],
				dataCentre: `${regions[index % regions.length]}-1`,
				canResume: id.includes('engine'),
				maxConcurrency: 8,
			}])),
		};
	}

	/** Ends all faults, so that everything can come to rest. */
	#heal(): void {
		this.#isCalm = true;
		this.#table.isDown = false;
		this.#table.faultRate = 0;
		this.#cutRegions.clear();
		this.#healedAt = this.#clock.now();
		for (const node of this.#nodes.values()) {
			node.process.resume();
		}

		for (const upstream of this.#upstreams.values()) {
			upstream.condition.cutChance = 0;
			upstream.condition.slowness = 1;
		}
	}

	#checkEnd(): void {
		this.#ledger.checkEnd();
		for (const node of this.#nodes.values()) {
			this.#ledger.check(PromiseId.GracefulStop, node.core.dispatcher.inFlightCount === 0, `${node.address} still has requests in flight after the recovery`);
		}
	}

	#executionsOf(body: string): number {
		let count = 0;
		for (const upstream of this.#upstreams.values()) {
			count += upstream.executionsOf(body);
		}

		return count;
	}

	#report(): RunReport {
		const evaluated = new Map(this.#ledger.evaluated);
		for (const [promise, count] of this.#invariants.counts) {
			evaluated.set(promise, evaluated.get(promise)! + count.evaluated);
		}

		return {
			seed: this.#seed, requests: this.#ledger.requests.length, told: this.#ledger.told, faults: this.#faults, evaluated, findings: this.#ledger.findings,
		};
	}
}
