/**
 * Decides which request gets a place at which upstream, in which order, and which requests are refused. One allocator
 * decides for all VMs; a VM that reaches none decides for itself with its share of the quotas. Does no I/O.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {type Random} from '../base/random.js';
import {Ending} from '../gateway/exchange-ending.js';
import {type RoutingTable} from '../gateway/routing-table.js';
import {type UpstreamChanges} from '../gateway/upstream-list.js';
import {Quarantine, Standing as SuspectStanding} from '../policy/quarantine.js';
import {
	agedAsk, Allocation, type PlaceRequest, type PlaceRequestEvents, emptyReport, type HeldPlace, type PlaceReport,
} from './allocation.js';
import {Pool, type Held, type Station} from './pool.js';
import {type RetryBounds} from './pool-retry-budget.js';
import {Quotas, type QuotaTolerance} from './quotas.js';
import {Returns} from './returns.js';
import {type Scope, globalScope} from './scope.js';
import {type Waiting} from './waiting-queue.js';

/** How often waiting requests are examined, in ms; small against the shortest response-time objective. */
const TICK_MS = 25;
/**
 * Part of a request's remaining time that its expected wait may take. Beyond it the caller is better off when it hears
 * at once and comes back: the expectation is right within a factor of two.
 */
const MAX_WAIT_SHARE = 0.6;
/** How long a VM that decides alone keeps a request beyond its share of a quota, in ms. */
const ALONE_QUOTA_WAIT_MS = 500;
/** Shortest Retry-After, in ms: some queue lengths pass within it. */
const MIN_RETRY_AFTER_MS = 100;
/** Where no upstream is known, in ms; a successor registers within about a second. */
const NO_UPSTREAM_RETRY_MS = 500;
/**
 * Part of its remaining time after which a request that found too long a queue is asked back. Rushes last for seconds, and
 * callers come back once: a short pause would meet the same queue, a longer one leaves too little time for the answer.
 */
const RETURN_SHARE = 0.28;
/** Retry-After is multiplied by a random number in this range, so that refused callers do not return together. */
const RETRY_SPREAD = {min: 0.75, max: 1.2} as const;
/** How long a request that crashed three upstreams is kept away, as told to its caller, in ms. */
const QUARANTINE_RETRY_MS = 5000;

/** What an allocator works with. */
export type AllocatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Unique for each start of the process. */
	readonly nodeId: string;
	readonly repeatBounds: RetryBounds;
	readonly quotaTolerance: QuotaTolerance;
};

/** One decision, for logs and metrics. */
export type Decision = {
	readonly ask: PlaceRequest;
	readonly waitedMs: number;
	readonly waiting: number;
	readonly upstreamId?: string;
	readonly expectedFirstMs?: number;
	readonly refusal?: ErrorKind;
	/** Until the objective is missed, in ms; for a request that came back, from its first attempt. */
	readonly objectiveMs: number;
};

/** The allocator. */
export class Allocator extends Allocation {
	static create(options: AllocatorOptions): Allocator {
		return new Allocator(options);
	}

	/** Called with each decision. */
	onDecision: ((decision: Decision) => void) | undefined;
	readonly #options: AllocatorOptions;
	readonly #pools = new Map<string, Pool>();
	readonly #poolByAsk = new Map<string, Pool>();
	readonly #poolByUpstream = new Map<string, Pool>();
	readonly #quotas: Quotas;
	readonly #quarantine: Quarantine;
	readonly #returns = Returns.create();
	/** Asks beyond this VM's share of a quota. */
	readonly #heldBack = new Map<string, Timer>();
	#table: RoutingTable | undefined;
	#scope: Scope = globalScope(true);
	#timer: Timer | undefined;

	private constructor(options: AllocatorOptions) {
		super();
		this.#options = options;
		this.#quotas = Quotas.create(options.quotaTolerance);
		this.#quarantine = Quarantine.create(options.nodeId);
	}

