/**
 * Simulates a run in virtual time: entry nodes with a scheduler each, fake upstreams, and messages with network delays.
 */
import {type ErrorKind} from '../../src/base/errors.js';
import {Invariants} from '../../src/base/invariant.js';
import {type Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {PRESSURE_WINDOW_MS} from '../../src/policy/admission.js';
import {type Ablation, PolicyScheduler} from '../../src/policy/policy-scheduler.js';
import {
	type SchedulerEvents, type UpstreamView, type Work, WorkOutcome,
} from '../../src/policy/scheduler.js';
import {FLOOR_SLOTS, ShareAllocator} from '../../src/policy/shares.js';
import {type BaselineKind, BaselineScheduler} from './baseline.js';
import {EngineFake, type PrefillStats} from './engine-fake.js';
import {injectFaults} from './faults.js';
import {Measures} from './measures.js';
import {ServiceFake} from './service-fake.js';
import {createStream} from './streams.js';
import {
	type Arrival, ArrivalSource, capacity, loadAt, MODEL_POOL, regions, RUN_DURATION_MS, SERVICE_POOL, type Workload,
} from './workload.js';

const LOCAL_DELAY_MS = 0.5;
const REGION_DELAY_MS = 8;
const DRAIN_MS = 30_000;
const LOAD_REPORT_INTERVAL_MS = 1000;
const DEMAND_INTERVAL_MS = 200;
const MAX_WAITING = 256;
const MAX_ATTEMPTS = 3;
const BYTES_PER_TOKEN = 4;
const CACHE_EVENT_LOSS = 0.1;

type Upstream = EngineFake | ServiceFake;

type Node = {
	readonly index: number;
	readonly region: string;
	readonly scheduler: PolicyScheduler | BaselineScheduler;
	/** Sequence number of the last received share, by upstream. */
	readonly lastGrants: Map<string, number>;
};

type InFlightRequest = {
	readonly arrival: Arrival;
	readonly node: Node;
	attempts: number;
	isOnTime: boolean;
};

/** Options of a run. */
export type RunOptions = {
	readonly workload: Workload;
	readonly seed: number;
	readonly policy: 'policy' | BaselineKind;
	readonly ablation?: Ablation;
};

/** Result of a run. */
export type RunResult = {
	readonly measures: Measures;
	readonly prefill: PrefillStats;
	readonly violations: number;
};

/** Simulates a run. Equal options give equal results. */
export function simulate(options: RunOptions): RunResult {
	return Simulation.create(options).run();
}

class Simulation {
	static create(options: RunOptions): Simulation {
		return new Simulation(options);
	}

	readonly #options: RunOptions;
	readonly #clock = VirtualClock.create();
	readonly #measures = Measures.create();
	readonly #prefill: PrefillStats = {
		total: 0, repeated: 0, firstPrefillByWork: new Map(), knownBlocks: new Set(),
	};

	readonly #random: Random;
	readonly #upstreams = new Map<string, Upstream>();
	readonly #nodes: Node[] = [];
	readonly #hasFirstToken = new Set<string>();
	readonly #inFlight = new Map<string, InFlightRequest>();
	readonly #allocators = new Map<string, ShareAllocator>();
	readonly #invariants = Invariants.create({throwOnViolation: false});

	private constructor(options: RunOptions) {
		this.#options = options;
		this.#random = createStream(options.seed, 'reports');
		this.#createUpstreams();
		this.#createNodes();
	}

	run(): RunResult {
		const source = ArrivalSource.create(this.#options.workload, createStream(this.#options.seed, 'requests'));
		this.#scheduleArrival(source, createStream(this.#options.seed, 'arrivals'));
		this.#scheduleEvery(LOAD_REPORT_INTERVAL_MS, () => {
			this.#reportLoad();
		});
		if (this.#options.policy === 'policy') {
			this.#scheduleEvery(DEMAND_INTERVAL_MS, () => {
				this.#exchangeDemand();
			});
		}

		this.#clock.advance(RUN_DURATION_MS + DRAIN_MS);
		let violations = 0;
		for (const {violated} of this.#invariants.counts.values()) {
			violations += violated;
		}

		return {measures: this.#measures, prefill: this.#prefill, violations};
	}

	#createUpstreams(): void {
		const {workload, seed} = this.#options;
		for (const spec of workload.engines) {
			const engine = EngineFake.create(this.#clock, spec, this.#prefill);
			this.#upstreams.set(spec.id, engine);
			engine.onCacheChange = (kind, blocks) => {
				this.#publishCacheChange(spec.id, kind, blocks);
			};
		}

		for (const spec of workload.services) {
			this.#upstreams.set(spec.id, ServiceFake.create(this.#clock, spec));
		}

		for (const upstream of this.#upstreams.values()) {
			injectFaults(upstream, this.#clock, createStream(seed, `faults ${upstream.spec.id}`), this.#measures);
			this.#allocators.set(upstream.spec.id, ShareAllocator.create());
		}
	}

	#createNodes(): void {
		for (let index = 0; index < this.#options.workload.nodeCount; index += 1) {
			const region = regions[index % regions.length]!;
			const node: Node = {
				index, region, scheduler: this.#createScheduler(index, region), lastGrants: new Map(),
			};
			this.#nodes.push(node);
			node.scheduler.setUpstreams(this.#createViews());
		}
	}

	#createScheduler(index: number, region: string): PolicyScheduler | BaselineScheduler {
		const {policy, seed, workload, ablation} = this.#options;
		const random = createStream(seed, `node ${index}`);
		const events: SchedulerEvents = {
			start: (work, upstreamId) => {
				this.#handleStart(this.#nodes[index]!, work, upstreamId);
			},
			refuse: (work, kind) => {
				this.#handleRefusal(this.#nodes[index]!, work, kind);
			},
			notePressure: (pool, tier) => {
				this.#broadcastPressure(index, pool, tier);
			},
		};
		const clock = this.#clock;
		if (policy === 'policy') {
			return PolicyScheduler.create({
				clock, random, events, region, ablation, invariants: this.#invariants, nodeId: `node-${index}`, maxWaiting: MAX_WAITING,
			});
		}

		return BaselineScheduler.create({
			clock, random, events, kind: policy, nodeCount: workload.nodeCount, maxWaiting: MAX_WAITING,
		});
	}

	#createViews(): UpstreamView[] {
		return [...this.#upstreams.values()].map(upstream => ({
			id: upstream.spec.id,
			pool: 'workers' in upstream.spec ? SERVICE_POOL : MODEL_POOL,
			region: upstream.spec.region,
			dataCentre: upstream.spec.region,
			models: undefined,
			maxConcurrency: maxConcurrencyOf(upstream),
			isLeaving: false,
		}));
	}

	#scheduleArrival(source: ArrivalSource, random: Random): void {
		const now = this.#clock.now();
		const perMs = capacity(this.#options.workload) * loadAt(now) / 1000;
		const waitMs = random.exponential(1 / perMs);
		if (now + waitMs > RUN_DURATION_MS) {
			return;
		}

		this.#clock.setTimer(waitMs, () => {
			this.#handleArrival(source.next(this.#clock.now()), random.pick(this.#nodes));
			this.#scheduleArrival(source, random);
		});
	}

	#handleArrival(arrival: Arrival, node: Node): void {
		const {work} = arrival;
		this.#measures.tiers[work.tier]!.offered += 1;
		this.#inFlight.set(work.id, {
			arrival, node, attempts: 0, isOnTime: false,
		});
		node.scheduler.submit(work);
	}

	#handleRefusal(node: Node, work: Work, kind: ErrorKind): void {
		this.#inFlight.delete(work.id);
		this.#measures.noteRefused(work, kind, node.index, this.#clock.now());
	}

	#handleStart(node: Node, work: Work, upstreamId: string): void {
		const request = this.#inFlight.get(work.id)!;
		const upstream = this.#upstreams.get(upstreamId)!;
		request.attempts += 1;
		this.#measures.noteStart(work, upstreamId, node.index, this.#clock.now());
		const delay = this.#networkDelayMs(node.region, upstream.spec.region);
		if (node.region !== upstream.spec.region) {
			this.#measures.bytesBetweenRegions += (work.promptTokens + request.arrival.outputTokens) * BYTES_PER_TOKEN;
		}

		this.#clock.setTimer(delay, () => {
			this.#send(request, upstream, delay);
		});
		node.scheduler.noteCommitted(work.id);
	}

	#send(request: InFlightRequest, upstream: Upstream, delay: number): void {
		const {work, outputTokens} = request.arrival;
		const isAccepted = upstream.send(work, outputTokens, {
			onProgress: count => {
				this.#clock.setTimer(delay, () => {
					this.#handleProgress(request, count);
				});
			},
			onEnd: outcome => {
				this.#clock.setTimer(delay, () => {
					this.#handleEnd(request, upstream, outcome);
				});
			},
		});
		if (!isAccepted) {
			this.#clock.setTimer(delay, () => {
				this.#handleEnd(request, upstream, WorkOutcome.ConnectionRefused);
			});
		}
	}

	#handleProgress(request: InFlightRequest, count: number): void {
		const {work} = request.arrival;
		const now = this.#clock.now();
		if (request.attempts > 0 && !request.isOnTime && !this.#hasFirstToken.has(work.id)) {
			this.#hasFirstToken.add(work.id);
			request.isOnTime = now <= work.deadlineAt;
			this.#measures.firstToken[work.tier]!.recordValue(Math.max(1, Math.round(now - work.arrivedAt)));
		}

		request.node.scheduler.noteProgress(work.id, count);
	}

	#handleEnd(request: InFlightRequest, upstream: Upstream, outcome: WorkOutcome): void {
		const {work} = request.arrival;
		const {scheduler} = request.node;
		scheduler.noteFinished(work.id, outcome);
		if (outcome === WorkOutcome.ConnectionRefused && request.attempts < MAX_ATTEMPTS) {
			scheduler.submit({...work, excluded: [...work.excluded, upstream.spec.id]});
			return;
		}

		const tier = this.#measures.tiers[work.tier]!;
		if (outcome !== WorkOutcome.Done) {
			tier.lost += 1;
		} else if (request.isOnTime) {
			tier.good += 1;
		} else {
			tier.late += 1;
		}

		if (outcome !== WorkOutcome.Done || !request.isOnTime) {
			this.#measures.discardedPrefill += this.#prefill.firstPrefillByWork.get(work.id) ?? 0;
		}

		this.#inFlight.delete(work.id);
	}

	#broadcastPressure(from: number, pool: string, tier: number): void {
		for (const node of this.#nodes) {
			if (node.index !== from) {
				this.#clock.setTimer(this.#networkDelayMs(node.region, this.#nodes[from]!.region), () => {
					node.scheduler.setPressure(pool, tier, this.#clock.now() + PRESSURE_WINDOW_MS);
				});
			}
		}
	}

	/** Sends the load of each upstream to all nodes. Reports are 0.5 to 5 s old when they arrive. */
	#reportLoad(): void {
		for (const {spec, load} of this.#upstreams.values()) {
			const age = 500 + (4500 * this.#random.next());
			this.#clock.setTimer(age, () => {
				for (const {scheduler} of this.#nodes) {
					scheduler.noteLoad(spec.id, load, age);
				}
			});
		}
	}

	#exchangeDemand(): void {
		for (const node of this.#nodes) {
			for (const demand of node.scheduler.demand) {
				this.#clock.setTimer(REGION_DELAY_MS, () => {
					const demandReport = {heldByTier: [], ...demand, lastGrant: node.lastGrants.get(demand.upstreamId) ?? 0};
					const share = this.#allocators.get(demand.upstreamId)!.grant(`node-${node.index}`, demandReport, maxConcurrencyOf(this.#upstreams.get(demand.upstreamId)!), this.#clock.now());
					this.#clock.setTimer(REGION_DELAY_MS, () => {
						node.lastGrants.set(demand.upstreamId, share.sequence);
						node.scheduler.setShare(demand.upstreamId, share.slots, Math.max(FLOOR_SLOTS, Math.floor(share.limit / this.#nodes.length)));
					});
				});
			}
		}
	}

	/** Sends a cache event to all nodes. Events arrive 0.5 to 2 s late, and some are lost. */
	#publishCacheChange(upstreamId: string, kind: 'stored' | 'evicted', blocks: readonly number[]): void {
		for (const {scheduler} of this.#nodes) {
			if (scheduler instanceof PolicyScheduler && this.#random.next() >= CACHE_EVENT_LOSS) {
				this.#clock.setTimer(500 + (1500 * this.#random.next()), () => {
					scheduler.noteCacheChange(upstreamId, {kind, blocks});
				});
			}
		}
	}

	#scheduleEvery(ms: number, action: () => void): void {
		this.#clock.setTimer(ms, () => {
			action();
			this.#scheduleEvery(ms, action);
		});
	}

	#networkDelayMs(from: string, to: string): number {
		return from === to ? LOCAL_DELAY_MS : REGION_DELAY_MS;
	}
}

function maxConcurrencyOf({spec}: Upstream): number {
	return 'workers' in spec ? spec.workers : spec.maxBatch;
}
