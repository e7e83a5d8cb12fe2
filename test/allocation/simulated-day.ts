/**
 * A seeded day of streams at simulated engines, placed by an allocator in virtual time, without a network. Refused callers
 * come back once.
 */
import {createHash} from 'node:crypto';
import {emptyReport, type PlaceRequest} from '../../src/allocation/allocation.js';
import {Allocator} from '../../src/allocation/allocator.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {Operation, RoutingTable} from '../../src/gateway/routing-table.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {createPlaceRequest} from '../support/place-request.js';
import {type DayOptions, type DayResult, Figures} from './day-options.js';
import {SimulatedEngine} from './simulated-engine.js';

const POOL = 'advice';
const SLOTS = 4;
const TOKENS_PER_EVENT = 7;
const SLOW_FACTOR = 4.4;
const TIMEOUT_MS = 6000;
const MAX_PAUSE_MS = 400;
const MS_PER_SECOND = 1000;
const WINDOW_MS = 500;

/** Classes of streams of a deployment with swinging demand: mean prompt tokens, mean events, objective in ms. */
const classes = [
	{promptTokens: 3720, events: 17, objectiveMs: 600},
	{promptTokens: 2890, events: 7, objectiveMs: 600},
	{promptTokens: 1110, events: 25, objectiveMs: 400},
] as const;

type Outcome = {readonly at: number; readonly kind: number; isOnTime: boolean; isLate: boolean; isPaused: boolean};

/** Runs one day. */
export class SimulatedDay {
	static run(options: DayOptions): DayResult {
		return new SimulatedDay(options).#run();
	}

	readonly #options: DayOptions;
	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #allocator: Allocator;
	readonly #engines: SimulatedEngine[] = [];
	readonly #outcomes: Outcome[] = [];
	readonly #firstMs: number[] = [];
	readonly #grantsOf: number[];
	readonly #hash = createHash('sha256');
	#refused = 0;
	#asks = 0;