	/** Requests that wait for a place. */
	get waitingCount(): number {
		let count = 0;
		for (const pool of this.#pools.values()) {
			count += pool.waiting.size;
		}

		return count;
	}

	/** Places that are held. */
	get heldCount(): number {
		return this.#poolByAsk.size - this.waitingCount;
	}

	/** @returns The factor of each upstream's pace, for a successor. */
	get paces(): ReadonlyMap<string, number> {
		const paces = new Map<string, number>();
		for (const pool of this.#pools.values()) {
			for (const station of pool.stations.values()) {
				paces.set(station.upstream.id, station.pace.factor);
			}
		}

		return paces;
	}

	/** Takes over what another allocator learnt. */
	restorePaces(paces: Iterable<readonly [upstreamId: string, factor: number]>): void {
		for (const [id, factor] of paces) {
			this.#poolByUpstream.get(id)?.stations.get(id)?.pace.restore(factor);
		}
	}

	/** Starts to decide for the VMs of a scope; places of before are forgotten. */
	restart(scope: Scope): void {
		const now = this.#options.clock.now();
		this.#scope = scope;
		this.#quotas.restart(scope.share, scope.quotaInitialFill, now);
		this.#poolByAsk.clear();
		for (const timer of this.#heldBack.values()) {
			timer.cancel();
		}

		this.#heldBack.clear();
		for (const pool of this.#pools.values()) {
			pool.clear();
			this.#startRepeats(pool);
		}
	}

	/** Grants another part of what all VMs share from now on; what was granted stays granted. */
	setShare(share: number): void {
		if (this.#scope.share !== share) {
			this.#scope = {...this.#scope, share};
			this.#quotas.setShare(share, this.#options.clock.now());
		}
	}

	setTable(table: RoutingTable): void {
		this.#table = table;
		this.#quotas.setCustomers(table.configuration.customers, this.#options.clock.now());
		for (const pool of this.#pools.values()) {
			pool.setSettings(table.pool(pool.name));
		}
	}

	setUpstreams({changed, removed}: UpstreamChanges): void {
		for (const id of removed) {
			this.#poolByUpstream.get(id)?.removeStation(id);
			this.#poolByUpstream.delete(id);
		}

		const touched = new Set<Pool>();
		for (const upstream of changed) {
			const pool = this.#pool(upstream.pool);
			const before = this.#poolByUpstream.get(upstream.id);
			if (before !== undefined && before !== pool) {
				before.removeStation(upstream.id);
			}

			pool.setStation(upstream);
			this.#poolByUpstream.set(upstream.id, pool);
			touched.add(pool);
		}

		for (const pool of touched) {
			this.#pump(pool);
		}
	}

	/** Takes over places that VMs hold already. */
	adopt(places: readonly HeldPlace[]): void {
		const now = this.#options.clock.now();
		for (const {ask, upstreamId, heldMs, hasFirst} of places) {
			const pool = this.#poolByUpstream.get(upstreamId) ?? this.#pool(ask.pool);
			const grantedAt = now - heldMs;
			pool.hold(upstreamId, {
				ask, upstreamId, grantedAt, objectiveAt: grantedAt + ask.objectiveMs, callerLeavesAt: grantedAt + ask.callerLeavesMs, pendingPromptTokens: 0, hasFirst,
			});
			this.#poolByAsk.set(ask.id, pool);
		}
	}

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		const {clock} = this.#options;
		const now = clock.now();
		const pool = this.#pool(ask.pool);
		const callerLeavesAt = now + ask.callerLeavesMs;
		const firstObjectiveAt = this.#returns.objectiveAt(ask.fingerprint, callerLeavesAt);
		const waiting: Waiting = {
			ask,
			events,
			askedAt: now,
			objectiveAt: Math.min(now + ask.objectiveMs, firstObjectiveAt ?? Number.POSITIVE_INFINITY),
			deadlineAt: now + ask.remainingMs,
			leavesAt: now + ask.patienceMs,
			callerLeavesAt,
		};
		const refusal = this.#findRefusal(pool, waiting, now);
		if (refusal?.kind === ErrorKind.RateLimited && this.#scope.isAlone && ask.patienceMs > ALONE_QUOTA_WAIT_MS) {
			// The allocator of all VMs, which knows what is left of the quota, mostly decides within this time.
			this.#holdBack(ask, events);
			return;
		}

