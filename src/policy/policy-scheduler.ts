/**
 * Scheduler of a node: priority tiers, fair queueing, adaptive limits, cost-based routing, ejection and quarantine.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type Random} from '../base/random.js';
import {TIER_COUNT} from './admission.js';
import {OutputLengthEstimator} from './output-length-estimator.js';
import {Pool} from './pool.js';
import {PrefixIndex} from './prefix-index.js';
import {Quarantine, Standing} from './quarantine.js';
import {type Suspicion} from './suspicion.js';
import {Router} from './router.js';
import {InFlightTracker} from './in-flight-tracker.js';
import {
	type CacheChange, Scheduler, type SchedulerEvents, type UpstreamDemand, type UpstreamUse, type UpstreamView, type Work, type WorkOutcome,
} from './scheduler.js';
import {FLOOR_SLOTS} from './shares.js';
import {UpstreamState} from './upstream-state.js';

const TICK_MS = 200;
const DEFAULT_MAX_WAITING = 512;

/** Mechanisms that can be disabled for ablation benchmarks. */
export const Ablation = {
	Prefixes: 'prefixes',
	Regions: 'regions',
	Holding: 'holding',
	LongPrompts: 'long-prompts',
	Stalls: 'stalls',
	Shares: 'shares',
	Reserve: 'reserve',
	Quarantine: 'quarantine',
	FairQueueing: 'fair-queueing',
} as const;

export type Ablation = (typeof Ablation)[keyof typeof Ablation];

/** Dependencies and settings of the scheduler. */
export type PolicySchedulerOptions = {
	readonly clock: Clock;
	readonly events: SchedulerEvents;
	readonly invariants: Invariants;
	readonly random: Random;
	/** ID that is unique to this incarnation of the node. */
	readonly nodeId: string;
	readonly region: string;
	/** Maximum number of waiting requests per pool. */
	readonly maxWaiting?: number;
	/** Mechanism to disable; for benchmarks only. */
	readonly ablation?: Ablation;
};

/** Combines the policy modules into a `Scheduler`. */
export class PolicyScheduler extends Scheduler {
	static create(options: PolicySchedulerOptions): PolicyScheduler {
		return new PolicyScheduler(options);
	}

	/** Crash suspicions, to be exchanged with other nodes. */
	readonly quarantine: Quarantine;
	readonly #options: PolicySchedulerOptions;
	readonly #outputEstimator = OutputLengthEstimator.create();
	readonly #index = PrefixIndex.create();
	readonly #router: Router;
	readonly #inFlightTracker: InFlightTracker;
	readonly #pools = new Map<string, Pool>();
	readonly #states = new Map<string, UpstreamState>();
	/** Removed upstreams that still run requests, which count if the upstream returns. */
	readonly #removedStates = new Map<string, UpstreamState>();
	#tickTimer: Timer | undefined;

