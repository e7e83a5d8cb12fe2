/**
 * The upstreams of one service and the requests that wait for them: priority levels, choice of the upstream, and expected
 * waiting times.
 */
import {type Random} from '../base/random.js';
import {type PoolSettings} from '../gateway/routing-table.js';
import {type UpstreamLimits} from '../gateway/upstream-limits.js';
import {type Upstream} from '../gateway/upstream-list.js';
import {type PlaceRequest, type PlaceReport} from './allocation.js';
import {Capacity} from './capacity.js';
import {type Locality} from './locality.js';
import {createLocality, type LocalitySettings} from './locality-rule.js';
import {type StatedPace} from './momentary-pace.js';
import {Overload, type OverloadQuery, type ShareDecision} from './overload.js';
import {Pace, PoolPace, usualFactor} from './pace.js';
import {type Grant, Placement, type VerdictListener} from './placement.js';
import {type PlacementFilter} from './placement-filter.js';
import {PoolRetryBudget, type RetryBounds} from './pool-retry-budget.js';
import {type Scope} from './scope.js';
import {StartPacer, type StartRate} from './start-pacer.js';
import {
	type HeldRequest, hasRoom, pendingTokensOf, type TrackedUpstream,
} from './tracked-upstream.js';
import {type Restore} from './unchanged-state.js';
import {UpstreamHealth} from './upstream-health.js';
import {UpstreamMemory} from './upstream-memory.js';
import {type WaitingRequest, WaitingQueue} from './waiting-queue.js';

/** A waiting request counts as late when its earliest possible first event leaves less than this margin to its objective, in ms. */
const OBJECTIVE_MARGIN_MS = 40;
/** An answer must begin this long before its caller disconnects, in ms; allows for network delay and a slow prefill. */
const PATIENCE_MARGIN_MS = 100;
/** A late request yields to requests of the next rank that can still be on time, but not to those of the rank after it. */
const LEVELS_PER_RANK = 2;
const LATE_LEVEL_PENALTY = 3;
/**
 * Requests that may queue at a full engine, so that its next free slot is used immediately. Otherwise a slot stays idle for
 * up to five one-way delays between regions after an answer ends, a tenth of a typical answer's duration.
 */
const OVERCOMMITTED_PLACES = 1;
/** Delay after a request's deadline before its place is reclaimed, in ms; longer than any VM waits for an answer. */
const EXPIRY_MARGIN_MS = 2000;
/**
 * Waiting requests that are tried while only upstreams have room that are not open to all of them; a longer scan would delay
 * each grant in a load spike, and a later one finds other requests at the head of the queue.
 */
const MAX_RESTRICTED_SCAN = 16;
/** How long the computed capacity is cached, in ms; an upstream's pace changes only over several answers. */
const CAPACITY_TTL_MS = 25;
/** Factor by which the expected wait and time to the first event may be exceeded before a request that was told to wait is late. */
const WAIT_MARGIN = 3;
/**
 * Lowest rate of requests to an upstream with a limit, per second. Only a response shows that a limit has ended, so that an
 * upstream that takes none still gets one from time to time.
 */
const MIN_STARTS_PER_SECOND = 0.1;

/** Dependencies and settings of a pool. */
export type PoolOptions = {
	readonly name: string;
	readonly settings: PoolSettings | undefined;
	readonly repeatBounds: RetryBounds;
	readonly limits: UpstreamLimits;
	readonly random: Random;
	readonly scope: Scope;
	readonly filters?: readonly PlacementFilter[];
	/** Replaces the rule of `localitySettings`. */
	readonly locality?: Locality;
	/** Whether customers share scarce room, estimates are detailed from the start, and the memory of upstreams is accounted for. */
	readonly isUnderPressure?: boolean;
	readonly localitySettings?: LocalitySettings;
};

/** The upstreams and the queue of one service. */
export class Pool {
	static create(options: PoolOptions): Pool {
		return new Pool(options);
	}

