/**
 * Simulation of customers that compete for the engines of one pool, in virtual time and without a network: one customer
 * sends several times its usual load or retries immediately, or all of them send more than there is room for.
 */
import {Allocator} from '../src/allocation/allocator.js';
import {type PlaceRequest} from '../src/allocation/allocation.js';
import {type Random as RandomClass, Random} from '../src/base/random.js';
import {VirtualClock} from '../src/base/virtual-clock.js';
import {Ending} from '../src/gateway/exchange-ending.js';
import {Operation, type Quota, RoutingTable} from '../src/gateway/routing-table.js';
import {UpstreamLimits} from '../src/gateway/upstream-limits.js';

const ENGINE_COUNT = 12;
const SLOTS = 5;
/** One engine in three is this many times slower than the others. */
const SLOW_FACTOR = 4.4;
const TOKENS_PER_MS = 157;
const EVENT_MS = 28;
/** From the end of reading a prompt to the first event, in ms. */
const STEP_MS = 10;
/** A caller disconnects unless its stream has begun by then, in ms. */
const PATIENCE_MS = 2000;
/** Part of its remaining time that a caller waits at most before it retries. */
const MAX_RETURN_RATIO = 1 / 3;
const IMMEDIATE_RETRY_MS = 5;
const IMMEDIATE_RETRIES = 3;
/** Load before the first disturbance, so that the pace of the engines is learnt, in ms. */
const WARM_UP_MS = 4000;
/** Length of the windows by which outcomes are also counted, in ms. */
const WINDOW_MS = 2000;
/** Load after the last disturbance, in ms; the last requests end in it. */
const COOL_DOWN_MS = 10_000;
const CUSTOMER_COUNT = 16;
/** Length of the shortest prompts, relative to the mean; the longest are as far above it. */
const MIN_SIZE = 0.3;

/** Kinds of streams, most important first. */
const classes = [
	{
		promptTokens: 3720, events: 15, objectiveMs: 500, limitMs: 8000,
	},
	{
		promptTokens: 2890, events: 7, objectiveMs: 300, limitMs: 6000,
	},
	{
		promptTokens: 1110, events: 22, objectiveMs: 300, limitMs: 4000,
	},
] as const;

/** A change of the load for a time. */
export type Surge = {
	/** Index of the customer; all customers if missing. */
	readonly customer?: number;
	readonly factor: number;
	readonly forMs: number;
};

/** One simulated load. */
export type ContentionPattern = {
	/** Usual load, as a fraction of what the engines can serve. */
	readonly usualLoad: number;
	/** Shares of the usual load by customer; equal if missing. */
	readonly shares?: readonly number[];
	readonly surges: readonly Surge[];
	/** A customer whose callers retry immediately, several times. */
	readonly retriesImmediately?: number;
	/** Fraction of all callers that retry immediately, several times. */
	readonly impatientShare?: number;
	/** Quota of each customer, as a multiple of its usual requests; none if missing. */
	readonly quotaFactor?: number;
	/** Whether all kinds of streams have the same rank. */
	readonly hasOneRank?: boolean;
};

/** Requests by what became of them. */
export type Outcomes = {
	sent: number;
	onTime: number;
	late: number;
	/** Refused, and not sent again. */
	refused: number;
	/** Refused after a return. */
	refusedAgain: number;
	/** Not begun before the caller left. */
	lost: number;
	/** First attempts that were refused, and the sum of the times that they had waited, in ms. */
	firstRefusals: number;
	firstRefusalWaitMs: number;
};

/** Result of one run, over the requests sent from the start of the surges on. */
export type ContentionResult = {
	readonly all: Outcomes;
	readonly byCustomer: readonly Outcomes[];
	readonly byRank: readonly Outcomes[];
	/** Requests of the smallest and the largest tenth of their kind. */
	readonly smallest: Outcomes;
	readonly largest: Outcomes;
	/** By time of sending. */
	readonly byWindow: readonly Outcomes[];
};

type Caller = {
	readonly name: string;
	readonly customer: number;
	readonly rank: number;
	readonly promptTokens: number;
	readonly events: number;
	readonly sentAt: number;
	readonly isImpatient: boolean;
	readonly outcomes: readonly Outcomes[];
	attempts: number;
};

function emptyOutcomes(): Outcomes {
	return {
		sent: 0, onTime: 0, late: 0, refused: 0, refusedAgain: 0, lost: 0, firstRefusals: 0, firstRefusalWaitMs: 0,
	};
}

/** @returns The share of requests that were on time, with a late one counted as half. */
export function worthOf({sent, onTime, late}: Outcomes): number {
	return (onTime + (late / 2)) / Math.max(1, sent);
}

/** An engine that reads prompts one after another and runs as many streams as it has slots. */
class SimulatedEngine {
	readonly #clock: VirtualClock;
	readonly #factor: number;
	readonly #queue: Array<() => void> = [];
	#running = 0;
	#readUntil = 0;

	constructor(clock: VirtualClock, factor: number) {
		this.#clock = clock;
		this.#factor = factor;
	}

