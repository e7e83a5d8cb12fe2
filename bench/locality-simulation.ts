/**
 * A seeded day of streams in six data centres of three regions, placed by an allocator in virtual time, for comparing rules
 * of leaving the data centre. Refused callers come back once.
 */
import {emptyReport, type PlaceRequest} from '../src/allocation/allocation.js';
import {Allocator, type AllocatorOptions} from '../src/allocation/allocator.js';
import {Random} from '../src/base/random.js';
import {VirtualClock} from '../src/base/virtual-clock.js';
import {Ending} from '../src/gateway/exchange-ending.js';
import {Operation, RoutingTable} from '../src/gateway/routing-table.js';
import {UpstreamLimits} from '../src/gateway/upstream-limits.js';
import {SimulatedEngine} from '../test/allocation/simulated-engine.js';
import {createPlaceRequest} from '../test/support/place-request.js';

const POOL = 'advice';
const DATA_CENTRE_COUNT = 6;
const REGION_COUNT = 3;
const SLOW_FACTOR = 4.4;
const TIMEOUT_MS = 6000;
const WINDOW_MS = 2000;
const SWING_PERIOD_MS = 15_000;
const BYTES_PER_TOKEN = 4;
/** Frame of an event and its text, in bytes. */
const BYTES_PER_EVENT = 150;

/** A class of streams: mean prompt tokens, mean events, objective in ms. */
type StreamClass = {readonly promptTokens: number; readonly events: number; readonly objectiveMs: number};

/** A customer's deployment and load. */
export type Deployment = {
	readonly engineCount: number;
	readonly slots: number;
	readonly promptTokensPerMs: number;
	readonly stepMs: number;
	readonly tokensPerEvent: number;
	readonly dataCentreDelayMs: number;
	readonly regionDelayMs: number;
	readonly maxPauseMs: number;
	/** Share of the time in which an engine is slow for a moment. */
	readonly slowMomentRatio: number;
	readonly classes: readonly StreamClass[];
	readonly requestsPerSecond: number;
	/** Factor of the demand of a data centre at a time in ms since the start. */
	readonly demand: (dataCentre: number, ms: number, seed: number) => number;
	/** Data centre whose engines stop being listed after a third of the day. */
	readonly deadDataCentre?: number;
	/** Factor of the engines of the last region. */
	readonly distantFactor?: number;
};

export const swingingDemand: Deployment = {
	engineCount: 98, slots: 4, promptTokensPerMs: 61.2, stepMs: 3.37, tokensPerEvent: 7, dataCentreDelayMs: 1.4, regionDelayMs: 8, maxPauseMs: 400, slowMomentRatio: 0.15,
	classes: [{promptTokens: 3720, events: 17, objectiveMs: 600}, {promptTokens: 2890, events: 7, objectiveMs: 600}, {promptTokens: 1110, events: 25, objectiveMs: 400}],
	requestsPerSecond: 260,
	demand: (dataCentre, ms, seed) => 1 + (0.55 * Math.sin(2 * Math.PI * ((ms / SWING_PERIOD_MS) + Random.create((seed * 10) + dataCentre).next()))),
};

/** One customer of 16 sends five times its usual load in the middle third, mostly in its own data centre, at a peak of 1.6. */
export const hotCustomer: Deployment = {
	engineCount: 78, slots: 5, promptTokensPerMs: 157, stepMs: 3.55, tokensPerEvent: 8, dataCentreDelayMs: 0.5, regionDelayMs: 8, maxPauseMs: 250, slowMomentRatio: 0,
	classes: [{promptTokens: 3720, events: 15, objectiveMs: 500}, {promptTokens: 2890, events: 7, objectiveMs: 300}, {promptTokens: 1110, events: 22, objectiveMs: 300}],
	requestsPerSecond: 200,
	demand(dataCentre, ms, seed) {
		const isHot = ms > 7000 && ms < 14_000;
		const hotDataCentre = Random.create(seed).integer(0, DATA_CENTRE_COUNT - 1);
		const usual = 0.6 + (0.8 * dataCentre / (DATA_CENTRE_COUNT - 1));
		return isHot ? (1.3 * usual) + (dataCentre === hotDataCentre ? 1.8 : 0) : usual;
	},
};

export type DayReport = {
	readonly requests: number;
	readonly onTime: number;
	/** On-time share of the worst tenth of the two-second windows. */
	readonly worstWindows: number;
	readonly worstClass: number;
	readonly refused: number;
	/** Mean time to the first event of the served requests, in ms. */
	readonly firstMs: number;
	/** Share of the bytes that crossed data centres of one region, and regions. */
	readonly dataCentreBytes: number;
	readonly regionBytes: number;
	/** Share of the placed requests that left their data centre. */
	readonly left: number;
};