	readonly name: string;
	readonly waiting: WaitingQueue;
	readonly held = new Map<string, HeldRequest>();
	readonly upstreams = new Map<string, TrackedUpstream>();
	readonly retryBudget: PoolRetryBudget;
	/** Whether an upstream has stated its momentary pace. */
	statesPace = false;
	/** Without a limit unless the deployment is under pressure. */
	readonly memory = UpstreamMemory.create();
	/** Shares of the customers and invited returns, if customers share scarce room. */
	readonly overload: Overload | undefined;
	/** Upstreams with fewer requests than slots; whether they accept one also depends on time, such as on an ejection. */
	readonly #withFreeSlots = new Set<TrackedUpstream>();
	readonly #random: Random;
	readonly #limits: UpstreamLimits;
	readonly #placement: Placement;
	readonly #filters: readonly PlacementFilter[];
	readonly #isUnderPressure: boolean;
	#scope: Scope;
	#pace: PoolPace;
	#capacity = Capacity.create([]);
	#capacityAt = Number.NEGATIVE_INFINITY;
	#usualFactor = 1;

	private constructor({
		name, settings, repeatBounds, limits, random, scope, filters = [], locality, localitySettings, isUnderPressure = false,
	}: PoolOptions) {
		this.name = name;
		this.#random = random;
		this.#limits = limits;
		this.#scope = scope;
		this.#filters = filters;
		this.#placement = Placement.create({
			serviceMs: ask => this.serviceMs(ask),
			filters: isUnderPressure ? [...filters, this.memory] : filters,
			locality: locality ?? createLocality(this, localitySettings),
		});
		const overload = isUnderPressure ? Overload.create(random) : undefined;
		this.overload = overload;
		this.waiting = WaitingQueue.create({
			levelOf: (waiting, now) => this.#levelOf(waiting, now),
			serviceMs: ask => this.serviceMs(ask),
			shareKeyOf: overload && (({ask: {id}}) => overload.shares.keyOf(id)),
		});
		this.retryBudget = PoolRetryBudget.create(repeatBounds);
		this.#isUnderPressure = isUnderPressure;
		this.#pace = this.#createPace(settings?.isEngine ?? false);
		this.setSettings(settings);
	}

	/** Whether upstreams of the pool state their momentary pace. */
	get hasStatements(): boolean {
		return this.#pace.hasStatements;
	}

	/** Whether other VMs use the upstreams without this allocator's knowledge. */
	get isStandalone(): boolean {
		return this.#scope.isStandalone;
	}

	/** @returns Whether ordinary requests may use the upstream, apart from its room and health. */
	isOpen(target: TrackedUpstream): boolean {
		return this.#filters.every(filter => filter.isOpen(target));
	}

	setSettings(settings: PoolSettings | undefined): void {
		if (settings !== undefined && this.#isUnderPressure) {
			this.memory.setSettings(settings);
		}

		if (settings !== undefined && settings.isEngine !== this.#pace.isEngine) {
			this.#pace = this.#createPace(settings.isEngine);
			for (const target of this.upstreams.values()) {
				target.pace = Pace.create(this.#pace);
			}
		}
	}

	/** Sets the scope of the allocator, which determines its share of the upstreams' limits. */
	setScope(scope: Scope): void {
		this.#scope = scope;
	}

	setUpstream(upstream: Upstream): void {
		this.#capacityAt = Number.NEGATIVE_INFINITY;
		const target = this.upstreams.get(upstream.id);
		if (target === undefined) {
			const added: TrackedUpstream = {
				upstream,
				pace: Pace.create(this.#pace),
				standing: UpstreamHealth.create(),
				pacer: StartPacer.create(this.#random),
				held: new Map(),
				pendingPromptTokens: 0,
				externalLoad: 0,
				externalLoadAt: Number.NEGATIVE_INFINITY,
			};
			this.upstreams.set(upstream.id, added);
			this.#updateFreeSlots(added);
			return;
		}

		if (target.upstream.startedAt !== upstream.startedAt) {
			target.standing = UpstreamHealth.create();
			target.pacer = StartPacer.create(this.#random);
		}

		target.upstream = upstream;
		this.#updateFreeSlots(target);
	}

	removeUpstream(id: string): void {
		const target = this.upstreams.get(id);
		if (target !== undefined) {
			this.upstreams.delete(id);
			this.#withFreeSlots.delete(target);
			this.#capacityAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Factor of the upstreams that requests usually get; 1 unless the estimates are detailed. */
	get usualFactor(): number {
		return this.#usualFactor;
	}

	/** Removes all waiting requests and held places. */
	clear(): void {
		this.overload?.clear();
		this.waiting.clear();
		this.held.clear();
		for (const target of this.upstreams.values()) {
			target.held.clear();
			target.pacer = StartPacer.create(this.#random);
			target.pendingPromptTokens = 0;
			this.#updateFreeSlots(target);
		}
	}

	/** Grants a place at an upstream that accepts the request. */
	grant(held: HeldRequest): void {
		this.upstreams.get(held.upstreamId)?.pacer.noteStart(held.grantedAt);
		this.#hold(held);
	}

	/** Registers a place that another allocator granted. */
	adopt(held: HeldRequest): void {
		if (!this.held.has(held.ask.id)) {
			this.upstreams.get(held.upstreamId)?.pacer.noteEarlierStart(held.grantedAt);
		}

		this.#hold(held);
	}

	/** @param stated - The pace that the upstream stated in the head of its answer, if it did. */
	noteFirst(id: string, firstMs: number, stated: StatedPace | undefined, now: number): void {
		const held = this.held.get(id);
		if (held === undefined || held.hasFirst) {
			return;
		}

		const target = this.upstreams.get(held.upstreamId);
		if (target?.held.get(id) === held) {
			target.pendingPromptTokens -= held.ask.promptTokens;
		}

		held.hasFirst = true;
		if (stated !== undefined) {
			target?.pace.noteStated(stated, now);
		}

		target?.pace.noteFirst(held.ask.promptTokens, held.pendingPromptTokens, firstMs, now);
	}

	/** Releases a place and updates health, pace and load from how it was used. */
	release(held: HeldRequest, report: PlaceReport, now: number, usesReportedLoad: boolean): void {
		this.held.delete(held.ask.id);
		const target = this.upstreams.get(held.upstreamId);
		if (target === undefined) {
			return;
		}

		this.#removeHeld(target, held.ask.id);
		target.reportedAt = now;
		target.standing.note(report.ending, now);
		// The first event has already brought the same statement.
		if (report.pace !== undefined && !held.hasFirst) {
			target.pace.noteStated(report.pace, now);
		}

		if (report.firstMs !== undefined && !held.hasFirst) {
			target.pace.noteFirst(held.ask.promptTokens, held.pendingPromptTokens, report.firstMs, now);
		}

		target.pace.noteStream(report.events, report.streamMs, now);
		if (usesReportedLoad && report.load !== undefined) {
			target.externalLoad = Math.max(0, report.load - target.held.size);
			target.externalLoadAt = now;
		}
	}

	/** @returns What a place at an upstream of average pace is expected to take, in ms. */
	expectedTimes({ask, pendingPromptTokens}: HeldRequest): {readonly expectedFirstMs: number; readonly expectedEventMs: number} {
		return {expectedFirstMs: this.#usualFactor * this.#pace.firstMs(ask.promptTokens + pendingPromptTokens), expectedEventMs: this.#usualFactor * this.#pace.eventMs};
	}

	/** @returns Requests that are past their deadline by a margin, but whose VM did not release the place. */
	expiredRequests(now: number): HeldRequest[] {
		return [...this.held.values()].filter(({ask, grantedAt}) => now > grantedAt + ask.remainingMs + EXPIRY_MARGIN_MS);
	}

	/** @returns Whether any upstream may run the request, now or later. */
	hasUsableUpstream(excluded: readonly string[]): boolean {
		for (const target of this.upstreams.values()) {
			if (!target.upstream.isLeaving && !excluded.includes(target.upstream.id) && this.#filters.every(filter => filter.isAwaitable(target))) {
				return true;
			}
		}

		return false;
	}

	/** @returns Whether any upstream has a free place. */
	hasFreePlace(now: number): boolean {
		for (const target of this.#withFreeSlots) {
			if (this.isOpen(target) && this.#canAccept(target, now, 0)) {
				return true;
			}
		}

		return false;
	}

	/** @returns Expected service time of a request at an upstream of average pace, in ms. */
	serviceMs({promptTokens, outputEvents}: PlaceRequest): number {
		return this.#pace.totalMs({promptTokens, events: outputEvents});
	}

	/**
	 * @param ownWorkMs - Service time of the request if it is not in the queue, in ms.
	 * @returns Expected time until a waiting request gets a place, in ms.
	 */
	waitMs(waiting: WaitingRequest, now: number, ownWorkMs = 0): number {
		const workMs = this.waiting.workMsUpTo(this.#levelOf(waiting, now)) + ownWorkMs;
		return this.startDelayMs(now) + (workMs / this.#currentCapacity(now).effectiveSlots(this.serviceMs(waiting.ask)));
	}

	/** @returns What decisions on a request depend on if customers share scarce room. */
	overloadQuery(waiting: WaitingRequest, now: number): OverloadQuery {
		const {ask} = waiting;
		const capacity = this.#currentCapacity(now);
		const serviceMs = this.serviceMs(ask);
		return {
			waiting,
			queue: this.waiting,
			levels: {onTime: ask.rank * LEVELS_PER_RANK, late: (ask.rank * LEVELS_PER_RANK) + LATE_LEVEL_PENALTY},
			isLate: this.#isLate(waiting, now),
			onTimeStartAt: waiting.objectiveAt - this.#pace.firstMs(ask.promptTokens) - OBJECTIVE_MARGIN_MS,
			latestStartAt: this.latestStartAt(waiting),
			serviceMs,
			slots: capacity.effectiveSlots(serviceMs),
			startDelayMs: capacity.startDelayMs,
			now,
		};
	}

	/** @returns What a decision means for the customer's share; `undefined` unless customers share scarce room. */
	shareDecision(ask: PlaceRequest, returnMs?: number): ShareDecision | undefined {
		return this.overload && {serviceMs: this.serviceMs(ask), leadMs: this.overload.shares.leadMs(ask), returnMs};
	}

	/** @returns Time until any upstream may get a request, as far as limits decide, in ms; 0 unless all usable upstreams have a limit. */
	startDelayMs(now: number): number {
		return this.#currentCapacity(now).startDelayMs;
	}

	/**
	 * @returns Whether a request should not wait because it would miss its objective, while all usable upstreams have a limit
	 * and enough other requests wait to use it. Later requests would overtake it until its caller leaves.
	 */
	isWaitPointless(waiting: WaitingRequest, waitMs: number, now: number): boolean {
		const {limitedOnlyCount} = this.#currentCapacity(now);
		return limitedOnlyCount > 0 && this.waiting.size >= limitedOnlyCount && this.#isLate(waiting, now + waitMs);
	}

	/** @returns The latest time at which a place is still useful: the answer meets the deadline and begins before the caller disconnects. */
	latestStartAt({ask, deadlineAt, patienceEndsAt}: WaitingRequest, serviceMs = this.serviceMs(ask)): number {
		return Math.min(deadlineAt - (this.#usualFactor * serviceMs), patienceEndsAt - this.#usualFirstMs(ask) - PATIENCE_MARGIN_MS);
	}

	/** @returns Waiting requests that are not expected to get a place in time. */
	unservableRequests(now: number): WaitingRequest[] {
		const capacity = this.#currentCapacity(now);
		this.waiting.refresh(now);
		const found: WaitingRequest[] = [];
		let workMs = 0;
		this.waiting.visitInOrder((waiting, serviceMs) => {
			if (this.#isUnservable(waiting, serviceMs, workMs / capacity.effectiveSlots(serviceMs), capacity.startDelayMs, now)) {
				found.push(waiting);
			} else {
				workMs += serviceMs;
			}
		});

		return found;
	}

	/** @returns The next request to be granted a place, with its upstream. */
	next(now: number): Grant | undefined {
		if (this.waiting.size === 0) {
			return undefined;
		}

		const candidates = [...this.#withFreeSlots].filter(target => this.#canAccept(target, now, 0));
		const open = this.#openAmong(candidates);
		if (candidates.length > 0) {
			const isAnyBusy = open.length < this.#openCount;
			let restrictedScans = 0;
			for (const waiting of this.overload === undefined ? this.waiting : this.#inOrderWithFloors(now)) {
				if (open.length === 0 && ++restrictedScans > MAX_RESTRICTED_SCAN) {
					break;
				}

				const grant = this.#placement.choose({
					waiting, candidates, mustBeOnTime: !this.#isLate(waiting, now) && isAnyBusy, canWait: this.#canWait(waiting, now), now,
				});
				if (grant !== undefined) {
					return grant;
				}
			}

			if (open.length > 0) {
				return undefined;
			}
		}

		return this.#pace.isEngine ? this.#nextOvercommitted(now) : undefined;
	}

	/** @returns Functions that restore the current state, after an evaluation that must change nothing. */
	snapshots(): Restore[] {
		const capacity = this.#capacity;
		const capacityAt = this.#capacityAt;
		const factor = this.#usualFactor;
		const restores = [this.#placement.snapshot(this.name), () => {
			this.#capacity = capacity;
			this.#capacityAt = capacityAt;
			this.#usualFactor = factor;
		}];
		for (const {standing, pacer} of this.upstreams.values()) {
			restores.push(standing.snapshot(), pacer.snapshot());
		}

		return this.overload === undefined ? restores : [...restores, this.overload.snapshot()];
	}

	/** @returns The grant that a request which does not wait yet would get if no waiting request got a place before it. */
	findPlace(waiting: WaitingRequest, now: number, onVerdict: VerdictListener): Grant | undefined {
		const choose = (candidates: readonly TrackedUpstream[], openCount: number): Grant | undefined => this.#placement.choose({
			waiting, candidates, mustBeOnTime: !this.#isLate(waiting, now) && openCount < this.#openCount, canWait: this.#canWait(waiting, now, this.serviceMs(waiting.ask)), now,
		}, onVerdict);
		const free = [...this.#withFreeSlots].filter(target => this.#canAccept(target, now, 0));
		const openCount = this.#openAmong(free).length;
		const grant = free.length === 0 ? undefined : choose(free, openCount);
		if (grant !== undefined || openCount > 0 || !this.#pace.isEngine || waiting.ask.rank >= this.waiting.maxRank || this.#isLate(waiting, now)) {
			return grant;
		}

		const overcommitted = [...this.upstreams.values()].filter(target => this.isOpen(target) && this.#canAccept(target, now, OVERCOMMITTED_PLACES));
		return choose(overcommitted, overcommitted.length);
	}

	/** @param queueMs - Expected time until the requests before it have been served, in ms. */
	#isUnservable(waiting: WaitingRequest, serviceMs: number, queueMs: number, startDelayMs: number, now: number): boolean {
		return now + startDelayMs + queueMs > this.latestStartAt(waiting, serviceMs)
			|| (this.overload !== undefined && this.#isLate(waiting, now) && this.overload.mustServeOnTime(waiting, startDelayMs + queueMs, now));
	}

	/** Yields the requests for which ranks have credit, then all in their order. */
	* #inOrderWithFloors(now: number): Generator<WaitingRequest> {
		for (const rank of this.overload?.floor.ranks ?? []) {
			const first = this.waiting.firstOf(rank * LEVELS_PER_RANK);
			if (first !== undefined && !this.#isLate(first, now) && this.overload?.floor.covers(rank, this.serviceMs(first.ask))) {
				yield first;
			}
		}

		yield * this.waiting;
	}

	/** Places one request more than a full engine has slots, if it can be on time and a less important request waits. */
	#nextOvercommitted(now: number): Grant | undefined {
		const {maxRank} = this.waiting;
		let candidates: TrackedUpstream[] | undefined;
		for (const waiting of this.waiting) {
			if (waiting.ask.rank >= maxRank || this.#isLate(waiting, now)) {
				continue;
			}

			candidates ??= [...this.upstreams.values()].filter(target => this.isOpen(target) && this.#canAccept(target, now, OVERCOMMITTED_PLACES));
			if (candidates.length === 0) {
				return undefined;
			}

			const grant = this.#placement.choose({
				waiting, candidates, mustBeOnTime: !this.#isLate(waiting, now) && candidates.length < this.#openCount, canWait: this.#canWait(waiting, now), now,
			});
			if (grant !== undefined) {
				return grant;
			}
		}

		return undefined;
	}

	/** @returns Whether the request is expected to be on time if it waits for a better upstream. False unless the estimates are detailed. */
	#canWait(waiting: WaitingRequest, now: number, ownWorkMs = 0): boolean {
		return this.#pace.isDetailed && now + (WAIT_MARGIN * (this.waitMs(waiting, now, ownWorkMs) + this.#usualFirstMs(waiting.ask))) <= waiting.objectiveAt;
	}

	/** @returns Time to the first event at an idle upstream of usual pace, in ms. */
	#usualFirstMs({promptTokens}: PlaceRequest): number {
		return this.#usualFactor * this.#pace.firstMs(promptTokens);
	}

	#createPace(isEngine: boolean): PoolPace {
		const pace = PoolPace.create(isEngine);
		if (this.#isUnderPressure) {
			pace.refine();
		}

		return pace;
	}

	/** Number of upstreams that ordinary requests may use. */
	get #openCount(): number {
		return this.#isRestricted ? this.#openAmong([...this.upstreams.values()]).length : this.upstreams.size;
	}

	get #isRestricted(): boolean {
		return this.#filters.some(filter => filter.restricts(this.name));
	}

	#openAmong(targets: readonly TrackedUpstream[]): readonly TrackedUpstream[] {
		return this.#isRestricted ? targets.filter(target => this.isOpen(target)) : targets;
	}

	#levelOf(waiting: WaitingRequest, now: number): number {
		return (waiting.ask.rank * LEVELS_PER_RANK) + (this.#isLate(waiting, now) ? LATE_LEVEL_PENALTY : 0);
	}

	/** @returns Whether the objective can no longer be met, even at an idle upstream of average pace. */
	#isLate(waiting: WaitingRequest, now: number): boolean {
		return now + this.#usualFirstMs(waiting.ask) + OBJECTIVE_MARGIN_MS > waiting.objectiveAt;
	}

	#currentCapacity(now: number): Capacity {
		if (now - this.#capacityAt >= CAPACITY_TTL_MS) {
			this.#capacityAt = now;
			const usable = [...this.upstreams.values()].filter(target => !target.upstream.isLeaving && !target.standing.isEjected(now) && this.isOpen(target));
			this.#usualFactor = this.#pace.isDetailed ? usualFactor(usable.map(({pace}) => pace)) : 1;
			this.#capacity = Capacity.create(usable.map(target => {
				const rate = this.#startRate(target);
				return {slots: target.upstream.slots / target.pace.factor, startsPerSecond: rate?.perSecond, startDelayMs: target.pacer.delayMs(rate, now)};
			}));
		}

		return this.#capacity;
	}

	/** @returns This allocator's share of the upstream's limit; `undefined` if the upstream has none. */
	#startRate({upstream}: TrackedUpstream): StartRate | undefined {
		const limit = this.#limits.perSecond(upstream);
		if (limit === undefined) {
			return undefined;
		}

		const {share, isStandalone} = this.#scope;
		return {perSecond: Math.max(MIN_STARTS_PER_SECOND, limit) * share, isStandalone};
	}

	/** @param overcommitted - Number of requests beyond its slots that the upstream may have. */
	#canAccept(target: TrackedUpstream, now: number, overcommitted: number): boolean {
		return hasRoom(target, now, overcommitted) && target.pacer.delayMs(this.#startRate(target), now) === 0;
	}

	#hold(held: HeldRequest): void {
		this.held.set(held.ask.id, held);
		const target = this.upstreams.get(held.upstreamId);
		if (target !== undefined) {
			this.#removeHeld(target, held.ask.id);
			target.held.set(held.ask.id, held);
			target.pendingPromptTokens += pendingTokensOf(held);
			this.#updateFreeSlots(target);
		}
	}

	#removeHeld(target: TrackedUpstream, id: string): void {
		const held = target.held.get(id);
		if (held !== undefined) {
			target.held.delete(id);
			target.pendingPromptTokens -= pendingTokensOf(held);
			this.#updateFreeSlots(target);
		}
	}

	#updateFreeSlots(target: TrackedUpstream): void {
		if (target.held.size < target.upstream.slots) {
			this.#withFreeSlots.add(target);
		} else {
			this.#withFreeSlots.delete(target);
		}
	}
}
