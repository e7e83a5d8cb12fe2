/**
 * Decides which request gets a place at which upstream, in which order, and which requests are refused. One allocator
 * decides for all VMs; a VM that cannot reach it decides for itself, within its share of the quotas. Performs no I/O.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {type Random} from '../base/random.js';
import {Ending} from '../gateway/exchange-ending.js';
import {type RoutingTable} from '../gateway/routing-table.js';
import {type UpstreamLimits} from '../gateway/upstream-limits.js';
import {type UpstreamChanges} from '../gateway/upstream-list.js';
import {Quarantine} from '../policy/quarantine.js';
import {type Suspicion} from '../policy/suspicion.js';
import {
	agePlaceRequest, Allocation, type PlaceRequest, type PlaceRequestEvents, emptyReport, type HeldPlace, type PlaceReport,
} from './allocation.js';
import {
	explain, type Explanation, ignoredEvents, UNKNOWN_CALL,
} from './explanation.js';
import {type Locality} from './locality.js';
import {type LocalitySettings} from './locality-rule.js';
import {type StatedPace} from './momentary-pace.js';
import {type PlacementFilter} from './placement-filter.js';
import {type PlacementObserver} from './placement-observer.js';
import {Pool} from './pool.js';
import {type RetryBounds} from './pool-retry-budget.js';
import {collectStatistics, type PoolStatistics} from './pool-statistics.js';
import {type ShareDecision} from './overload.js';
import {Quotas, type QuotaTolerance} from './quotas.js';
import {CallerRetries} from './caller-retries.js';
import {CrashRecorder, type RecordedUpstream} from './crash-recorder.js';
import {invitingKinds, MIN_RETRY_AFTER_MS, RETRY_JITTER} from './retry-after.js';
import {type Scope, globalScope} from './scope.js';
import {type HeldRequest, type TrackedUpstream} from './tracked-upstream.js';
import {evaluateUnchanged} from './unchanged-state.js';
import {type WaitingRequest} from './waiting-queue.js';

/** Interval at which waiting requests are re-evaluated, in ms; small compared to the shortest response-time objective. */
const QUEUE_CHECK_INTERVAL_MS = 25;
/**
 * Fraction of a request's remaining time that its expected wait may take; otherwise it is refused immediately, so that the
 * caller can retry. The margin allows for the accuracy of the expected wait, which is right within a factor of two.
 */
const MAX_WAIT_RATIO = 0.6;
/** How long a standalone VM delays a request that exceeds its share of a quota, in ms. */
const STANDALONE_QUOTA_WAIT_MS = 500;
/** Retry-After when no upstream is available, in ms; a replacement registers within about a second. */
const NO_UPSTREAM_RETRY_AFTER_MS = 500;
/**
 * Retry-After of a request that found too long a queue, as a fraction of its remaining time. Load spikes last for seconds
 * and callers retry once: a shorter delay would meet the same queue, a longer one leaves too little time for the answer.
 */
const RETRY_DELAY_RATIO = 0.28;
/** How long requests with a feature that crashes upstreams are refused, in ms; then one of them is tried again. Three trials a day crash three upstreams at most. */
const QUARANTINE_MS = 28_800_000;

/** Options of an allocator. */
export type AllocatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Unique per start of the process. */
	readonly nodeId: string;
	/** Limits of each pool's retry budget. */
	readonly repeatBounds: RetryBounds;
	readonly quotaTolerance: QuotaTolerance;
	/** Limits that the upstreams stated, as this VM knows them. */
	readonly limits: UpstreamLimits;
	/** Whether customers share scarce room, and the memory of upstreams is accounted for. */
	readonly isUnderPressure?: boolean;
	/** Rules that restrict which upstreams a request may use. */
	readonly filters?: readonly PlacementFilter[];
	/** Replaces the rule of `localitySettings`. */
	readonly locality?: Locality;
	/** Follows grants and their ends. */
	readonly observer?: PlacementObserver;
	/** When requests leave their data centre; by room, with the default delays and prices of links, if absent. */
	readonly localitySettings?: LocalitySettings;
};

/** A decision on a place request, for logs and metrics. */
export type Decision = {
	readonly ask: PlaceRequest;
	readonly waitedMs: number;
	readonly waiting: number;
	readonly upstreamId?: string;
	readonly expectedFirstMs?: number;
	readonly refusal?: ErrorKind;
	/** Time left until the objective is missed, in ms; for a request that the caller retried, counted from its first attempt. */
	readonly objectiveMs: number;
	/** If customers share scarce room. */
	readonly share?: ShareDecision;
};

