/**
 * One run: entry nodes with a scheduler each, fake upstreams, messages with delays, all in virtual time.
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
import {EngineFake, type PrefillCount} from './engine-fake.js';
import {injectFaults} from './faults.js';
import {Measures} from './measures.js';
import {ServiceFake} from './service-fake.js';
import {createStream} from './streams.js';
import {
	type Arrival, ArrivalSource, capacity, loadAt, MODEL_POOL, regions, RUN_MS, SERVICE_POOL, type Workload,
} from './workload.js';

const LOCAL_DELAY_MS = 0.5;
const REGION_DELAY_MS = 8;
const DRAIN_MS = 30_000;
const LOAD_REPORT_MS = 1000;
const DEMAND_MS = 200;
const MAX_WAITING = 256;
const MAX_ATTEMPTS = 3;
const BYTES_PER_TOKEN = 4;
const CACHE_EVENT_LOSS = 0.1;

type Upstream = EngineFake | ServiceFake;

type Node = {
	readonly index: number;
	readonly region: string;
	readonly scheduler: PolicyScheduler | BaselineScheduler;
	/** Sequence of the last share that was received, by upstream. */
	readonly lastGrants: Map<string, number>;
};

type Flight = {
	readonly arrival: Arrival;
	readonly node: Node;
	attempts: number;
	isOnTime: boolean;
};

/** What to run. */
export type RunOptions = {
	readonly workload: Workload;
	readonly seed: number;
	readonly policy: 'policy' | BaselineKind;
	readonly ablation?: Ablation;
};

/** What a run gave. */
export type RunResult = {
	readonly measures: Measures;
	readonly prefill: PrefillCount;
	readonly violations: number;
};