	run(promptTokens: number, events: number, onFirst: () => void, onEnd: () => void): void {
		const start = () => {
			this.#running += 1;
			const now = this.#clock.now();
			this.#readUntil = Math.max(now, this.#readUntil) + (promptTokens * this.#factor / TOKENS_PER_MS);
			this.#clock.setTimer(this.#readUntil + (STEP_MS * this.#factor) - now, onFirst);
			this.#clock.setTimer(this.#readUntil + ((STEP_MS + (events * EVENT_MS)) * this.#factor) - now, () => {
				this.#running -= 1;
				onEnd();
				this.#queue.shift()?.();
			});
		};

		if (this.#running < SLOTS) {
			start();
		} else {
			this.#queue.push(start);
		}
	}
}

/** @returns Requests per ms that the engines can serve. */
function roomPerMs(): number {
	let slots = 0;
	for (let index = 0; index < ENGINE_COUNT; index += 1) {
		slots += SLOTS / factorOf(index);
	}

	const meanMs = classes.reduce((sum, {promptTokens, events}) => sum + (promptTokens / TOKENS_PER_MS) + STEP_MS + (events * EVENT_MS), 0) / classes.length;
	return slots / meanMs;
}

function factorOf(engine: number): number {
	return engine % 3 === 2 ? SLOW_FACTOR : 1;
}

/** One run of a load pattern. */
export class ContentionSimulation {
	static create(pattern: ContentionPattern, seed: number, isUnderPressure: boolean): ContentionSimulation {
		return new ContentionSimulation(pattern, seed, isUnderPressure);
	}

	readonly clock = VirtualClock.create(100_000);
	readonly allocator: Allocator;
	readonly #pattern: ContentionPattern;
	readonly #random: RandomClass;
	readonly #engines: readonly SimulatedEngine[];
	readonly #byCustomer = Array.from({length: CUSTOMER_COUNT}, () => emptyOutcomes());
	readonly #byRank = classes.map(() => emptyOutcomes());
	readonly #all = emptyOutcomes();
	readonly #smallest = emptyOutcomes();
	readonly #largest = emptyOutcomes();
	readonly #byWindow: Outcomes[] = [];
	#callers = 0;
	#asks = 0;

