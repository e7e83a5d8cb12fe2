/**
 * Simulation of a deployment in virtual time: nodes, upstreams, platform and callers, with random faults from a seed.
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
	type CallerRequest, isPlainRequest, RequestHistory, RequestKind,
} from './request-history.js';
import {ProcessClock} from './process-clock.js';
import {addressOf, SoakNode} from './soak-node.js';

const regions = ['north', 'centre', 'south'];
const NODE_COUNT = 6;
const ENGINE_COUNT = 5;
const BOOKING_COUNT = 3;
const STARTUP_MS = 4000;
const TICK_MS = 50;
const REQUEST_PROBABILITY = 0.5;
const FAULT_PROBABILITY = 0.03;
const BURST_REQUEST_COUNT = 250;
/** Time within which a pressure signal reaches the other nodes, in ms. */
const PRESSURE_PROPAGATION_MS = 250;
const PRESSURE_DURATION_MS = 2000;
const LEAVING_PROPAGATION_LIMIT_MS = 3000;
const SETTINGS_PROPAGATION_LIMIT_MS = 5000;
/** Time after the last fault within which all requests must have ended, in ms. */
const RECOVERY_MS = 30_000;
const CALLER_RETRY_DELAY_MS = 300;
const MAX_CALLER_ATTEMPTS = 4;