/** Allocates places at the upstreams of all pools. */
export class Allocator extends Allocation {
	static create(options: AllocatorOptions): Allocator {
		return new Allocator(options);
	}

	/** Called for each decision. */
	onDecision: ((decision: Decision) => void) | undefined;
	/** Called when an upstream of a pool is the first to state its momentary pace. */
	onPaceStated: ((pool: string, upstreamId: string) => void) | undefined;
	/** Called when something is learnt of what crashes upstreams, by requests that this allocator decided on. */
	onSuspicion: ((suspicion: Suspicion) => void) | undefined;
	/** Called when requests with a feature are quarantined. */
	onQuarantined: ((suspicion: Suspicion) => void) | undefined;
	readonly quarantine: Quarantine;
	readonly #options: AllocatorOptions;
	readonly #pools = new Map<string, Pool>();
	readonly #poolByRequest = new Map<string, Pool>();
	readonly #poolByUpstream = new Map<string, Pool>();
	readonly #quotas: Quotas;
	readonly #crashRecorder: CrashRecorder;
	readonly #callerRetries = CallerRetries.create();
	/** Timers of the requests that exceed this VM's share of a quota, by ID. */
	readonly #deferred = new Map<string, Timer>();
	#table: RoutingTable | undefined;
	#scope: Scope = globalScope(true);
	#timer: Timer | undefined;

	private constructor(options: AllocatorOptions) {
		super();
		this.#options = options;
		this.#quotas = Quotas.create(options.quotaTolerance);
		this.quarantine = Quarantine.create(options.nodeId, suspicion => {
			this.onSuspicion?.(suspicion);
		}, {
			quarantineMs: QUARANTINE_MS,
			onQuarantined: suspicion => {
				this.onQuarantined?.(suspicion);
				this.#refuseQuarantined();
			},
		});
		this.#crashRecorder = CrashRecorder.create(options.clock, this.quarantine);
	}

	/** Number of requests that wait for a place. */
	get waitingCount(): number {
		let count = 0;
		for (const pool of this.#pools.values()) {
			count += pool.waiting.size;
		}

		return count;
	}

	/** Number of places that are held. */
	get heldCount(): number {
		return this.#poolByRequest.size - this.waitingCount;
	}

	/** Whether it grants the whole of what all VMs share, as no other allocator is known or likely. */
	get decidesForAll(): boolean {
		return this.#scope.share === 1 && !this.#scope.isStandalone;
	}