type Outcome = {readonly at: number; readonly kind: number; isOnTime: boolean};

/** Runs one day. */
export class LocalitySimulation {
	static run(deployment: Deployment, seed: number, allocator: Partial<AllocatorOptions>, seconds = 21): DayReport {
		return new LocalitySimulation(deployment, seed, allocator).#run(seconds);
	}

	readonly #deployment: Deployment;
	readonly #seed: number;
	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #allocator: Allocator;
	readonly #engines: SimulatedEngine[] = [];
	readonly #outcomes: Outcome[] = [];
	readonly #bytes = {home: 0, dataCentre: 0, region: 0};
	readonly #startAt: number;
	#refused = 0;
	#firstMs = 0;
	#served = 0;
	#placed = 0;
	#left = 0;
	#asks = 0;

	private constructor(deployment: Deployment, seed: number, options: Partial<AllocatorOptions>) {
		this.#deployment = deployment;
		this.#seed = seed;
		const {engineCount, slots, tokensPerEvent} = deployment;
		this.#random = Random.create(seed);
		this.#clock.advance(100_000);
		this.#startAt = this.#clock.now();
		this.#allocator = Allocator.create({
			clock: this.#clock,
			random: Random.create(seed + 1),
			nodeId: 'day',
			repeatBounds: {ratio: 0.2, slack: 100, windowMs: 10_000},
			quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000},
			limits: UpstreamLimits.create(),
			...options,
		});
		this.#allocator.setTable(RoutingTable.create({
			version: 1,
			routes: [],
			customers: [],
			pools: [{
				name: POOL, slots, maxConnections: 100, isEngine: true, tokensPerEvent,
			}],
			limits: {
				maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			hasCustomers: false,
		}));
		for (let index = 0; index < engineCount; index += 1) {
			this.#createEngine(index);
		}
	}

	#createEngine(index: number): void {
		const {promptTokensPerMs, stepMs, tokensPerEvent, slowMomentRatio, slots, distantFactor = 1} = this.#deployment;
		const random = Random.create((this.#seed * 1000) + index);
		const isDistant = regionOf(index % DATA_CENTRE_COUNT) === REGION_COUNT - 1;
		this.#engines.push(SimulatedEngine.create({
			clock: this.#clock, random, factor: (random.next() < 1 / 3 ? SLOW_FACTOR : 1) * (isDistant ? distantFactor : 1), stepMs, promptTokensPerMs, tokensPerEvent, momentMs: slowMomentRatio === 0 ? 0 : 600, slowMomentRatio, slowMomentFactor: 2.5,
		}));
		const dataCentre = index % DATA_CENTRE_COUNT;
		this.#allocator.setUpstreams({
			changed: [{
				id: `engine-${index}`, pool: POOL, address: `10.0.0.1:${index + 1}`, dataCentre: `d${dataCentre}`, region: `r${regionOf(dataCentre)}`, slots, isLeaving: false, startedAt: 1,
			}],
			removed: [],
		});
	}

	#run(seconds: number): DayReport {
		const {requestsPerSecond, demand, deadDataCentre, engineCount} = this.#deployment;
		const endAt = this.#startAt + (seconds * 1000);
		for (let dataCentre = 0; dataCentre < DATA_CENTRE_COUNT; dataCentre += 1) {
			const arrive = () => {
				const factor = demand(dataCentre, this.#clock.now() - this.#startAt, this.#seed);
				this.#arrive(dataCentre);
				if (this.#clock.now() < endAt) {
					this.#clock.setTimer(this.#random.exponential(1000 * DATA_CENTRE_COUNT / (requestsPerSecond * factor)), arrive);
				}
			};

			arrive();
		}

		if (deadDataCentre !== undefined) {
			this.#clock.setTimer(seconds * 1000 / 3, () => {
				this.#allocator.setUpstreams({changed: [], removed: Array.from({length: engineCount}, (_, index) => index).filter(index => index % DATA_CENTRE_COUNT === deadDataCentre).map(index => `engine-${index}`)});
			});
		}

		this.#clock.advance(endAt + (2 * TIMEOUT_MS) - this.#clock.now());
		return this.#report();
	}

	#arrive(dataCentre: number): void {
		const {classes, tokensPerEvent, maxPauseMs} = this.#deployment;
		const kind = this.#random.integer(0, classes.length - 1);
		const {promptTokens, events, objectiveMs} = classes[kind]!;
		const tokens = Math.max(1, Math.round(this.#random.exponential(events * tokensPerEvent)));
		const outcome: Outcome = {at: this.#clock.now(), kind, isOnTime: false};
		this.#outcomes.push(outcome);
		this.#send(outcome, tokens, {
			operation: Operation.Stream,
			promptTokens: Math.round(promptTokens * (0.4 + (1.2 * this.#random.next()))),
			outputEvents: events,
			objectiveMs,
			maxPauseMs,
			rank: kind,
			dataCentre: `d${dataCentre}`,
			region: `r${regionOf(dataCentre)}`,
			fingerprint: `call-${this.#outcomes.length}`,
		}, 1);
	}

	#send(outcome: Outcome, tokens: number, changes: Partial<PlaceRequest>, attempt: number): void {
		this.#asks += 1;
		const remainingMs = TIMEOUT_MS - (this.#clock.now() - outcome.at);
		const ask = createPlaceRequest(`ask-${this.#asks}`, {
			...changes, pool: POOL, remainingMs, callerLeavesMs: remainingMs, patienceMs: Math.min(2400, remainingMs),
		});
		this.#allocator.ask(ask, {
			grant: upstreamId => {
				this.#start(outcome, ask, tokens, Number(upstreamId.slice('engine-'.length)));
			},
			refuse: (_, retryAfterMs) => {
				this.#refused += 1;
				if (attempt === 1 && retryAfterMs < remainingMs / 3) {
					this.#clock.setTimer(retryAfterMs, () => {
						this.#send(outcome, tokens, changes, 2);
					});
				}
			},
		});
	}

	#start(outcome: Outcome, ask: PlaceRequest, tokens: number, index: number): void {
		const {dataCentreDelayMs, regionDelayMs, tokensPerEvent, classes} = this.#deployment;
		const remote = index % DATA_CENTRE_COUNT;
		const isHome = ask.dataCentre === `d${remote}`;
		const isRegion = ask.region === `r${regionOf(remote)}`;
		const bytes = (ask.promptTokens * BYTES_PER_TOKEN) + (Math.ceil(tokens / tokensPerEvent) * BYTES_PER_EVENT);
		this.#bytes[isHome ? 'home' : (isRegion ? 'dataCentre' : 'region')] += bytes;
		this.#placed += 1;
		this.#left += isHome ? 0 : 1;
		const delayMs = isHome ? 0 : (isRegion ? dataCentreDelayMs : regionDelayMs);
		const sentAt = this.#clock.now();
		const engine = this.#engines[index]!;
		const after = (action: () => void) => {
			this.#clock.setTimer(delayMs, action);
		};

		const job = {
			unreadTokens: ask.promptTokens, unsentTokens: tokens, sentAt, firstAt: 0, lastAt: 0, maxPauseMs: 0, events: 0, eventTokens: 0,
			onFirst: () => {
				const factor = engine.moment;
				after(() => {
					this.#allocator.noteFirst(ask.id, this.#clock.now() - sentAt, {factor, ageMs: delayMs});
				});
			},
			onEnd: () => {
				after(() => {
					this.#served += 1;
					this.#firstMs += job.firstAt + delayMs - outcome.at;
					outcome.isOnTime = job.firstAt + delayMs - outcome.at <= classes[outcome.kind]!.objectiveMs && job.maxPauseMs <= ask.maxPauseMs;
					this.#allocator.release(ask.id, {
						...emptyReport(Ending.Answered), firstMs: job.firstAt + delayMs - sentAt, streamMs: job.lastAt - job.firstAt, events: job.events,
					});
				});
			},
		};
		after(() => {
			engine.start(job);
		});
	}

	#report(): DayReport {
		const share = (outcomes: readonly Outcome[]) => outcomes.filter(({isOnTime}) => isOnTime).length / Math.max(1, outcomes.length);
		const windows = new Map<number, Outcome[]>();
		for (const outcome of this.#outcomes) {
			const window = Math.floor((outcome.at - this.#startAt) / WINDOW_MS);
			windows.set(window, [...windows.get(window) ?? [], outcome]);
		}

		const shares = [...windows.values()].map(outcomes => share(outcomes)).toSorted((a, b) => a - b);
		const worst = shares.slice(0, Math.ceil(shares.length / 10));
		const total = this.#bytes.home + this.#bytes.dataCentre + this.#bytes.region;
		return {
			requests: this.#outcomes.length,
			onTime: share(this.#outcomes),
			worstWindows: worst.reduce((sum, value) => sum + value, 0) / worst.length,
			worstClass: Math.min(...this.#deployment.classes.map((_, kind) => share(this.#outcomes.filter(outcome => outcome.kind === kind)))),
			refused: this.#refused,
			firstMs: this.#firstMs / this.#served,
			dataCentreBytes: this.#bytes.dataCentre / total,
			regionBytes: this.#bytes.region / total,
			left: this.#left / this.#placed,
		};
	}
}

function regionOf(dataCentre: number): number {
	return dataCentre % REGION_COUNT;
}
