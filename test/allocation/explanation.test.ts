import {expect} from 'chai';
import {emptyReport} from '../../src/allocation/allocation.js';
import {Allocator, type AllocatorOptions, type Decision} from '../../src/allocation/allocator.js';
import {type Explanation, Outcome} from '../../src/allocation/explanation.js';
import {ErrorKind} from '../../src/base/errors.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {RoutingTable} from '../../src/gateway/routing-table.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {createPlaceRequest} from '../support/place-request.js';
import {type DayOptions, Figures} from './day-options.js';
import {SimulatedDay} from './simulated-day.js';

const DAYS = 24;

/** Each kind of decision: without and with shared room, with stated paces, and with upstreams that limit their requests. */
function dayOptions(seed: number): DayOptions {
	const random = Random.create(seed);
	const limits = UpstreamLimits.create();
	if (seed % 4 === 3) {
		for (let index = 0; index < 24; index += 2) {
			limits.note({id: `engine-${index}`, startedAt: 100_000, perSecond: 2}, 100_000, 100_000);
		}
	}

	const allocator: Partial<AllocatorOptions> = {limits, isUnderPressure: seed % 2 === 1};
	return {
		seed,
		figures: seed % 3 === 0 ? Figures.None : Figures.Probes,
		seconds: 4,
		requestsPerSecond: 40 + (200 * random.next()),
		isEngine: random.next() < 0.7,
		failureRatio: 0.1 * random.next(),
		replacementMs: 1000,
		allocator,
	};
}

/** What the explanations of the first attempts of a day said, with the decisions that the allocator made at once. */
class ComparedDay {
	readonly counts = {granted: 0, waits: 0, refused: 0};
	readonly differences: string[] = [];
	#listener: Allocator['onDecision'];
	#decisions: Decision[] = [];

	run(options: DayOptions): string {
		return SimulatedDay.run({
			...options, onAsk: (allocator, ask, attempt) => {
				this.#follow(allocator);
				const explanation = allocator.explain(ask);
				this.#decisions = [];
				return () => {
				// A waiting request that gets a place before it is beyond what an explanation tells; a request that was refused before is another case.
					if (explanation !== undefined && attempt === 1 && this.#decisions.every(decision => decision.ask === ask)) {
						this.#compare(explanation, this.#decisions[0]);
					}
				};
			},
		}).digest;
	}

	#follow(allocator: Allocator): void {
		if (this.#listener === undefined) {
			this.#listener = allocator.onDecision;
			allocator.onDecision = decision => {
				this.#decisions.push(decision);
				this.#listener!(decision);
			};
		}
	}

	#compare({outcome, upstreamId, refusal, upstreams}: Explanation, decision: Decision | undefined): void {
		this.counts[outcome] += 1;
		const expectedFirstMs = outcome === Outcome.Granted ? upstreams[0]?.expectedFirstMs : undefined;
		const explained = [upstreamId, refusal?.kind, expectedFirstMs].join(' ');
		const decided = [decision?.upstreamId, decision?.refusal, decision?.expectedFirstMs].join(' ');
		if (explained !== decided || (outcome === Outcome.Granted && upstreams[0]?.id !== upstreamId)) {
			this.differences.push(`${explained} instead of ${decided}`);
		}
	}
}