	/** What the pools know of the pace and the memory of their upstreams. */
	get statistics(): PoolStatistics[] {
		const now = this.#options.clock.now();
		return [...this.#pools.values()].map(pool => collectStatistics(pool, now));
	}

	/** Number of requests that wait for a place, by customer; those without one are under an empty name. */
	get waitingByCustomer(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const pool of this.#pools.values()) {
			for (const {ask: {customer = ''}} of pool.waiting) {
				counts.set(customer, (counts.get(customer) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** The pace factor of each upstream relative to the usual one of its pool, for a successor. */
	get paces(): ReadonlyMap<string, number> {
		const paces = new Map<string, number>();
		for (const pool of this.#pools.values()) {
			for (const target of pool.upstreams.values()) {
				paces.set(target.upstream.id, target.pace.factor / pool.usualFactor);
			}
		}

		return paces;
	}

	/** @returns The upstreams of a pool. */
	upstreamsOf(pool: string): ReadonlyMap<string, TrackedUpstream> {
		return this.#pools.get(pool)?.upstreams ?? new Map<string, TrackedUpstream>();
	}

	/** @returns The places that are held in a pool. */
	placesOf(pool: string): ReadonlyMap<string, HeldRequest> {
		return this.#pools.get(pool)?.held ?? new Map<string, HeldRequest>();
	}

	/** @returns Time until the deadline of a request that holds a place, in ms; 0 if it holds none. */
	remainingMs(id: string): number {
		const held = this.#poolByRequest.get(id)?.held.get(id);
		return held === undefined ? 0 : Math.max(0, held.grantedAt + held.ask.remainingMs - this.#options.clock.now());
	}

	/** Restores pace factors estimated by another allocator. */
	restorePaces(paces: Iterable<readonly [upstreamId: string, factor: number]>): void {
		for (const [id, factor] of paces) {
			this.#poolByUpstream.get(id)?.upstreams.get(id)?.pace.restore(factor);
		}
	}

	/** Starts to decide for the VMs of a scope, discarding all waiting requests and held places. */
	restart(scope: Scope): void {
		const now = this.#options.clock.now();
		this.#scope = scope;
		this.#quotas.restart(scope.share, scope.quotaInitialFill, now);
		this.#poolByRequest.clear();
		for (const timer of this.#deferred.values()) {
			timer.cancel();
		}

		this.#deferred.clear();
		for (const pool of this.#pools.values()) {
			pool.clear();
			pool.setScope(scope);
			this.#initRetryBudget(pool);
		}
	}

	/** Changes the share of the quotas, of the upstreams' limits and of the retry slack that may be granted; earlier grants are not revoked. */
	setShare(share: number): void {
		if (this.#scope.share !== share) {
			this.#scope = {...this.#scope, share};
			this.#quotas.setShare(share, this.#options.clock.now());
			for (const pool of this.#pools.values()) {
				pool.setScope(this.#scope);
			}
		}
	}

	setTable(table: RoutingTable): void {
		this.#table = table;
		this.#quotas.setCustomers(table.configuration.customers, this.#options.clock.now());
		for (const pool of this.#pools.values()) {
			pool.setSettings(table.pool(pool.name));
			pool.overload?.setCustomers(table.configuration.customers);
		}
	}

	setUpstreams({changed, removed}: UpstreamChanges): void {
		for (const id of removed) {
			this.#noteGone(id);
			this.#poolByUpstream.get(id)?.removeUpstream(id);
			this.#poolByUpstream.delete(id);
		}

		const affected = new Set<Pool>();
		for (const upstream of changed) {
			const pool = this.#getOrCreatePool(upstream.pool);
			const previous = this.#poolByUpstream.get(upstream.id);
			if (previous?.upstreams.get(upstream.id)?.upstream.startedAt !== upstream.startedAt) {
				this.#noteGone(upstream.id);
			}

			if (previous !== undefined && previous !== pool) {
				previous.removeUpstream(upstream.id);
			}

			pool.setUpstream(upstream);
			this.#poolByUpstream.set(upstream.id, pool);
			affected.add(pool);
		}

		for (const pool of affected) {
			this.#grantPlaces(pool);
		}
	}

	/** Registers places that VMs already hold. */
	adopt(places: readonly HeldPlace[]): void {
		const now = this.#options.clock.now();
		for (const {ask, upstreamId, heldMs, hasFirst} of places) {
			const pool = this.#poolByUpstream.get(upstreamId) ?? this.#getOrCreatePool(ask.pool);
			const grantedAt = now - heldMs;
			pool.adopt({
				ask, upstreamId, upstreamStartedAt: pool.upstreams.get(upstreamId)?.upstream.startedAt ?? 0, grantedAt, objectiveAt: grantedAt + ask.objectiveMs, callerLeavesAt: grantedAt + ask.callerLeavesMs, pendingPromptTokens: 0, hasFirst,
			});
			this.#poolByRequest.set(ask.id, pool);
		}
	}

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		const now = this.#options.clock.now();
		const pool = this.#getOrCreatePool(ask.pool);
		const waiting = this.#createWaiting(ask, events, now);
		const refusal = this.#findRefusal(pool, waiting, now);
		if (refusal !== undefined) {
			pool.overload?.remove(ask.id);
		}

		if (refusal?.kind === ErrorKind.RateLimited && this.#scope.isStandalone && ask.patienceMs > STANDALONE_QUOTA_WAIT_MS) {
			// The allocator of all VMs knows what is left of the quota and usually decides within this time.
			this.#defer(ask, events);
			return;
		}

		if (refusal !== undefined) {
			this.#refuse(pool, waiting, refusal.kind, refusal.retryAfterMs);
			return;
		}

		pool.overload?.add(ask, pool.serviceMs(ask));
		pool.waiting.add(waiting, now);
		this.#poolByRequest.set(ask.id, pool);
		this.#grantPlaces(pool);
		this.#scheduleCheck();
	}

	withdraw(id: string): void {
		this.#deferred.get(id)?.cancel();
		this.#deferred.delete(id);
		const pool = this.#poolByRequest.get(id);
		const waiting = pool?.waiting.get(id);
		if (pool !== undefined && waiting !== undefined) {
			this.#removeWaiting(pool, waiting);
			this.#refund(waiting.ask);
			if (waiting.ask.attempt > 1) {
				pool.retryBudget.refund(waiting.requestedAt, this.#options.clock.now());
			}
		}
	}

	noteFirst(id: string, firstMs: number, stated?: StatedPace): void {
		const pool = this.#poolByRequest.get(id);
		const held = pool?.held.get(id);
		if (pool !== undefined && held !== undefined) {
			this.#crashRecorder.noteBegun(recordedUpstream(pool, held));
			this.#notePaceStated(pool, held, stated);
			pool.noteFirst(id, firstMs, stated, this.#options.clock.now());
		}
	}

	/** Records a pace that an upstream stated other than in an answer. */
	noteStatedPace(upstreamId: string, stated: StatedPace): void {
		this.#poolByUpstream.get(upstreamId)?.upstreams.get(upstreamId)?.pace.noteStated(stated, this.#options.clock.now());
	}

	release(id: string, report: PlaceReport): void {
		const pool = this.#poolByRequest.get(id);
		const held = pool?.held.get(id);
		if (pool === undefined || held === undefined) {
			return;
		}

		this.#poolByRequest.delete(id);
		const now = this.#options.clock.now();
		this.#crashRecorder.noteEnding(held.ask, recordedUpstream(pool, held), report.ending, report.streamMs);
		this.#options.observer?.noteRelease({askId: id, report, ...pool.expectedTimes(held)}, now);
		this.#notePaceStated(pool, held, report.pace);
		pool.release(held, report, now, this.#scope.isStandalone);
		if (report.ending !== Ending.Answered) {
			this.#callerRetries.note(held.ask.fingerprint, held, now);
		}

		this.#grantPlaces(pool);
	}

	/** @returns What would be decided on a request now; `undefined` if the pool has never had an upstream or a request. Changes nothing. */
	explain(ask: PlaceRequest): Explanation | undefined {
		const pool = this.#pools.get(ask.pool);
		const now = this.#options.clock.now();
		const waiting = this.#createWaiting({...ask, ...UNKNOWN_CALL}, ignoredEvents, now);
		return pool && evaluateUnchanged([this.#quotas.snapshot(ask.customer), ...pool.snapshots()], () => explain({
			// The evaluation of a refusal spends the quota, so that its state is read before.
			quota: this.#quotas.stateOf(ask.customer, now),
			refusal: this.#findRefusal(pool, waiting, now),
			pool,
			waiting,
			isStandalone: this.#scope.isStandalone,
			now,
		}));
	}

	#createWaiting(ask: PlaceRequest, events: PlaceRequestEvents, requestedAt: number): WaitingRequest {
		const callerLeavesAt = requestedAt + ask.callerLeavesMs;
		const originalObjectiveAt = this.#callerRetries.objectiveAt(ask.fingerprint, callerLeavesAt);
		return {
			ask,
			events,
			requestedAt,
			objectiveAt: Math.min(requestedAt + ask.objectiveMs, originalObjectiveAt ?? Number.POSITIVE_INFINITY),
			deadlineAt: requestedAt + ask.remainingMs,
			patienceEndsAt: requestedAt + ask.patienceMs,
			callerLeavesAt,
		};
	}

	#notePaceStated(pool: Pool, {upstreamId}: HeldRequest, stated: StatedPace | undefined): void {
		if (stated !== undefined && !pool.statesPace) {
			pool.statesPace = true;
			this.onPaceStated?.(pool.name, upstreamId);
		}
	}

	/** Tells the recorder that the listed start of an upstream has ended. */
	#noteGone(id: string): void {
		const target = this.#poolByUpstream.get(id)?.upstreams.get(id);
		if (target !== undefined) {
			const {upstream} = target;
			const running = [...target.held.values()].filter(({upstreamStartedAt}) => upstreamStartedAt === upstream.startedAt);
			this.#crashRecorder.noteGone(upstream, running.map(({ask}) => ask));
		}
	}

	#defer(ask: PlaceRequest, events: PlaceRequestEvents): void {
		const {clock} = this.#options;
		this.#deferred.set(ask.id, clock.setTimer(STANDALONE_QUOTA_WAIT_MS, () => {
			this.#deferred.delete(ask.id);
			const aged = agePlaceRequest(ask, STANDALONE_QUOTA_WAIT_MS);
			this.ask({...aged, isCounted: true, patienceMs: Math.min(STANDALONE_QUOTA_WAIT_MS, aged.patienceMs)}, events);
		}));
	}

	#findRefusal(pool: Pool, waiting: WaitingRequest, now: number): {kind: ErrorKind; retryAfterMs: number} | undefined {
		const {ask} = waiting;
		if (this.quarantine.findRefusal(ask.features, now) !== undefined) {
			return {kind: ErrorKind.CrashSuspect, retryAfterMs: 0};
		}

		if (!pool.hasUsableUpstream(ask.excluded)) {
			return {kind: ErrorKind.NoUpstream, retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS};
		}

		if (pool.memory.isTooLarge(ask)) {
			// An upstream refuses such a request as if it were full. The request is proper, and another configuration may have room for it.
			return {kind: ErrorKind.Overloaded, retryAfterMs: retryDelayMs(pool, waiting, now)};
		}

		if (ask.remainingMs <= 0) {
			return {kind: ErrorKind.DeadlineUnreachable, retryAfterMs: MIN_RETRY_AFTER_MS};
		}

		const hasFreePlace = pool.hasFreePlace(now);
		if (pool.overload === undefined ? isQueueTooLong(pool, waiting, hasFreePlace, now) : pool.overload.mustRefuse(pool.overloadQuery(waiting, now), hasFreePlace)) {
			return {kind: ErrorKind.Overloaded, retryAfterMs: retryDelayMs(pool, waiting, now)};
		}

		if (ask.attempt > 1) {
			return pool.retryBudget.spend(now, this.#scope.share) ? undefined : {kind: ErrorKind.NoUpstream, retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS};
		}

		if (ask.isCharged) {
			return undefined;
		}

		if (!ask.isCounted) {
			pool.retryBudget.noteRequest(now);
		}

		// A customer may exceed its quota only by using capacity that would otherwise stay idle.
		const quotaWaitMs = this.#quotas.spend(ask.customer, ask.quotaCost, hasFreePlace && pool.waiting.size === 0, now);
		return quotaWaitMs > 0 ? {kind: ErrorKind.RateLimited, retryAfterMs: quotaWaitMs} : undefined;
	}

	#grantPlaces(pool: Pool): void {
		const now = this.#options.clock.now();
		for (let grant = pool.next(now); grant !== undefined; grant = pool.next(now)) {
			const {waiting, target, expectedFirstMs} = grant;
			pool.waiting.delete(waiting.ask.id);
			pool.overload?.noteGrant(waiting.ask, pool.serviceMs(waiting.ask), pool.waiting.ranks);
			this.#hold(pool, waiting, target, now);
			this.onDecision?.({
				ask: waiting.ask,
				waitedMs: now - waiting.requestedAt,
				waiting: pool.waiting.size,
				upstreamId: target.upstream.id,
				expectedFirstMs,
				objectiveMs: waiting.objectiveAt - now,
				share: pool.shareDecision(waiting.ask),
			});
			waiting.events.grant(target.upstream.id, expectedFirstMs);
		}
	}