/** Kinds of faults. */
export const FaultKind = {
	Kill: 'kill',
	Pause: 'pause',
	GracefulStop: 'graceful stop',
	StoreDown: 'store down',
	StoreFaults: 'store faults',
	Partition: 'partition',
	UpstreamCrash: 'upstream crash',
	SlowUpstream: 'upstream slow',
	AnswerTruncation: 'answers cut',
	UpstreamLeaving: 'upstream leaving',
	WallJump: 'wall clock jump',
	CrashingRequest: 'crashing request',
	SettingsRace: 'settings race',
	Burst: 'burst',
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Dependencies of a scheduler that a defect creates. */
export type SchedulerContext = {
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly nodeId: string;
	readonly region: string;
};

/** An injected defect, which a run must detect as a violation. */
export type Defect = {
	readonly table?: (inner: Table) => Table;
	readonly createScheduler?: (context: SchedulerContext, events: SchedulerEvents) => Scheduler;
	readonly upstream?: (upstream: FakeUpstream) => void;
	/** Planned stops do not wait for requests in flight. */
	readonly skipsDraining?: boolean;
	/** Modifies the answers that callers receive. */
	readonly answer?: (body: string) => string;
};

/** Results of a run. */
export type RunReport = {
	readonly seed: number;
	readonly requests: number;
	readonly outcomeCounts: ReadonlyMap<string, number>;
	readonly faults: ReadonlyMap<FaultKind, number>;
	/** Evaluations by promise, by the program's own assertions and by the request history. */
	readonly evaluated: ReadonlyMap<PromiseId, number>;
	readonly violations: RequestHistory['violations'];
};

/** One simulated run. */
export class DeploymentSimulation {
	/**
	 * @param seconds - Virtual time during which faults are injected, in s.
	 * @param defect - An injected defect.
	 */
	static async run(seed: number, seconds: number, defect: Defect = {}): Promise<RunReport> {
		const simulation = new DeploymentSimulation(seed, defect);
		await simulation.#execute(seconds * 1000);
		return simulation.#report();
	}

	readonly #seed: number;
	readonly #defect: Defect;
	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #table: FaultyTable;
	readonly #objects = MemoryObjectStore.create();
	readonly #network: MemoryNetwork;
	readonly #invariants: Invariants;
	readonly #history: RequestHistory;
	readonly #nodes = new Map<number, SoakNode>();
	readonly #generations = new Map<number, number>();
	readonly #upstreams = new Map<string, FakeUpstream>();
	readonly #partitionedRegions = new Set<string>();
	readonly #faults = new Map<FaultKind, number>();
	readonly #versionsAcceptedAt = new Map<number, number>();
	readonly #recentSheds: Array<{readonly isPlain: boolean; readonly tier: number; readonly at: number}> = [];
	#lastDisturbanceAt = Number.NEGATIVE_INFINITY;
	#healedAt = Number.NEGATIVE_INFINITY;
	#version = 1;
	#isRecovering = false;

	private constructor(seed: number, defect: Defect) {
		this.#seed = seed;
		this.#defect = defect;
		this.#random = Random.create(seed);
		this.#table = FaultyTable.create(this.#clock, Random.create(seed + 1));
		this.#table.maxLatencyMs = 5;
		this.#history = new RequestHistory(() => this.#clock.now(), body => this.#executionsOf(body));
		this.#invariants = Invariants.create({
			throwOnViolation: false,
			onViolation: (promise, detail) => {
				this.#history.violations.push({promise, atMs: Math.round(this.#clock.now()), detail: `asserted: ${detail}`});
			},
		});
		const networkRandom = Random.create(seed + 2);
		this.#network = MemoryNetwork.create(this.#clock, networkRandom, (from, to) => this.#linkConditions(from, to, networkRandom));
		this.#createUpstreams();
	}

	async #execute(faultMs: number): Promise<void> {
		await this.#commitSettings(0);
		for (let index = 0; index < NODE_COUNT; index += 1) {
			this.#startNode(index);
		}

		await this.#clock.advanceAsync(STARTUP_MS);
		for (const end = this.#clock.now() + faultMs; this.#clock.now() < end;) {
			this.#tick();
			// eslint-disable-next-line no-await-in-loop
			await this.#clock.advanceAsync(TICK_MS);
		}

		this.#endFaults();
		await this.#clock.advanceAsync(RECOVERY_MS);
		this.#checkFinalState();
	}

	#tick(): void {
		if (this.#random.next() < REQUEST_PROBABILITY) {
			this.#sendNewRequest(this.#random.pick([RequestKind.Note, RequestKind.Note, RequestKind.KeyedNote, RequestKind.Booking, RequestKind.Booking, RequestKind.Lookup]));
		}

		if (this.#random.next() < FAULT_PROBABILITY) {
			this.#inject(this.#random.pick(Object.values(FaultKind)));
		}
	}

	#sendNewRequest(kind: RequestKind): void {
		const tier = this.#random.integer(0, 2);
		this.#sendAttempt(this.#history.ask(kind, tier), tier);
	}

	/** Sends one attempt. Callers retry requests that were lost, refused or have an unknown outcome, at a random node. */
	#sendAttempt(request: CallerRequest, tier: number): void {
		const nodes = [...this.#nodes.values()].filter(node => !node.process.isEnded && !node.isLeaving);
		if (nodes.length === 0) {
			return;
		}

		const node = this.#random.pick(nodes);
		const isFirstAttempt = request.attempts === 0 && this.#random.next() < 0.5;
		request.attempts += 1;
		request.pendingAttempts += 1;
		const executionsBefore = this.#executionsOf(request.body);
		let isPending = true;
		const settle = (action: () => void) => {
			if (isPending) {
				isPending = false;
				action();
			}
		};

		const mayRetry = request.kind !== RequestKind.Note && request.kind !== RequestKind.Lookup;
		const retry = () => {
			if (mayRetry && request.attempts < MAX_CALLER_ATTEMPTS && !this.#isRecovering) {
				this.#clock.setTimer(CALLER_RETRY_DELAY_MS, () => {
					this.#sendAttempt(request, tier);
				});
			}
		};

		node.submit(request, tier, isFirstAttempt, {
			onAnswer: (body, isReplay) => {
				settle(() => {
					this.#history.recordAnswer(request, this.#defect.answer?.(body) ?? body, isReplay);
				});
			},
			onError: (err, ran) => {
				settle(() => {
					this.#history.recordError(request, err, ran, executionsBefore);
					this.#recordShed(request, err);
					retry();
				});
			},
		});
		this.#watchForProcessEnd(node, () => {
			settle(() => {
				this.#history.recordDisconnect(request);
				retry();
			});
		}, () => isPending);
	}

	/** Records that a request was refused because of load; lower tiers must not start in its pool for `PRESSURE_DURATION_MS`. */
	#recordShed({kind, tier}: CallerRequest, {kind: errorKind}: SchedulerError): void {
		if (errorKind === ErrorKind.Overloaded || errorKind === ErrorKind.DeadlineUnreachable) {
			this.#recentSheds.push({isPlain: isPlainRequest(kind), tier, at: this.#clock.now()});
		}
	}

	#checkTierOrder(body: string): void {
		const request = this.#history.findRequest(body);
		const now = this.#clock.now();
		while (this.#recentSheds.length > 0 && now - this.#recentSheds[0]!.at > PRESSURE_DURATION_MS) {
			this.#recentSheds.shift();
		}

		if (request === undefined || this.#mayMissPressure()) {
			return;
		}

		const isPlain = isPlainRequest(request.kind);
		const shed = this.#recentSheds.find(other => other.isPlain === isPlain && other.tier < request.tier && now - other.at > PRESSURE_PROPAGATION_MS);
		this.#history.check(PromiseId.TierOrder, shed === undefined, `${body} of tier ${request.tier} started ${Math.round(now - (shed?.at ?? 0))} ms after tier ${shed?.tier} was shed`);
	}

	/** Pressure signals do not reach nodes that are partitioned, paused or just started. */
	#mayMissPressure(): boolean {
		const since = this.#clock.now() - PRESSURE_DURATION_MS;
		return this.#partitionedRegions.size > 0 || this.#lastDisturbanceAt > since
			|| [...this.#nodes.values()].some(node => node.process.isPaused || node.process.wasPausedSince(since));
	}

	#watchForProcessEnd(node: SoakNode, onProcessEnd: () => void, isPending: () => boolean): void {
		this.#clock.setTimer(TICK_MS, () => {
			if (node.process.isEnded) {
				onProcessEnd();
			} else if (isPending()) {
				this.#watchForProcessEnd(node, onProcessEnd, isPending);
			}
		});
	}

	#inject(kind: FaultKind): void {
		this.#faults.set(kind, (this.#faults.get(kind) ?? 0) + 1);
		const upstream = this.#random.pick([...this.#upstreams.values()]);
		const schedule = (minMs: number, maxMs: number, action: () => void) => {
			this.#clock.setTimer(this.#random.integer(minMs, maxMs), action);
		};

		const injectors: Record<FaultKind, () => void> = {
			[FaultKind.Kill]: () => {
				this.#kill(this.#random.integer(0, NODE_COUNT - 1), this.#random.integer(200, 5000));
			},
			[FaultKind.Pause]: () => {
				const {process} = this.#pickNode();
				process.pause();
				schedule(500, 15_000, () => {
					process.resume();
				});
			},
			[FaultKind.GracefulStop]: () => {
				void this.#stopGracefully(this.#pickNode());
			},
			[FaultKind.StoreDown]: () => {
				this.#table.isDown = true;
				schedule(500, 10_000, () => {
					this.#table.isDown = false;
				});
			},
			[FaultKind.StoreFaults]: () => {
				this.#table.faultRate = 0.3;
				schedule(500, 8000, () => {
					this.#table.faultRate = 0;
				});
			},
			[FaultKind.Partition]: () => {
				const region = this.#random.pick(regions);
				this.#partitionedRegions.add(region);
				schedule(1000, 15_000, () => {
					this.#partitionedRegions.delete(region);
					this.#healedAt = this.#clock.now();
					this.#lastDisturbanceAt = this.#clock.now();
				});
			},
			[FaultKind.UpstreamCrash]() {
				upstream.crash();
			},
			[FaultKind.SlowUpstream]() {
				upstream.condition.latencyFactor = 3;
				schedule(2000, 10_000, () => {
					upstream.condition.latencyFactor = 1;
				});
			},
			[FaultKind.AnswerTruncation]() {
				upstream.condition.disconnectProbability = 0.2;
				schedule(1000, 8000, () => {
					upstream.condition.disconnectProbability = 0;
				});
			},
			[FaultKind.UpstreamLeaving]: () => {
				this.#drainUpstream(upstream);
			},
			[FaultKind.WallJump]: () => {
				this.#clock.jumpWall(this.#random.pick([-86_400_000, 86_400_000, -5000, 5000]));
			},
			[FaultKind.CrashingRequest]: () => {
				this.#sendNewRequest(RequestKind.Poison);
			},
			[FaultKind.Burst]: () => {
				for (let count = 0; count < BURST_REQUEST_COUNT; count += 1) {
					this.#sendNewRequest(RequestKind.Note);
				}
			},
			[FaultKind.SettingsRace]: () => {
				void this.#commitConcurrentSettings();
			},
		};
		injectors[kind]();
	}

	#pickNode(): SoakNode {
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
		const requestsInFlight = node.core.dispatcher.inFlightCount;
		if (this.#defect.skipsDraining) {
			this.#history.check(PromiseId.GracefulStop, requestsInFlight === 0, `${requestsInFlight} requests were cut off by a planned stop`);
		} else {
			const isDrained = await node.drainAndStop();
			this.#history.check(PromiseId.GracefulStop, isDrained, 'a planned stop ended with requests in flight');
		}

		node.process.end();
		this.#network.detach(node.address);
		this.#startNode(node.index);
	}

	/** Announces that an upstream is leaving, and lets it return 8 s later. */
	#drainUpstream(upstream: FakeUpstream): void {
		if (upstream.leavingSince !== undefined) {
			return;
		}

		upstream.leavingSince = this.#clock.now();
		const [id] = [...this.#upstreams].find(([, candidate]) => candidate === upstream)!;
		const reporters = [...this.#nodes.values()].filter(node => !node.process.isPaused && !this.#partitionedRegions.has(node.region));
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

	/** Two operators change the settings from the same version, each at a random node. */
	async #commitConcurrentSettings(): Promise<void> {
		const fromVersion = this.#version;
		const nodes = [this.#pickNode(), this.#pickNode()];
		const versionsBefore = new Map([...this.#nodes.values()].map(node => [node, node.core.config.sync.subtrees.heads[0]?.version ?? 0]));
		const results = await Promise.all(nodes.map(async (node, index) => node.core.config.service.put({
			team: 'team', fromVersion, author: `operator ${index}`, subtree: this.#createSubtree(this.#clock.now() + index), force: false,
		})));
		const accepted = results.filter(result => result.isOk);
		this.#history.check(PromiseId.SettingsInForce, accepted.length <= 1, `two changes were accepted from version ${fromVersion}`);
		const stored = await this.#table.inner.get('config/current/head/team');
		const head = stored.isOk && stored.value !== undefined ? JSON.parse(stored.value.value) as {version: number} : {version: fromVersion};
		this.#version = head.version;
		if (accepted.length > 0) {
			this.#versionsAcceptedAt.set(fromVersion + 1, this.#clock.now());
		}

		for (const [node, version] of versionsBefore) {
			const now = node.core.config.sync.subtrees.heads[0]?.version ?? 0;
			this.#history.check(PromiseId.SettingsInForce, now >= version, `settings reverted from version ${version} to ${now}`);
		}

		if (accepted.length > 0) {
			this.#checkVersionInForce(fromVersion + 1);
		}
	}

	/** Checks after 5 s that every node that could always reach the store and its peers has applied the version. */
	#checkVersionInForce(version: number): void {
		const candidates = new Set([...this.#nodes.values()].filter(node => !node.process.isPaused));
		const start = this.#clock.now();
		const watch = () => {
			for (const node of candidates) {
				if (node.process.isEnded || node.process.isPaused || this.#table.isDown || this.#table.faultRate > 0 || this.#partitionedRegions.size > 0) {
					candidates.delete(node);
				}
			}

			if (this.#clock.now() - start < SETTINGS_PROPAGATION_LIMIT_MS) {
				this.#clock.setTimer(TICK_MS, watch);
				return;
			}

			for (const node of candidates) {
				const applied = node.core.config.sync.subtrees.heads[0]?.version ?? 0;
				this.#history.check(PromiseId.SettingsInForce, applied >= version, `${node.address} has version ${applied} 5 s after ${version} was accepted`);
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
		this.#lastDisturbanceAt = this.#clock.now();
		const process = ProcessClock.create(this.#clock);
		const table = this.#defect.table?.(this.#table) ?? this.#table;
		const {createScheduler} = this.#defect;
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

	#linkConditions(from: string, to: string, random: Random) {
		const [a, b] = [this.#regionOf(from), this.#regionOf(to)];
		if (a !== b && (this.#partitionedRegions.has(a) || this.#partitionedRegions.has(b))) {
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
			if (since !== undefined && this.#partitionedRegions.size === 0) {
				const elapsedMs = this.#clock.now() - since;
				this.#history.check(
					PromiseId.LeavingUpstream,
					elapsedMs <= LEAVING_PROPAGATION_LIMIT_MS || this.#mayMissDeparture(since),
					`an upstream got work ${Math.round(elapsedMs)} ms after it began to leave`,
				);
			}
		};

		for (let index = 0; index < ENGINE_COUNT + BOOKING_COUNT; index += 1) {
			const id = index < ENGINE_COUNT ? `team/engine-${index}` : `team/booking-${index}`;
			const upstream = new FakeUpstream(this.#clock, Random.create(this.#seed + 100 + index), 20 * (1 + (index % 3)), onAccept);
			this.#defect.upstream?.(upstream);
			this.#upstreams.set(id, upstream);
		}
	}

	/** Nodes that are paused, or whose partition ended less than 3 s ago, may not know that an upstream is leaving. */
	#mayMissDeparture(since: number): boolean {
		return this.#clock.now() - this.#healedAt < LEAVING_PROPAGATION_LIMIT_MS || [...this.#nodes.values()].some(node => node.process.isPaused || node.process.wasPausedSince(since));
	}

	async #commitSettings(fromVersion: number): Promise<void> {
		const tree = SettingsTree.create({table: this.#table.inner, objects: this.#objects, clock: this.#clock});
		const committed = tree.commit({
			team: 'team', fromVersion, author: 'soak', body: JSON.stringify(this.#createSubtree(0)),
		});
		await this.#clock.advanceAsync(100);
		await committed;
	}

	#createSubtree(marker: number): unknown {
		const tiers = ['high', 'middle', 'low'].map(name => ({name, deadlineMs: 5000}));
		return {
			services: {
				advice: {
					kind: 'model', description: `mark ${marker}`, models: ['m'], tiers, defaultTier: 'high',
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

	/** Ends all faults so that all requests can end. */
	#endFaults(): void {
		this.#isRecovering = true;
		this.#table.isDown = false;
		this.#table.faultRate = 0;
		this.#partitionedRegions.clear();
		this.#healedAt = this.#clock.now();
		for (const node of this.#nodes.values()) {
			node.process.resume();
		}

		for (const upstream of this.#upstreams.values()) {
			upstream.condition.disconnectProbability = 0;
			upstream.condition.latencyFactor = 1;
		}
	}

	#checkFinalState(): void {
		this.#history.checkExecutionLimits();
		for (const node of this.#nodes.values()) {
			this.#history.check(PromiseId.GracefulStop, node.core.dispatcher.inFlightCount === 0, `${node.address} still has requests in flight after the recovery`);
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
		const evaluated = new Map(this.#history.evaluated);
		for (const [promise, count] of this.#invariants.counts) {
			evaluated.set(promise, evaluated.get(promise)! + count.evaluated);
		}

		return {
			seed: this.#seed, requests: this.#history.requests.length, outcomeCounts: this.#history.outcomeCounts, faults: this.#faults, evaluated, violations: this.#history.violations,
		};
	}
}