/** @returns The measures of one run; equal options give equal measures. */
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
	readonly #prefill: PrefillCount = {
		total: 0, repeated: 0, firstTimeByWork: new Map(), known: new Set(),
	};

	readonly #random: Random;
	readonly #upstreams = new Map<string, Upstream>();
	readonly #nodes: Node[] = [];
	readonly #hasFirstToken = new Set<string>();
	readonly #flights = new Map<string, Flight>();
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
		this.#every(LOAD_REPORT_MS, () => {
			this.#reportLoad();
		});
		if (this.#options.policy === 'policy') {
			this.#every(DEMAND_MS, () => {
				this.#exchangeDemand();
			});
		}

		this.#clock.advance(RUN_MS + DRAIN_MS);
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
			node.scheduler.setUpstreams(this.#views());
		}
	}

	#createScheduler(index: number, region: string): PolicyScheduler | BaselineScheduler {
		const {policy, seed, workload, ablation} = this.#options;
		const random = createStream(seed, `node ${index}`);
		const events: SchedulerEvents = {
			start: (work, upstreamId) => {
				this.#start(this.#nodes[index]!, work, upstreamId);
			},
			refuse: (work, kind) => {
				this.#refuse(this.#nodes[index]!, work, kind);
			},
			notePressure: (pool, tier) => {
				this.#spreadPressure(index, pool, tier);
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

	#views(): UpstreamView[] {
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
		const wait = random.exponential(1 / perMs);
		if (now + wait > RUN_MS) {
			return;
		}

		this.#clock.setTimer(wait, () => {
			this.#arrive(source.next(this.#clock.now()), random.pick(this.#nodes));
			this.#scheduleArrival(source, random);
		});
	}

	#arrive(arrival: Arrival, node: Node): void {
		const {work} = arrival;
		this.#measures.tiers[work.tier]!.offered += 1;
		this.#flights.set(work.id, {
			arrival, node, attempts: 0, isOnTime: false,
		});
		node.scheduler.submit(work);
	}

	#refuse(node: Node, work: Work, kind: ErrorKind): void {
		this.#flights.delete(work.id);
		this.#measures.noteRefused(work, kind, node.index, this.#clock.now());
	}

	#start(node: Node, work: Work, upstreamId: string): void {
		const flight = this.#flights.get(work.id)!;
		const upstream = this.#upstreams.get(upstreamId)!;
		flight.attempts += 1;
		this.#measures.noteStart(work, upstreamId, node.index, this.#clock.now());
		const delay = this.#delay(node.region, upstream.spec.region);
		if (node.region !== upstream.spec.region) {
			this.#measures.bytesBetweenRegions += (work.promptTokens + flight.arrival.outputTokens) * BYTES_PER_TOKEN;
		}

		this.#clock.setTimer(delay, () => {
			this.#send(flight, upstream, delay);
		});
		node.scheduler.noteCommitted(work.id);
	}

	#send(flight: Flight, upstream: Upstream, delay: number): void {
		const {work, outputTokens} = flight.arrival;
		const isAccepted = upstream.send(work, outputTokens, {
			onProgress: count => {
				this.#clock.setTimer(delay, () => {
					this.#progress(flight, count);
				});
			},
			onEnd: outcome => {
				this.#clock.setTimer(delay, () => {
					this.#end(flight, upstream, outcome);
				});
			},
		});
		if (!isAccepted) {
			this.#clock.setTimer(delay, () => {
				this.#end(flight, upstream, WorkOutcome.ConnectionRefused);
			});
		}
	}

	#progress(flight: Flight, count: number): void {
		const {work} = flight.arrival;
		const now = this.#clock.now();
		if (flight.attempts > 0 && !flight.isOnTime && !this.#hasFirstToken.has(work.id)) {
			this.#hasFirstToken.add(work.id);
			flight.isOnTime = now <= work.deadlineAt;
			this.#measures.firstToken[work.tier]!.recordValue(Math.max(1, Math.round(now - work.arrivedAt)));
		}

		flight.node.scheduler.noteProgress(work.id, count);
	}

	#end(flight: Flight, upstream: Upstream, outcome: WorkOutcome): void {
		const {work} = flight.arrival;
		const {scheduler} = flight.node;
		scheduler.noteFinished(work.id, outcome);
		if (outcome === WorkOutcome.ConnectionRefused && flight.attempts < MAX_ATTEMPTS) {
			scheduler.submit({...work, excluded: [...work.excluded, upstream.spec.id]});
			return;
		}

		const tier = this.#measures.tiers[work.tier]!;
		if (outcome !== WorkOutcome.Done) {
			tier.lost += 1;
		} else if (flight.isOnTime) {
			tier.good += 1;
		} else {
			tier.late += 1;
		}

		if (outcome !== WorkOutcome.Done || !flight.isOnTime) {
			this.#measures.discardedPrefill += this.#prefill.firstTimeByWork.get(work.id) ?? 0;
		}

		this.#flights.delete(work.id);
	}

	#spreadPressure(from: number, pool: string, tier: number): void {
		for (const node of this.#nodes) {
			if (node.index !== from) {
				this.#clock.setTimer(this.#delay(node.region, this.#nodes[from]!.region), () => {
					node.scheduler.setPressure(pool, tier, this.#clock.now() + PRESSURE_WINDOW_MS);
				});
			}
		}
	}

	/** Reports are 0.5 to 5 s old when they are read. */
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
					const asked = {heldByTier: [], ...demand, lastGrant: node.lastGrants.get(demand.upstreamId) ?? 0};
					const share = this.#allocators.get(demand.upstreamId)!.grant(`node-${node.index}`, asked, maxConcurrencyOf(this.#upstreams.get(demand.upstreamId)!), this.#clock.now());
					this.#clock.setTimer(REGION_DELAY_MS, () => {
						node.lastGrants.set(demand.upstreamId, share.sequence);
						node.scheduler.setShare(demand.upstreamId, share.slots, Math.max(FLOOR_SLOTS, Math.floor(share.limit / this.#nodes.length)));
					});
				});
			}
		}
	}

	/** Events come 0.5 to 2 s late, and a part of them is lost. */
	#publishCacheChange(upstreamId: string, kind: 'stored' | 'evicted', blocks: readonly number[]): void {
		for (const {scheduler} of this.#nodes) {
			if (scheduler instanceof PolicyScheduler && this.#random.next() >= CACHE_EVENT_LOSS) {
				this.#clock.setTimer(500 + (1500 * this.#random.next()), () => {
					scheduler.noteCacheChange(upstreamId, {kind, blocks});
				});
			}
		}
	}

	#every(ms: number, action: () => void): void {
		this.#clock.setTimer(ms, () => {
			action();
			this.#every(ms, action);
		});
	}

	#delay(from: string, to: string): number {
		return from === to ? LOCAL_DELAY_MS : REGION_DELAY_MS;
	}
}

function maxConcurrencyOf({spec}: Upstream): number {
	return 'workers' in spec ? spec.workers : spec.maxBatch;
}