		if (refusal !== undefined) {
			this.#refuse(pool, waiting, refusal.kind, refusal.retryAfterMs);
			return;
		}

		pool.waiting.add(waiting, now);
		this.#poolByAsk.set(ask.id, pool);
		this.#pump(pool);
		this.#schedule();
	}

	withdraw(askId: string): void {
		this.#heldBack.get(askId)?.cancel();
		this.#heldBack.delete(askId);
		const pool = this.#poolByAsk.get(askId);
		const waiting = pool?.waiting.get(askId);
		if (pool !== undefined && waiting !== undefined) {
			this.#forgetWaiting(pool, waiting);
			this.#refund(waiting.ask);
		}
	}

	noteFirst(askId: string, firstMs: number): void {
		this.#poolByAsk.get(askId)?.noteFirst(askId, firstMs);
	}

	release(askId: string, report: PlaceReport): void {
		const pool = this.#poolByAsk.get(askId);
		const held = pool?.held.get(askId);
		if (pool === undefined || held === undefined) {
			return;
		}

		this.#poolByAsk.delete(askId);
		const now = this.#options.clock.now();
		pool.release(held, report, now, this.#scope.isAlone);
		if (report.ending === Ending.Answered) {
			this.#quarantine.noteSuccess(held.ask.fingerprint, now);
		} else {
			this.#returns.note(held.ask.fingerprint, held, now);
		}

		if (report.ending === Ending.Lost || report.ending === Ending.Spoiled) {
			this.#quarantine.noteLoss(held.upstreamId, [held.ask.fingerprint], now);
		}

		this.#pump(pool);
	}

	#holdBack(ask: PlaceRequest, events: PlaceRequestEvents): void {
		const {clock} = this.#options;
		this.#heldBack.set(ask.id, clock.setTimer(ALONE_QUOTA_WAIT_MS, () => {
			this.#heldBack.delete(ask.id);
			const aged = agedAsk(ask, ALONE_QUOTA_WAIT_MS);
			this.ask({...aged, patienceMs: Math.min(ALONE_QUOTA_WAIT_MS, aged.patienceMs)}, events);
		}));
	}

	#findRefusal(pool: Pool, waiting: Waiting, now: number): {kind: ErrorKind; retryAfterMs: number} | undefined {
		const {ask} = waiting;
		if (this.#quarantine.standing(ask.fingerprint, now) === SuspectStanding.Quarantined) {
			return {kind: ErrorKind.CrashSuspect, retryAfterMs: QUARANTINE_RETRY_MS};
		}

		if (!pool.hasStation(ask.excluded)) {
			return {kind: ErrorKind.NoUpstream, retryAfterMs: NO_UPSTREAM_RETRY_MS};
		}

		if (ask.remainingMs <= 0) {
			return {kind: ErrorKind.DeadlineUnreachable, retryAfterMs: MIN_RETRY_AFTER_MS};
		}

		const hasFree = pool.hasFree(now);
		const waitMs = hasFree ? 0 : pool.waitMs(waiting, now);
		if (waitMs > MAX_WAIT_SHARE * (pool.latestStart(waiting) - now)) {
			return {kind: ErrorKind.Overloaded, retryAfterMs: returnMs(waiting, now)};
		}

		if (ask.attempt > 1) {
			return pool.repeats.spend(now, this.#scope.share) ? undefined : {kind: ErrorKind.NoUpstream, retryAfterMs: NO_UPSTREAM_RETRY_MS};
		}

		if (ask.isCharged) {
			return undefined;
		}

		pool.repeats.noteRequest(now);
		// Beyond its quota a customer gets what would stand idle.
		const quotaMs = this.#quotas.spend(ask.customer, ask.quotaCost, hasFree && pool.waiting.size === 0, now);
		return quotaMs > 0 ? {kind: ErrorKind.RateLimited, retryAfterMs: quotaMs} : undefined;
	}

	#pump(pool: Pool): void {
		const now = this.#options.clock.now();
		for (let grant = pool.next(now); grant !== undefined; grant = pool.next(now)) {
			const {waiting, station, expectedFirstMs} = grant;
			pool.waiting.delete(waiting.ask.id);
			this.#hold(pool, waiting, station, now);
			this.onDecision?.({
				ask: waiting.ask, waitedMs: now - waiting.askedAt, waiting: pool.waiting.size, upstreamId: station.upstream.id, expectedFirstMs, objectiveMs: waiting.objectiveAt - now,
			});
			waiting.events.grant(station.upstream.id, expectedFirstMs);
		}
	}

	#hold(pool: Pool, {ask, objectiveAt, callerLeavesAt}: Waiting, station: Station, now: number): void {
		const held: Held = {
			ask, upstreamId: station.upstream.id, grantedAt: now, objectiveAt, callerLeavesAt, pendingPromptTokens: station.pendingPromptTokens, hasFirst: false,
		};
		pool.hold(station.upstream.id, held);
		this.#poolByAsk.set(ask.id, pool);
	}

	#tick(): void {
		const now = this.#options.clock.now();
		for (const pool of this.#pools.values()) {
			if (pool.waiting.size > 0) {
				for (const {ask} of pool.expired(now)) {
					this.release(ask.id, emptyReport(Ending.Cancelled));
				}

				for (const waiting of pool.hopeless(now)) {
					this.#forgetWaiting(pool, waiting);
					this.#refund(waiting.ask);
					this.#refuse(pool, waiting, ErrorKind.DeadlineUnreachable, returnMs(waiting, now));
				}

				this.#pump(pool);
			}
		}

		this.#schedule();
	}

	#schedule(): void {
		if (this.#timer === undefined && this.waitingCount > 0) {
			this.#timer = this.#options.clock.setTimer(TICK_MS, () => {
				this.#timer = undefined;
				this.#tick();
			});
		}
	}

	#refuse(pool: Pool, waiting: Waiting, kind: ErrorKind, retryAfterMs: number): void {
		const now = this.#options.clock.now();
		const {ask, events, askedAt, objectiveAt} = waiting;
		this.#returns.note(ask.fingerprint, waiting, now);
		const spread = RETRY_SPREAD.min + (this.#options.random.next() * (RETRY_SPREAD.max - RETRY_SPREAD.min));
		this.onDecision?.({
			ask, waitedMs: now - askedAt, waiting: pool.waiting.size, refusal: kind, objectiveMs: objectiveAt - now,
		});
		events.refuse(kind, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs * spread));
	}

	#forgetWaiting(pool: Pool, {ask}: Waiting): void {
		pool.waiting.delete(ask.id);
		this.#poolByAsk.delete(ask.id);
	}

	#refund(ask: PlaceRequest): void {
		if (ask.attempt === 1) {
			this.#quotas.refund(ask.customer, ask.quotaCost);
		}
	}

	#startRepeats(pool: Pool): void {
		if (this.#scope.isSuccessor) {
			pool.repeats.noteSuccession(this.#options.clock.now());
		}
	}

	#pool(name: string): Pool {
		let pool = this.#pools.get(name);
		if (pool === undefined) {
			pool = Pool.create(name, this.#table?.pool(name), this.#options.repeatBounds);
			this.#pools.set(name, pool);
			this.#startRepeats(pool);
		}

		return pool;
	}
}

/** @returns When a request that found too long a queue may come back, in ms. */
function returnMs({deadlineAt}: Waiting, now: number): number {
	return RETURN_SHARE * Math.max(0, deadlineAt - now);
}
