/**
 * The upstreams of one service and the requests that wait for them: order of the queue, choice of the upstream,
 * expected waits.
 */
import {type PoolSettings} from '../gateway/routing-table.js';
import {type Upstream} from '../gateway/upstream-list.js';
import {type PlaceRequest, type PlaceReport} from './allocation.js';
import {Pace, PoolPace} from './pace.js';
import {RepeatBudget, type RetryBounds} from './pool-retry-budget.js';
import {Standing} from './standing.js';
import {type Waiting, WaitingQueue} from './waiting-queue.js';

/** A request is late in the queue when its best expected first event would miss its objective by this margin, in ms. */
const OBJECTIVE_MARGIN_MS = 40;
/** An answer is begun this long before its caller would leave, in ms: the way to it, and slower reading than expected. */
const LEAVE_MARGIN_MS = 100;
/** A late request yields to work of the next rank that can still be on time, but not to the rank after it. */
const LEVELS_PER_RANK = 2;
const LATE_LEVELS = 3;
/** Extra cost of an upstream in another region, in ms: two ways of 8 ms, and traffic there is paid by volume. */
const OTHER_REGION_MS = 24;
/** Extra cost of another data centre of the region, in ms. */
const OTHER_DATA_CENTRE_MS = 2;
/** Cost of a certain failure, in ms: about what a second sending takes. */
const FAILURE_MS = 1500;
/** Cost of each stream whose pauses a long prompt would make too long, in ms. */
const DISTURBED_STREAM_MS = 250;
/** Part of the longest pause that reading a prompt may take; the rest is the engine's own work. */
const PAUSE_SHARE = 0.7;
/** Weight of the whole time against the time to the first event: a place that is held for longer serves fewer. */
const TOTAL_WEIGHT = 0.12;
/**
 * Requests that wait at a full engine, so that its next free slot is used at once: between an answer's end and the next
 * request's arrival lie up to five ways between regions, a tenth of a usual answer's time.
 */
const AHEAD_PLACES = 1;
/** How much later than its time limit a place is taken back, in ms; longer than any VM waits for an answer. */
const EXPIRY_MARGIN_MS = 2000;
/** A load that an upstream told says nothing about other VMs' requests after this time, in ms. */
const LOAD_LIFETIME_MS = 1200;
/** How long the sum of all upstreams' paces is used, in ms; an upstream's own pace changes over several answers. */
const SPEED_LIFETIME_MS = 25;

/** A request that has a place. */
export type Held = {
	readonly ask: PlaceRequest;
	readonly upstreamId: string;
	readonly grantedAt: number;
	readonly objectiveAt: number;
	/** When the caller leaves, as it told itself. */
	readonly callerLeavesAt: number;
	/** Prompts that the upstream had to read before, in tokens. */
	readonly pendingPromptTokens: number;
	hasFirst: boolean;
};

/** An upstream and what is known of it. */
export type Station = {
	upstream: Upstream;
	pace: Pace;
	standing: Standing;
	readonly held: Map<string, Held>;
	/** Tokens of the prompts that it has yet to read. */
	pendingPromptTokens: number;
	/** Requests of other VMs, where this allocator does not know them. */
	othersLoad: number;
	othersAt: number;
};

/** A decision to be carried out. */
export type Grant = {
	readonly waiting: Waiting;
	readonly station: Station;
	readonly expectedFirstMs: number;
};

/** One pool. */
export class Pool {
	static create(name: string, settings: PoolSettings | undefined, repeatBounds: RetryBounds): Pool {
		return new Pool(name, settings, repeatBounds);
	}

	readonly name: string;
	readonly waiting: WaitingQueue;
	readonly held = new Map<string, Held>();
	readonly stations = new Map<string, Station>();
	readonly repeats: RepeatBudget;
	/** Upstreams with fewer requests than slots; whether they may get one also depends on the time. */
	readonly #open = new Set<Station>();
	#pace: PoolPace;
	#speed = 0;
	#speedAt = Number.NEGATIVE_INFINITY;

	private constructor(name: string, settings: PoolSettings | undefined, repeatBounds: RetryBounds) {
		this.name = name;
		this.waiting = WaitingQueue.create({
			levelOf: (waiting, now) => this.#levelOf(waiting, now),
			serviceMs: ask => this.serviceMs(ask),
		});
		this.repeats = RepeatBudget.create(repeatBounds);
		this.#pace = PoolPace.create(settings?.isEngine ?? false);
	}