	private constructor(pattern: ContentionPattern, seed: number, isUnderPressure: boolean) {
		this.#pattern = pattern;
		this.#random = Random.create(seed);
		this.#engines = Array.from({length: ENGINE_COUNT}, (_, index) => new SimulatedEngine(this.clock, factorOf(index)));
		this.allocator = Allocator.create({
			clock: this.clock,
			random: Random.create(seed + 1),
			nodeId: 'contention',
			repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000},
			quotaTolerance: {ratio: 0.1, slack: 10, windowMs: 8000},
			limits: UpstreamLimits.create(),
			isUnderPressure,
		});
		this.allocator.setTable(RoutingTable.create({
			version: 1,
			routes: [],
			customers: this.#byCustomer.map((_, index) => ({
				name: `c${index}`, apiKeys: [], rank: undefined, quota: this.#quotaOf(index),
			})),
			pools: [{
				name: 'advice', slots: SLOTS, maxConnections: 100, isEngine: true, tokensPerEvent: 8,
			}],
			limits: {
				maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			hasCustomers: true,
		}));
		this.allocator.setUpstreams({
			changed: this.#engines.map((_, index) => ({
				id: `engine-${index}`, pool: 'advice', address: `engine-${index}:80`, dataCentre: 'a', region: 'r', slots: SLOTS, isLeaving: false, startedAt: 0,
			})),
			removed: [],
		});
	}

	run(): ContentionResult {
		const {surges} = this.#pattern;
		const startedAt = this.clock.now() + WARM_UP_MS;
		const longestMs = Math.max(0, ...surges.map(({forMs}) => forMs));
		for (let customer = 0; customer < CUSTOMER_COUNT; customer += 1) {
			this.#sendFrom(customer, startedAt, startedAt + longestMs + COOL_DOWN_MS);
		}

		this.clock.advance(WARM_UP_MS + longestMs + (2 * COOL_DOWN_MS));
		return {
			all: this.#all, byCustomer: this.#byCustomer, byRank: this.#byRank, smallest: this.#smallest, largest: this.#largest, byWindow: this.#byWindow,
		};
	}

	#shareOf(customer: number): number {
		return this.#pattern.shares?.[customer] ?? 1 / CUSTOMER_COUNT;
	}

	#quotaOf(customer: number): Quota | undefined {
		const {quotaFactor, usualLoad} = this.#pattern;
		const perSecond = (quotaFactor ?? 0) * usualLoad * this.#shareOf(customer) * roomPerMs() * 1000;
		return quotaFactor === undefined
			? undefined
			: {
				perSecond, burst: 2 * perSecond, isInTokens: false, plainTokens: 1,
			};
	}

	#sendFrom(customer: number, countedFrom: number, until: number): void {
		const {usualLoad} = this.#pattern;
		const surges = this.#pattern.surges.filter(surge => surge.customer === undefined || surge.customer === customer);
		const highest = Math.max(1, ...surges.map(({factor}) => factor));
		const usualPerMs = usualLoad * this.#shareOf(customer) * roomPerMs();
		this.clock.setTimer(this.#random.exponential(1 / (usualPerMs * highest)), () => {
			const elapsedMs = this.clock.now() - countedFrom;
			const factor = Math.max(1, ...surges.filter(({forMs}) => elapsedMs >= 0 && elapsedMs < forMs).map(surge => surge.factor));
			if (this.#random.next() < factor / highest) {
				this.#send(customer, elapsedMs);
			}

			if (this.clock.now() < until) {
				this.#sendFrom(customer, countedFrom, until);
			}
		});
	}

	#send(customer: number, elapsedMs: number): void {
		const rank = this.#random.integer(0, classes.length - 1);
		const {promptTokens, events} = classes[rank]!;
		const size = this.#random.next();
		const bySize = size < 0.1 ? [this.#smallest] : (size > 0.9 ? [this.#largest] : []);
		this.#callers += 1;
		const caller: Caller = {
			name: `caller-${this.#callers}`,
			customer,
			rank,
			promptTokens: Math.round(promptTokens * (MIN_SIZE + (2 * (1 - MIN_SIZE) * size))),
			events,
			sentAt: this.clock.now(),
			isImpatient: customer === this.#pattern.retriesImmediately || this.#random.next() < (this.#pattern.impatientShare ?? 0),
			outcomes: elapsedMs < 0 ? [] : [this.#all, this.#byCustomer[customer]!, this.#byRank[rank]!, this.#windowAt(elapsedMs), ...bySize],
			attempts: 0,
		};
		count(caller, 'sent');
		this.#attempt(caller);
	}

	#windowAt(elapsedMs: number): Outcomes {
		const index = Math.floor(elapsedMs / WINDOW_MS);
		while (this.#byWindow.length <= index) {
			this.#byWindow.push(emptyOutcomes());
		}

		return this.#byWindow[index]!;
	}

	#attempt(caller: Caller): void {
		this.#asks += 1;
		caller.attempts += 1;
		const id = `ask-${this.#asks}`;
		const {objectiveMs, limitMs} = classes[caller.rank]!;
		const askedAt = this.clock.now();
		const remainingMs = caller.sentAt + limitMs - askedAt;
		const ask: PlaceRequest = {
			id, requestId: id, pool: 'advice', customer: `c${caller.customer}`, rank: this.#pattern.hasOneRank ? 0 : caller.rank, operation: Operation.Stream,
			promptTokens: caller.promptTokens, outputEvents: caller.events, quotaCost: 1, isCharged: false, isCounted: false, isContinuation: false,
			objectiveMs, remainingMs, patienceMs: Math.min(remainingMs, PATIENCE_MS), callerLeavesMs: remainingMs, maxPauseMs: 250,
			dataCentre: 'a', region: 'r', attempt: 1, excluded: [], fingerprint: caller.name, features: [caller.name],
		};
		this.allocator.ask(ask, {
			grant: upstreamId => {
				this.#run(caller, ask, upstreamId, askedAt);
			},
			refuse: (_kind, retryAfterMs) => {
				this.#onRefused(caller, askedAt, retryAfterMs);
			},
		});
	}

	#run(caller: Caller, {id, patienceMs}: PlaceRequest, upstreamId: string, askedAt: number): void {
		const grantedAt = this.clock.now();
		let firstAt = 0;
		this.#engines[Number(upstreamId.split('-')[1])]!.run(caller.promptTokens, caller.events, () => {
			firstAt = this.clock.now();
			this.allocator.noteFirst(id, firstAt - grantedAt);
			if (firstAt > askedAt + patienceMs) {
				count(caller, 'lost');
			} else {
				count(caller, firstAt - caller.sentAt <= classes[caller.rank]!.objectiveMs ? 'onTime' : 'late');
			}
		}, () => {
			this.allocator.release(id, {
				ending: Ending.Answered, firstMs: firstAt - grantedAt, streamMs: this.clock.now() - firstAt, events: caller.events, load: undefined,
			});
		});
	}

	#onRefused(caller: Caller, askedAt: number, retryAfterMs: number): void {
		const now = this.clock.now();
		if (caller.attempts === 1) {
			count(caller, 'firstRefusals');
			count(caller, 'firstRefusalWaitMs', now - askedAt);
		}

		const remainingMs = caller.sentAt + classes[caller.rank]!.limitMs - now;
		if (caller.attempts > (caller.isImpatient ? IMMEDIATE_RETRIES : 1)) {
			count(caller, 'refusedAgain');
		} else if (remainingMs <= 0) {
			count(caller, 'refused');
		} else {
			this.clock.setTimer(caller.isImpatient ? IMMEDIATE_RETRY_MS : Math.min(retryAfterMs, remainingMs * MAX_RETURN_RATIO), () => {
				this.#attempt(caller);
			});
		}
	}
}

function count({outcomes}: Caller, key: keyof Outcomes, amount = 1): void {
	for (const counted of outcomes) {
		counted[key] += amount;
	}
}
