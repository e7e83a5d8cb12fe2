import {expect} from 'chai';
import {
	type ContentionPattern, ContentionSimulation, type Outcomes, worthOf,
} from '../../bench/contention-simulation.js';
import {type Allocator} from '../../src/allocation/allocator.js';
import {emptyReport, type PlaceRequest} from '../../src/allocation/allocation.js';
import {FairShares} from '../../src/allocation/fair-shares.js';
import {RankFloor} from '../../src/allocation/rank-floor.js';
import {ReturnSchedule} from '../../src/allocation/return-schedule.js';
import {globalScope, standaloneScope} from '../../src/allocation/scope.js';
import {Random} from '../../src/base/random.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {createPlaceRequest} from '../support/place-request.js';

const SEEDS = [1, 2, 3, 4];
const HOT = 1;
const hotSurge = {customer: HOT, factor: 6, forMs: 6000};

function results(pattern: ContentionPattern, isUnderPressure: boolean) {
	return SEEDS.map(seed => ContentionSimulation.create(pattern, seed, isUnderPressure).run());
}

function ratio(list: readonly Outcomes[], key: keyof Outcomes, of: keyof Outcomes = 'sent'): number {
	const sum = (name: keyof Outcomes) => list.reduce((total, outcomes) => total + outcomes[name], 0);
	return sum(key) / sum(of);
}

/** @returns The share of requests on time, of the customers other than the hot one. */
function othersOnTime(pattern: ContentionPattern, isUnderPressure: boolean): number {
	return ratio(results(pattern, isUnderPressure).flatMap(({byCustomer}) => byCustomer.filter((_, index) => index !== HOT)), 'onTime');
}