	setSettings(settings: PoolSettings | undefined): void {
		if (settings !== undefined && settings.isEngine !== this.#pace.isEngine) {
			this.#pace = PoolPace.create(settings.isEngine);
			for (const station of this.stations.values()) {
				station.pace = Pace.create(this.#pace);
			}
		}
	}

	setStation(upstream: Upstream): void {
		this.#speedAt = Number.NEGATIVE_INFINITY;
		const station = this.stations.get(upstream.id);
		if (station === undefined) {
			const added: Station = {
				upstream, pace: Pace.create(this.#pace), standing: Standing.create(), held: new Map(), pendingPromptTokens: 0, othersLoad: 0, othersAt: Number.NEGATIVE_INFINITY,
			};
			this.stations.set(upstream.id, added);
			this.#noteHeld(added);
			return;
		}

		if (station.upstream.startedAt !== upstream.startedAt) {
			station.standing = Standing.create();
		}

		station.upstream = upstream;
		this.#noteHeld(station);
	}

	removeStation(id: string): void {
		const station = this.stations.get(id);
		if (station !== undefined) {
			this.stations.delete(id);
			this.#open.delete(station);
			this.#speedAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Forgets all requests. */
	clear(): void {
		this.waiting.clear();
		this.held.clear();
		for (const station of this.stations.values()) {
			station.held.clear();
			station.pendingPromptTokens = 0;
			this.#noteHeld(station);
		}
	}

	hold(upstreamId: string, held: Held): void {
		this.held.set(held.ask.id, held);
		const station = this.stations.get(upstreamId);
		if (station !== undefined) {
			this.#removeHeld(station, held.ask.id);
			station.held.set(held.ask.id, held);
			station.pendingPromptTokens += pendingTokensOf(held);
			this.#noteHeld(station);
		}
	}

	noteFirst(askId: string, firstMs: number): void {
		const held = this.held.get(askId);
		if (held === undefined || held.hasFirst) {
			return;
		}

		const station = this.stations.get(held.upstreamId);
		if (station?.held.get(askId) === held) {
			station.pendingPromptTokens -= held.ask.promptTokens;
		}

		held.hasFirst = true;
		station?.pace.noteFirst(held.ask.promptTokens, held.pendingPromptTokens, firstMs);
	}

	/** Frees a place and learns from how it was used. */
	release(held: Held, report: PlaceReport, now: number, learnsLoad: boolean): void {
		this.held.delete(held.ask.id);
		const station = this.stations.get(held.upstreamId);
		if (station === undefined) {
			return;
		}

		this.#removeHeld(station, held.ask.id);
		station.standing.note(report.ending, now);
		if (report.firstMs !== undefined && !held.hasFirst) {
			station.pace.noteFirst(held.ask.promptTokens, held.pendingPromptTokens, report.firstMs);
		}

		station.pace.noteStream(report.events, report.streamMs);
		if (learnsLoad && report.load !== undefined) {
			station.othersLoad = Math.max(0, report.load - station.held.size);
			station.othersAt = now;
		}
	}

	/** @returns Places whose requests must have ended long ago; their VM could not say so. */
	expired(now: number): Held[] {
		return [...this.held.values()].filter(({ask, grantedAt}) => now > grantedAt + ask.remainingMs + EXPIRY_MARGIN_MS);
	}

	/** @returns Whether some upstream may run the request, now or later. */
	hasStation(excluded: readonly string[]): boolean {
		for (const {upstream} of this.stations.values()) {
			if (!upstream.isLeaving && !excluded.includes(upstream.id)) {
				return true;
			}
		}

		return false;
	}

	/** @returns Whether some upstream has a free place. */
	hasFree(now: number): boolean {
		for (const station of this.#open) {
			if (isFree(station, now, 0)) {
				return true;
			}
		}

		return false;
	}

	/** @returns Expected ms of a request at an upstream of usual pace. */
	serviceMs({promptTokens, outputEvents}: PlaceRequest): number {
		return this.#pace.totalMs({promptTokens, events: outputEvents});
	}

	/** @returns Expected ms until a waiting request gets a place. */
	waitMs(waiting: Waiting, now: number): number {
		return this.waiting.workMs(this.#levelOf(waiting, now)) / Math.max(1, this.#speedOf(now));
	}

	/** @returns The latest time at which a request may get a place and still be of use. */
	latestStart({ask, deadlineAt, leavesAt}: Waiting): number {
		return Math.min(deadlineAt - this.serviceMs(ask), leavesAt - this.#pace.firstMs(ask.promptTokens) - LEAVE_MARGIN_MS);
	}

	/** @returns Waiting requests that will not get a place in time. */
	hopeless(now: number): Waiting[] {
		const speed = Math.max(1, this.#speedOf(now));
		this.waiting.refresh(now);
		const found: Waiting[] = [];
		let workMs = 0;
		for (const waiting of this.waiting) {
			const serviceMs = this.serviceMs(waiting.ask);
			if (now + (workMs / speed) > this.latestStart(waiting)) {
				found.push(waiting);
			} else {
				workMs += serviceMs;
			}
		}

		return found;
	}

	/** @returns The next request that gets a place, with its upstream. */
	next(now: number): Grant | undefined {
		if (this.waiting.size === 0) {
			return undefined;
		}

		const free = [...this.#open].filter(station => isFree(station, now, 0));
		if (free.length > 0) {
			for (const waiting of this.waiting) {
				const grant = this.#choose(waiting, free, now);
				if (grant !== undefined) {
					return grant;
				}
			}

			return undefined;
		}

		return this.#pace.isEngine ? this.#nextAhead(now) : undefined;
	}

	/** At full engines, one more request is sent ahead where it can be on time and a less important one waits. */
	#nextAhead(now: number): Grant | undefined {
		const {leastRank} = this.waiting;
		let ahead: Station[] | undefined;
		for (const waiting of this.waiting) {
			if (waiting.ask.rank >= leastRank || this.#isLate(waiting, now)) {
				continue;
			}

			ahead ??= [...this.stations.values()].filter(station => isFree(station, now, AHEAD_PLACES));
			if (ahead.length === 0) {
				return undefined;
			}

			const grant = this.#choose(waiting, ahead, now);
			if (grant !== undefined) {
				return grant;
			}
		}

		return undefined;
	}

	#choose(waiting: Waiting, free: readonly Station[], now: number): Grant | undefined {
		const {ask} = waiting;
		// Work that can be on time somewhere waits for such a place rather than taking one where it would be late.
		const isLate = this.#isLate(waiting, now);
		const mustBeOnTime = !isLate && free.length < this.stations.size;
		let best: Grant | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const station of free) {
			if (ask.excluded.includes(station.upstream.id)) {
				continue;
			}

			const expectedFirstMs = this.#slotWaitMs(station, ask) + station.pace.firstMs(ask.promptTokens, station.pendingPromptTokens);
			if (mustBeOnTime && now + expectedFirstMs > waiting.objectiveAt) {
				continue;
			}

			const cost = this.#cost(ask, station, expectedFirstMs, now);
			if (cost < bestCost) {
				bestCost = cost;
				best = {waiting, station, expectedFirstMs};
			}
		}

		return best;
	}

	/** @returns Expected ms until a full engine has a slot for one more request. */
	#slotWaitMs({held, upstream, pace}: Station, ask: PlaceRequest): number {
		return held.size < upstream.slots ? 0 : pace.factor * this.serviceMs(ask) / upstream.slots;
	}

	#cost(ask: PlaceRequest, station: Station, expectedFirstMs: number, now: number): number {
		const {upstream, pace, standing, held} = station;
		let cost = expectedFirstMs + (TOTAL_WEIGHT * pace.totalMs({promptTokens: ask.promptTokens, events: ask.outputEvents}));
		if (upstream.region !== ask.region) {
			cost += OTHER_REGION_MS;
		} else if (upstream.dataCentre !== ask.dataCentre) {
			cost += OTHER_DATA_CENTRE_MS;
		}

		cost += FAILURE_MS * standing.failureShare(now);
		if (ask.maxPauseMs > 0 && pace.disturbanceMs(ask.promptTokens) + pace.eventMs > PAUSE_SHARE * ask.maxPauseMs) {
			cost += DISTURBED_STREAM_MS * held.size;
		}

		return cost;
	}

	#levelOf(waiting: Waiting, now: number): number {
		return (waiting.ask.rank * LEVELS_PER_RANK) + (this.#isLate(waiting, now) ? LATE_LEVELS : 0);
	}

	/** Whether the objective can no longer be met at an idle upstream of usual pace. */
	#isLate(waiting: Waiting, now: number): boolean {
		return now + this.#pace.firstMs(waiting.ask.promptTokens) + OBJECTIVE_MARGIN_MS > waiting.objectiveAt;
	}

	/** Places of the pool, each counted by its pace. */
	#speedOf(now: number): number {
		if (now - this.#speedAt >= SPEED_LIFETIME_MS) {
			this.#speedAt = now;
			this.#speed = 0;
			for (const {upstream, pace, standing} of this.stations.values()) {
				if (!upstream.isLeaving && !standing.isPaused(now)) {
					this.#speed += upstream.slots / pace.factor;
				}
			}
		}

		return this.#speed;
	}

	#removeHeld(station: Station, askId: string): void {
		const held = station.held.get(askId);
		if (held !== undefined) {
			station.held.delete(askId);
			station.pendingPromptTokens -= pendingTokensOf(held);
			this.#noteHeld(station);
		}
	}

	#noteHeld(station: Station): void {
		if (station.held.size < station.upstream.slots) {
			this.#open.add(station);
		} else {
			this.#open.delete(station);
		}
	}
}

function pendingTokensOf({ask, hasFirst}: Held): number {
	return hasFirst ? 0 : ask.promptTokens;
}

/** @param ahead - Requests beyond the slots that may wait at the upstream. */
function isFree(station: Station, now: number, ahead: number): boolean {
	const {upstream, standing, held} = station;
	if (upstream.isLeaving || standing.isPaused(now)) {
		return false;
	}

	if (standing.isOnTrial) {
		return held.size === 0;
	}

	const others = now - station.othersAt < LOAD_LIFETIME_MS ? station.othersLoad : 0;
	return held.size + others < upstream.slots + ahead;
}