	private constructor(options: DayOptions) {
		this.#options = options;
		const {seed, engineCount = 24, isEngine = true, momentMs = 600} = options;
		this.#random = Random.create(seed);
		this.#grantsOf = Array.from({length: engineCount}, () => 0);
		this.#clock.advance(100_000);
		this.#allocator = Allocator.create({
			clock: this.#clock,
			random: Random.create(seed + 1),
			nodeId: 'day',
			repeatBounds: {ratio: 0.2, slack: 100, windowMs: 10_000},
			quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000},
			limits: UpstreamLimits.create(),
			...options.allocator,
		});
		this.#allocator.setTable(RoutingTable.create({
			version: 1,
			routes: [],
			customers: [],
			pools: [{
				name: POOL, slots: SLOTS, maxConnections: 100, isEngine, tokensPerEvent: TOKENS_PER_EVENT,
			}],
			limits: {
				maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			hasCustomers: false,
		}));
		this.#allocator.onDecision = ({ask, upstreamId, refusal, expectedFirstMs}) => {
			this.#hash.update(`${ask.id} ${upstreamId} ${refusal} ${expectedFirstMs}\n`);
		};

		for (let index = 0; index < engineCount; index += 1) {
			this.#engines.push(SimulatedEngine.create({
				clock: this.#clock,
				random: Random.create((seed * 1000) + index),
				factor: index % 3 === 0 ? SLOW_FACTOR : 1,
				stepMs: 3.37,
				promptTokensPerMs: 61.2,
				tokensPerEvent: TOKENS_PER_EVENT,
				momentMs,
				slowMomentRatio: 0.15,
				slowMomentFactor: 2.5,
			}));
		}

		for (const index of this.#engines.keys()) {
			this.#list(index);
		}
	}

	#run(): DayResult {
		const {seconds = 30, requestsPerSecond, figures, probeIntervalMs = 20} = this.#options;
		const endAt = this.#clock.now() + (seconds * MS_PER_SECOND);
		const arrive = () => {
			this.#arrive();
			if (this.#clock.now() < endAt) {
				this.#clock.setTimer(this.#random.exponential(MS_PER_SECOND / requestsPerSecond), arrive);
			}
		};

		arrive();
		const {replacementMs} = this.#options;
		if (replacementMs !== undefined) {
			const replacements = Random.create(this.#options.seed + 3);
			const replace = () => {
				const index = replacements.integer(0, this.#engines.length - 1);
				this.#allocator.setUpstreams({changed: [], removed: [`engine-${index}`]});
				this.#clock.setTimer(replacementMs / 2, () => {
					this.#list(index);
					this.#clock.setTimer(replacementMs / 2, replace);
				});
			};

			replace();
		}

		const probes = Random.create(this.#options.seed + 2);
		const probe = () => {
			const targets = figures === Figures.Always ? this.#engines.keys() : [probes.integer(0, this.#engines.length - 1)];
			for (const engine of targets) {
				this.#allocator.noteStatedPace(`engine-${engine}`, this.#statedPace(engine)!);
			}

			this.#clock.setTimer(figures === Figures.Always ? 5 : probeIntervalMs, probe);
		};

		if (figures === Figures.Probes || figures === Figures.Always) {
			probe();
		}

		this.#clock.advance(endAt + TIMEOUT_MS + TIMEOUT_MS - this.#clock.now());
		return this.#summary();
	}

	#list(index: number): void {
		this.#allocator.setUpstreams({
			changed: [{
				id: `engine-${index}`, pool: POOL, address: `10.0.0.1:${index + 1}`, dataCentre: `d${index % 3}`, region: `r${index % 2}`, slots: SLOTS, isLeaving: false, startedAt: this.#clock.now(),
			}],
			removed: [],
		});
	}

	#arrive(): void {
		const kind = this.#random.integer(0, classes.length - 1);
		const {promptTokens, events, objectiveMs} = classes[kind]!;
		const tokens = Math.max(1, Math.round(this.#random.exponential(events * TOKENS_PER_EVENT)));
		const outcome: Outcome = {
			at: this.#clock.now(), kind, isOnTime: false, isLate: false, isPaused: false,
		};
		this.#outcomes.push(outcome);
		this.#send(outcome, tokens, {
			operation: Operation.Stream,
			promptTokens: Math.round(promptTokens * (0.4 + (1.2 * this.#random.next()))),
			outputEvents: Math.ceil(tokens / TOKENS_PER_EVENT),
			objectiveMs,
			maxPauseMs: MAX_PAUSE_MS,
			rank: kind,
			dataCentre: `d${this.#random.integer(0, 2)}`,
			region: `r${this.#random.integer(0, 1)}`,
			fingerprint: `call-${this.#outcomes.length}`,
		}, 1);
	}

	#send(outcome: Outcome, tokens: number, changes: Partial<PlaceRequest>, attempt: number): void {
		this.#asks += 1;
		const id = `ask-${this.#asks}`;
		const spentMs = this.#clock.now() - outcome.at;
		const remainingMs = TIMEOUT_MS - spentMs;
		const ask = createPlaceRequest(id, {
			...changes, pool: POOL, remainingMs, callerLeavesMs: remainingMs, patienceMs: Math.min(2400, remainingMs),
		});
		const onAsked = this.#options.onAsk?.(this.#allocator, ask, attempt);
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
		onAsked?.();
	}

	#start(outcome: Outcome, ask: PlaceRequest, tokens: number, engine: number): void {
		const {failureRatio = 0, failureRatioOf = () => failureRatio} = this.#options;
		this.#grantsOf[engine]! += 1;
		if (this.#random.next() < failureRatioOf(engine)) {
			const pace = this.#statedPace(engine);
			this.#clock.setTimer(20, () => {
				this.#allocator.release(ask.id, {...emptyReport(Ending.UpstreamError), ...(pace === undefined ? {} : {pace})});
			});
			return;
		}

		const sentAt = this.#clock.now();
		const job = {
			unreadTokens: ask.promptTokens, unsentTokens: tokens, sentAt, firstAt: 0, lastAt: 0, maxPauseMs: 0, events: 0, eventTokens: 0,
			onFirst: () => {
				this.#allocator.noteFirst(ask.id, job.firstAt - sentAt, this.#statedPace(engine));
			},
			onEnd: () => {
				const firstMs = job.firstAt - outcome.at;
				this.#firstMs.push(firstMs);
				outcome.isLate = firstMs > classes[outcome.kind]!.objectiveMs;
				outcome.isPaused = job.maxPauseMs > ask.maxPauseMs;
				outcome.isOnTime = !outcome.isLate && !outcome.isPaused;
				this.#allocator.release(ask.id, {
					ending: Ending.Answered, firstMs: job.firstAt - sentAt, streamMs: job.lastAt - job.firstAt, events: job.events, load: undefined,
				});
			},
		};
		this.#engines[engine]!.start(job);
	}

	#statedPace(engine: number): {factor: number; ageMs: number} | undefined {
		const {figures, stated = (_, moment) => moment} = this.#options;
		const {moment} = this.#engines[engine]!;
		return figures === Figures.None ? undefined : {factor: stated(engine, moment), ageMs: 0};
	}

	#summary(): DayResult {
		const share = (outcomes: readonly Outcome[]) => outcomes.filter(({isOnTime}) => isOnTime).length / Math.max(1, outcomes.length);
		const windows = new Map<number, Outcome[]>();
		for (const outcome of this.#outcomes) {
			const window = Math.floor(outcome.at / WINDOW_MS);
			windows.set(window, [...windows.get(window) ?? [], outcome]);
		}

		const shares = [...windows.values()].map(outcomes => share(outcomes)).toSorted((a, b) => a - b);
		const worst = shares.slice(0, Math.ceil(shares.length / 10));
		const sorted = this.#firstMs.toSorted((a, b) => a - b);
		return {
			requests: this.#outcomes.length,
			onTime: share(this.#outcomes),
			refused: this.#refused,
			worstClass: Math.min(...classes.map((_, kind) => share(this.#outcomes.filter(outcome => outcome.kind === kind)))),
			worstWindows: worst.reduce((sum, value) => sum + value, 0) / worst.length,
			late: this.#outcomes.filter(({isLate}) => isLate).length / this.#outcomes.length,
			paused: this.#outcomes.filter(({isPaused}) => isPaused).length / this.#outcomes.length,
			firstMs: {mean: sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length, p95: sorted[Math.floor(sorted.length * 0.95)] ?? 0},
			grantsOf: this.#grantsOf,
			digest: this.#hash.digest('base64').slice(0, 16),
		};
	}
}