describe('fair shares', () => {
	const unequal = Array.from({length: 16}, (_, index) => (16 - index) / 136);
	const patterns: Readonly<Record<string, ContentionPattern>> = {
		'one of 16 unequal customers sends 6 times its usual load': {
			usualLoad: 0.75, shares: unequal, surges: [hotSurge], hasOneRank: true,
		},
		'one of 16 equal customers sends 6 times its usual load': {usualLoad: 0.85, surges: [hotSurge], hasOneRank: true},
		'a customer that sends 6 times its usual load retries immediately': {
			usualLoad: 0.75, shares: unequal, surges: [hotSurge], hasOneRank: true, retriesImmediately: HOT,
		},
	};
	for (const [name, pattern] of Object.entries(patterns)) {
		// Guards against a customer whose load makes the requests of others late or refused.
		it(`changes the share of the others' requests on time by less than 0.02 if ${name}`, () => {
			const usual = othersOnTime({...pattern, surges: [{factor: 1, forMs: 6000}]}, true);
			expect(othersOnTime(pattern, true)).to.be.above(usual - 0.02);
			expect(othersOnTime(pattern, false), 'without shares').to.be.below(usual - 0.02);
		}).timeout(20_000);
	}

	// Guards against refusals after a long wait, and against callers that return when there is no room either.
	it('refuses sooner in a peak of 2.5, refuses fewer requests again, and serves no fewer on time', () => {
		const pattern = {usualLoad: 0.65, shares: unequal, surges: [{factor: 2.5, forMs: 4000}]};
		const before = results(pattern, false);
		const after = results(pattern, true);
		const all = (list: typeof before) => list.map(result => result.all);
		expect(ratio(all(after), 'firstRefusalWaitMs', 'firstRefusals')).to.be.below(0.5 * ratio(all(before), 'firstRefusalWaitMs', 'firstRefusals'));
		expect(ratio(all(after), 'refusedAgain')).to.be.below(0.9 * ratio(all(before), 'refusedAgain'));
		expect(ratio(all(after), 'onTime')).to.be.above(ratio(all(before), 'onTime') - 0.005);
		for (const result of after) {
			// Floors: no kind, customer or size is left out.
			expect(Math.min(...[...result.byRank, ...result.byCustomer, result.smallest, result.largest].map(outcomes => worthOf(outcomes)))).to.be.above(0.6);
		}
	}).timeout(20_000);

	// Guards against a new leader, or a VM that decides alone, that holds against customers what another allocator granted.
	for (const [name, scope] of Object.entries({'a new leader': globalScope(false), 'a VM on its own': standaloneScope(8)})) {
		it(`starts with equal shares and keeps them at ${name}`, () => {
			const simulation = ContentionSimulation.create({
				usualLoad: 0.75, shares: unequal, surges: [hotSurge], hasOneRank: true,
			}, 1, true);
			simulation.clock.setTimer(6000, () => {
				simulation.allocator.restart(scope);
			});
			const {byCustomer} = simulation.run();
			const others = byCustomer.filter((_, index) => index !== HOT);
			// What waits and runs at the change is lost to the simulated callers; linked VMs ask again for what waits.
			expect(ratio(others, 'onTime')).to.be.above(0.95);
			expect(ratio(others, 'refusedAgain')).to.be.below(0.01);
		});
	}

	describe('at full engines', () => {
		let allocator: Allocator;
		let granted: string[];
		let refused: string[];

		function ask(id: string, customer: string, changes: Partial<PlaceRequest> = {}): void {
			allocator.ask(createPlaceRequest(id, {
				customer, objectiveMs: 5000, promptTokens: 1000, outputEvents: 20, ...changes,
			}), {
				grant() {
					granted.push(id);
				},
				refuse() {
					refused.push(id);
				},
			});
		}

		beforeEach(() => {
			({allocator} = ContentionSimulation.create({usualLoad: 0.5, surges: []}, 1, true));
			granted = [];
			refused = [];
			for (let index = 0; index < 150; index += 1) {
				ask(`r${index}`, 'c1');
			}
		});

		// Guards against customers that pay for what a lost VM or link had asked for.
		it('takes back the charge of waiting requests whose VM was lost', () => {
			expect(allocator.waitingCount).to.be.above(50);
			for (let index = 0; index < 150; index += 1) {
				allocator.withdraw(`r${index}`);
			}

			ask('next', 'c1');
			for (let index = 0; index < 8; index += 1) {
				ask(`other-${index}`, 'c2');
			}

			for (const id of granted.slice(0, 5)) {
				allocator.release(id, emptyReport(Ending.Cancelled));
			}

			expect(granted.slice(-5)).to.include('next');
		});

		// Guards against requests that failed at an upstream and are then refused, although their callers still wait.
		it('refuses a late request at once, but not one that returned or that an upstream had begun', () => {
			const late = {objectiveMs: 10, fingerprint: 'same'};
			ask('late', 'c1', late);
			expect(refused).to.deep.equal(['late']);
			ask('returned', 'c1', late);
			ask('begun', 'c1', {objectiveMs: 10, attempt: 2, isCounted: true});
			ask('continued', 'c1', {objectiveMs: 10, isContinuation: true});
			expect(refused).to.deep.equal(['late']);
		});
	});

	describe('virtual times', () => {
		const serviceMs = 1000;
		const quota = (perSecond: number) => ({
			perSecond, burst: 1, isInTokens: false, plainTokens: 1,
		});
		let shares: FairShares;

		beforeEach(() => {
			shares = FairShares.create();
			shares.setCustomers([
				{
					name: 'large', apiKeys: [], rank: undefined, quota: quota(30),
				},
				{
					name: 'small', apiKeys: [], rank: undefined, quota: quota(10),
				},
			]);
		});

		function add(id: string, customer: string, changes = {}): void {
			shares.add(createPlaceRequest(id, {customer, quotaCost: 1, ...changes}), serviceMs);
		}

		// Guards against a customer that saves up credit while idle, and then delays all others.
		it('starts an idle customer where the others are', () => {
			for (let index = 0; index < 20; index += 1) {
				add(`l${index}`, 'large');
				shares.noteGrant(`l${index}`);
			}

			add('waits', 'large');
			add('s0', 'small');
			add('s1', 'small');
			expect(shares.keyOf('s0')).to.be.within(shares.keyOf('waits') - 2, shares.keyOf('waits'));
			expect(shares.keyOf('s1')).to.be.above(shares.keyOf('waits'));
		});

		it('serves customers in proportion to their quotas', () => {
			const ids = ['large', 'small'].flatMap(customer => Array.from({length: 20}, (_, index) => `${customer}-${index}`));
			for (const id of ids) {
				add(id, id.split('-')[0]!);
			}

			const first = ids.toSorted((a, b) => shares.keyOf(a) - shares.keyOf(b)).slice(0, 16);
			expect(first.filter(id => id.startsWith('large')).length).to.be.within(11, 13);
		});

		// Guards against customers that pay for refused requests, and against retries that wait behind their customer's new requests.
		it('takes back the charge of a refused request, and puts a second attempt before new requests', () => {
			add('kept', 'small');
			const key = shares.nextKey(createPlaceRequest('x', {customer: 'small'}));
			add('refused', 'small');
			shares.remove('refused');
			expect(shares.nextKey(createPlaceRequest('x', {customer: 'small'}))).to.equal(key);
			add('retry', 'small', {attempt: 2});
			expect(shares.keyOf('retry')).to.be.below(key);
			shares.clear();
			expect(shares.leadMs(createPlaceRequest('x', {customer: 'small'})), 'after a change of the leader').to.equal(0);
		});
	});

	// Guards against a peak of important requests that leaves a less important kind without any answer on time.
	it('keeps a twentieth of the room for a rank that waits', () => {
		const floor = RankFloor.create();
		let floorGrants = 0;
		for (let grant = 0; grant < 1000; grant += 1) {
			const isCovered = floor.covers(2, 300);
			floorGrants += isCovered ? 1 : 0;
			floor.noteGrant(isCovered ? 2 : 0, isCovered ? 300 : 500, [0, 2]);
		}

		expect(floorGrants * 300 / (1000 * 500)).to.be.within(0.04, 0.06);
	});

	// Guards against refused callers that all come back at the same time, and against invitations that callers cannot use.
	it('spreads returns over the third of the remaining time that callers wait', () => {
		const returns = ReturnSchedule.create(Random.create(1));
		const delays = Array.from({length: 600}, (_, index) => returns.invite({
			fingerprint: `f${index}`, serviceMs: 500, remainingMs: 6000, earliestMs: 400, spareSlots: 10, now: 50_000,
		}));
		expect(Math.min(...delays)).to.be.at.least(350);
		expect(Math.max(...delays)).to.be.below(2000);
		for (let from = 500; from < 1700; from += 100) {
			expect(delays.filter(delay => delay >= from && delay < from + 100).length).to.be.within(20, 60);
		}

		expect(returns.take('f0')).to.equal(true);
		expect(returns.take('f0')).to.equal(false);
		expect(returns.size).to.equal(599);
	});
});