/** A customer that sends more than its quota to one upstream, whose places it holds for a while. */
class QuotaDay {
	static run(isExplained: boolean): QuotaDay {
		const day = new QuotaDay();
		const random = Random.create(7);
		for (let index = 0; index < 200; index += 1) {
			day.#clock.advance(random.integer(1, 120));
			const ask = createPlaceRequest(`ask-${index}`, {customer: 'hot', quotaCost: random.integer(1, 5), remainingMs: 800});
			const explanation = isExplained ? day.#allocator.explain(ask) : undefined;
			const before = day.decisions.length;
			day.#allocator.ask(ask, {
				grant() {
					day.decisions.push(`${ask.id} granted`);
					day.#clock.setTimer(150, () => {
						day.#allocator.release(ask.id, emptyReport(Ending.Answered));
					});
				},
				refuse(kind, retryAfterMs) {
					day.decisions.push(`${ask.id} ${retryAfterMs} ${kind}`);
					const range = explanation?.refusal?.retryAfterMs;
					if (isExplained && day.decisions.length === before + 1 && (explanation?.refusal?.kind !== kind || retryAfterMs < range!.min || retryAfterMs > range!.max)) {
						day.differences.push(`${ask.id} ${kind} ${retryAfterMs} ${JSON.stringify(explanation?.refusal)}`);
					}
				},
			});
		}

		return day;
	}

	readonly decisions: string[] = [];
	readonly differences: string[] = [];
	readonly #clock = VirtualClock.create();
	readonly #allocator: Allocator;

	private constructor() {
		this.#clock.advance(100_000);
		this.#allocator = Allocator.create({
			clock: this.#clock,
			random: Random.create(1),
			nodeId: 'test',
			repeatBounds: {ratio: 0.2, slack: 100, windowMs: 10_000},
			quotaTolerance: {ratio: 0.1, slack: 4, windowMs: 8000},
			limits: UpstreamLimits.create(),
		});
		this.#allocator.setTable(RoutingTable.create({
			version: 1,
			routes: [],
			customers: [{
				name: 'hot', apiKeys: [], rank: undefined, quota: {
					perSecond: 20, burst: 10, isInTokens: true, plainTokens: 1,
				},
			}],
			pools: [],
			limits: {
				maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
			},
			hasCustomers: true,
		}));
		this.#allocator.setUpstreams({
			changed: [{
				id: 'one', pool: 'advice', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 3, isLeaving: false, startedAt: 0,
			}],
			removed: [],
		});
	}
}

describe('explanation of a decision', () => {
	// Guards against an explanation that names another upstream, expectation or refusal than the decision that follows, and
	// against explanations that change a counter, a random number, a budget or a queue, and with it a later decision.
	it('agrees with the decision and changes none, on random days', () => {
		const total = {granted: 0, waits: 0, refused: 0};
		for (let seed = 0; seed < DAYS; seed += 1) {
			const day = new ComparedDay();
			const digest = day.run(dayOptions(seed));
			expect(day.differences.slice(0, 5), `seed ${seed}, ${day.differences.length} of ${JSON.stringify(day.counts)}`).to.deep.equal([]);
			expect(digest, `seed ${seed}`).to.equal(SimulatedDay.run(dayOptions(seed)).digest);
			total.granted += day.counts.granted;
			total.waits += day.counts.waits;
			total.refused += day.counts.refused;
		}

		expect(Math.min(total.granted, total.waits, total.refused), JSON.stringify(total)).to.be.above(100);
	});

	// Guards against costs that are compared in one way and shown in another.
	it('shows components that add up to the cost, from the cheapest upstream on', () => {
		let compared = 0;
		SimulatedDay.run({
			...dayOptions(1), onAsk(allocator, ask) {
				const costs = (allocator.explain(ask)?.upstreams ?? []).flatMap(({costMs, parts}) => costMs === undefined ? [] : [{costMs, parts: Object.values(parts!)}]);
				for (const {costMs, parts} of costs) {
					expect(parts.reduce((sum, part) => sum + part, 0)).to.be.closeTo(costMs, 1e-6);
					compared += 1;
				}

				expect(costs.map(({costMs}) => costMs)).to.deep.equal(costs.map(({costMs}) => costMs).toSorted((a, b) => a - b));
				return () => undefined;
			},
		});
		expect(compared).to.be.above(1000);
	});

	// Guards against explanations that spend a quota, or the tolerance beyond it, and against a wrong wait for it.
	it('tells the quota and the refusal for it, and spends nothing', () => {
		const explained = QuotaDay.run(true);
		expect(explained.decisions).to.deep.equal(QuotaDay.run(false).decisions);
		expect(explained.differences).to.deep.equal([]);
		expect(explained.decisions.filter(decision => decision.endsWith(ErrorKind.RateLimited)).length).to.be.above(20);
	});
});