	#hold(pool: Pool, {ask, objectiveAt, callerLeavesAt}: WaitingRequest, target: TrackedUpstream, now: number): void {
		const held: HeldRequest = {
			ask, upstreamId: target.upstream.id, upstreamStartedAt: target.upstream.startedAt, grantedAt: now, objectiveAt, callerLeavesAt, pendingPromptTokens: target.pendingPromptTokens, hasFirst: false,
		};
		this.#options.observer?.noteGrant(ask, target, now);
		pool.grant(held);
		this.quarantine.beginTrial(ask.features, now);
		this.#poolByRequest.set(ask.id, pool);
	}

	/** Refuses the waiting requests that a new verdict holds for. */
	#refuseQuarantined(): void {
		const now = this.#options.clock.now();
		for (const pool of this.#pools.values()) {
			for (const waiting of [...pool.waiting].filter(({ask}) => this.quarantine.findQuarantined(ask.features, now) !== undefined)) {
				this.#removeWaiting(pool, waiting);
				this.#refund(waiting.ask);
				this.#refuse(pool, waiting, ErrorKind.CrashSuspect, 0);
			}
		}
	}

	#checkQueues(): void {
		const now = this.#options.clock.now();
		for (const pool of this.#pools.values()) {
			if (pool.waiting.size > 0) {
				for (const {ask} of pool.expiredRequests(now)) {
					this.release(ask.id, emptyReport(Ending.Cancelled));
				}

				for (const waiting of pool.unservableRequests(now)) {
					this.#removeWaiting(pool, waiting);
					this.#refund(waiting.ask);
					this.#refuse(pool, waiting, ErrorKind.DeadlineUnreachable, retryDelayMs(pool, waiting, now));
				}

				this.#grantPlaces(pool);
			}
		}
	}

	#scheduleCheck(): void {
		if (this.#timer === undefined && this.waitingCount > 0) {
			this.#timer = this.#options.clock.setTimer(QUEUE_CHECK_INTERVAL_MS, () => {
				this.#timer = undefined;
				try {
					this.#checkQueues();
				} finally {
					this.#scheduleCheck();
				}
			});
		}
	}

	#refuse(pool: Pool, waiting: WaitingRequest, kind: ErrorKind, retryAfterMs: number): void {
		const now = this.#options.clock.now();
		const {ask, events, requestedAt, objectiveAt} = waiting;
		this.#callerRetries.note(ask.fingerprint, waiting, now);
		const returnMs = invitingKinds.has(kind) ? pool.overload?.invite(pool.overloadQuery(waiting, now)) : undefined;
		const jitter = RETRY_JITTER.min + (this.#options.random.next() * (RETRY_JITTER.max - RETRY_JITTER.min));
		this.onDecision?.({
			ask, waitedMs: now - requestedAt, waiting: pool.waiting.size, refusal: kind, objectiveMs: objectiveAt - now, share: pool.shareDecision(ask, returnMs),
		});
		events.refuse(kind, returnMs ?? Math.max(MIN_RETRY_AFTER_MS, retryAfterMs * jitter));
	}

	#removeWaiting(pool: Pool, {ask}: WaitingRequest): void {
		pool.waiting.delete(ask.id);
		pool.overload?.remove(ask.id);
		this.#poolByRequest.delete(ask.id);
	}

	#refund(ask: PlaceRequest): void {
		if (ask.attempt === 1) {
			this.#quotas.refund(ask.customer, ask.quotaCost);
		}
	}

	#initRetryBudget(pool: Pool): void {
		if (this.#scope.isSuccessor) {
			pool.retryBudget.noteTakeover(this.#options.clock.now());
		}
	}

	#getOrCreatePool(name: string): Pool {
		let pool = this.#pools.get(name);
		if (pool === undefined) {
			const {repeatBounds, limits, random, filters, locality, localitySettings, isUnderPressure} = this.#options;
			pool = Pool.create({
				name, settings: this.#table?.pool(name), repeatBounds, limits, random, scope: this.#scope, filters, locality, localitySettings, isUnderPressure,
			});
			pool.overload?.setCustomers(this.#table?.configuration.customers ?? []);
			this.#pools.set(name, pool);
			this.#initRetryBudget(pool);
		}

		return pool;
	}
}

/** @returns The upstream at which a request holds a place, which may have been removed since. */
function recordedUpstream(pool: Pool, {ask, upstreamId, upstreamStartedAt}: HeldRequest): RecordedUpstream {
	return {
		id: upstreamId, pool: ask.pool, startedAt: upstreamStartedAt, isLeaving: pool.upstreams.get(upstreamId)?.upstream.isLeaving ?? false,
	};
}

/** @returns Whether a request is not expected to get a place early enough to wait for it. */
function isQueueTooLong(pool: Pool, waiting: WaitingRequest, hasFreePlace: boolean, now: number): boolean {
	const waitMs = hasFreePlace ? 0 : pool.waitMs(waiting, now);
	return waitMs > MAX_WAIT_RATIO * (pool.latestStartAt(waiting) - now) || pool.isWaitPointless(waiting, waitMs, now);
}

/** @returns The Retry-After for a request that found too long a queue, in ms. */
function retryDelayMs(pool: Pool, {deadlineAt}: WaitingRequest, now: number): number {
	return Math.max(RETRY_DELAY_RATIO * (deadlineAt - now), pool.startDelayMs(now));
}