	private constructor(options: PolicySchedulerOptions) {
		super();
		this.#options = options;
		this.quarantine = Quarantine.create(options.nodeId, suspicion => {
			options.events.noteSuspicion?.(suspicion);
		});
		this.#router = Router.create({
			region: options.region,
			random: options.random,
			invariants: options.invariants,
			index: this.#index,
			ignoresPrefixes: options.ablation === Ablation.Prefixes,
			ignoresRegions: options.ablation === Ablation.Regions,
			mixesLongPrompts: options.ablation === Ablation.LongPrompts,
			neverReserves: options.ablation === Ablation.Reserve,
			neverHolds: options.ablation === Ablation.Holding,
		});
		this.#inFlightTracker = InFlightTracker.create({
			clock: options.clock, outputEstimator: this.#outputEstimator, index: this.#index, quarantine: this.quarantine,
		});
	}

	override get demand(): readonly UpstreamDemand[] {
		const demands: UpstreamDemand[] = [];
		for (const state of this.#states.values()) {
			const {waitingByTier} = this.#getPool(state.view.pool);
			if (state.inFlight > 0 || waitingByTier.some(count => count > 0)) {
				demands.push({
					upstreamId: state.view.id, limitEstimate: state.limit.value, held: state.inFlight, waitingByTier: [...waitingByTier],
				});
			}
		}

		return demands;
	}

	override get uses(): readonly UpstreamUse[] {
		const now = this.#options.clock.now();
		return [...this.#states.values()].map(state => ({
			upstreamId: state.view.id,
			slots: state.slots(now),
			inFlight: state.inFlight,
			isEjected: now < state.health.ejectedUntil,
			isOnProbation: state.health.isOnProbation,
			isLeaving: state.view.isLeaving,
		}));
	}

	override get waitingByPool(): ReadonlyMap<string, readonly number[]> {
		return new Map([...this.#pools].map(([name, {waitingByTier}]) => [name, [...waitingByTier]]));
	}

	get waitingCount(): number {
		let count = 0;
		for (const pool of this.#pools.values()) {
			count += pool.waitingCount;
		}

		return count;
	}

	override setShare(upstreamId: string, slots: number | undefined, expiredSlots = FLOOR_SLOTS): void {
		const state = this.#states.get(upstreamId);
		if (state !== undefined && this.#options.ablation !== Ablation.Shares) {
			state.setShare(slots, expiredSlots, this.#options.clock.now());
			this.#refreshAndDispatch(state);
		}
	}

	override setPressure(pool: string, tier: number, untilMs: number): void {
		this.#getPool(pool).admission.setPressure(tier, untilMs);
	}

	/** @param total - Number of running and waiting requests that the upstream reported. */
	override noteLoad(upstreamId: string, total: number, ageMs: number): void {
		const state = this.#states.get(upstreamId);
		if (state !== undefined) {
			state.noteLoad(total, ageMs, this.#options.clock.now());
			this.#refreshAndDispatch(state);
		}
	}

	/** Updates the prefix index; late or missing events only reduce its accuracy. */
	override noteCacheChange(upstreamId: string, change: CacheChange): void {
		const now = this.#options.clock.now();
		if (change.kind === 'cleared') {
			this.#index.clear(upstreamId, now);
		} else if (change.kind === 'evicted') {
			this.#index.evict(change.blocks, upstreamId);
		} else {
			this.#index.store(change.blocks, upstreamId, now);
		}
	}

	override get quarantinedCount(): number {
		return this.quarantine.exportQuarantined(this.#options.clock.now()).length;
	}

	override importSuspicions(suspicions: readonly Suspicion[]): void {
		this.quarantine.import(suspicions, this.#options.clock.now());
	}

	submit(work: Work): void {
		const now = this.#options.clock.now();
		const standing = this.#options.ablation === Ablation.Quarantine
			? Standing.Clear
			: this.quarantine.standing(work.fingerprint, now);
		if (standing === Standing.Quarantined) {
			this.#options.events.refuse(work, ErrorKind.Quarantined, this.quarantine.remaining(work.fingerprint, now));
			return;
		}

		const pool = this.#getPool(work.pool);
		const tier = Math.min(TIER_COUNT - 1, Math.max(0, work.tier));
		this.#scheduleTick();
		pool.submit(this.#normalize(work, tier), standing === Standing.Suspect, this.#estimateCachedTokens(work, now));
	}

	withdraw(workId: string): void {
		for (const pool of this.#pools.values()) {
			if (pool.withdraw(workId)) {
				return;
			}
		}
	}

	noteCommitted(workId: string): void {
		this.#inFlightTracker.noteCommitted(workId);
	}

	noteProgress(workId: string, count: number): void {
		const state = this.#inFlightTracker.noteProgress(workId, count);
		if (state !== undefined) {
			this.#refreshAndDispatch(state);
		}
	}

	noteFinished(workId: string, outcome: WorkOutcome): void {
		const state = this.#inFlightTracker.noteFinished(workId, outcome);
		if (state === undefined) {
			return;
		}

		if (state.inFlight === 0 && this.#removedStates.get(state.view.id) === state) {
			this.#removedStates.delete(state.view.id);
		}

		const pool = this.#getPool(state.view.pool);
		pool.lanes.refresh(state);
		pool.dispatchWaiting();
	}

	setUpstreams(upstreams: readonly UpstreamView[]): void {
		const now = this.#options.clock.now();
		const ids = new Set(upstreams.map(view => view.id));
		for (const [id, state] of this.#states) {
			this.#getPool(state.view.pool).lanes.setMember(state, false);
			if (!ids.has(id)) {
				this.#states.delete(id);
				if (state.inFlight > 0) {
					this.#removedStates.set(id, state);
				}
			}
		}

		for (const view of upstreams) {
			const state = this.#states.get(view.id) ?? this.#removedStates.get(view.id) ?? UpstreamState.create(view, now);
			this.#removedStates.delete(view.id);
			this.#states.set(view.id, state);
			state.view = view;
			state.limit.setMaximum(view.maxConcurrency);
			state.leavingSince = view.isLeaving ? state.leavingSince ?? now : undefined;
			this.#getPool(view.pool).lanes.setMember(state, true);
			this.#getPool(view.pool).lanes.refresh(state);
		}

		for (const pool of this.#pools.values()) {
			pool.lanes.noteMembersChanged();
			pool.dispatchWaiting();
		}
	}

	#getPool(name: string): Pool {
		let pool = this.#pools.get(name);
		if (pool === undefined) {
			const {clock, invariants, events, region, maxWaiting} = this.#options;
			pool = Pool.create({
				name,
				clock,
				invariants,
				events,
				region,
				router: this.#router,
				outputEstimator: this.#outputEstimator,
				maxWaiting: maxWaiting ?? DEFAULT_MAX_WAITING,
				reserveSlot: (waiting, choice) => {
					this.#inFlightTracker.reserveSlot(waiting, choice);
					this.#getPool(name).lanes.refresh(choice.state);
				},
			});
			this.#pools.set(name, pool);
		}

		return pool;
	}

	#normalize(work: Work, tier: number): Work {
		if (this.#options.ablation === Ablation.FairQueueing) {
			return {...work, tier, customer: ''};
		}

		return tier === work.tier ? work : {...work, tier};
	}

	#estimateCachedTokens(work: Work, now: number): number {
		if (work.prefix.length === 0) {
			return 0;
		}

		return work.promptTokens * this.#index.knownDepth(work.prefix, now) / work.prefix.length;
	}

	#refreshAndDispatch(state: UpstreamState): void {
		const pool = this.#getPool(state.view.pool);
		if (pool.lanes.refresh(state)) {
			pool.dispatchWaiting();
		}
	}

	#scheduleTick(): void {
		this.#tickTimer ??= this.#options.clock.setTimer(TICK_MS, () => {
			this.#tickTimer = undefined;
			this.#tick();
		});
	}

	/** Ejects stalled upstreams and updates the pools, which readmits upstreams whose ejection ended; runs only while there is work. */
	#tick(): void {
		const now = this.#options.clock.now();
		for (const state of this.#states.values()) {
			if (this.#options.ablation !== Ablation.Stalls && state.isStalled(now) && state.health.eject(now)) {
				state.limit.restart();
			}
		}

		for (const pool of this.#pools.values()) {
			pool.tick();
		}

		if (this.#inFlightTracker.size > 0 || this.waitingCount > 0) {
			this.#scheduleTick();
		}
	}
}
