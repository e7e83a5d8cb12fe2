import {expect} from 'chai';
import {Allocator} from '../../src/allocation/allocator.js';
import {type PlaceRequest, emptyReport, type HeldPlace} from '../../src/allocation/allocation.js';
import {globalScope, standaloneScope} from '../../src/allocation/scope.js';
import {ErrorKind} from '../../src/base/errors.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {type Upstream} from '../../src/gateway/upstream-list.js';
import {findLimitExcess, type LimitSpan} from '../../soak/limit-rule.js';
import {createPlaceRequest} from '../support/place-request.js';

/** Time from the first statement of a limit until it must hold, in ms; the shortest of the example deployments. */
const CONTACT_MS = 3000;
const SERVICE_MS = 40;
const slots = 4;

function makeUpstream(id: string, changes: Partial<Upstream> = {}): Upstream {
	return {
		id, pool: 'advice', address: `${id}:80`, dataCentre: 'a', region: 'r', slots, isLeaving: false, startedAt: 1, ...changes,
	};
}

type Refusal = {readonly kind: ErrorKind; readonly retryAfterMs: number; readonly afterMs: number};

/** One allocator with the upstreams `limited` and, unless they are removed, `other-1` and `other-2`. */
class Vm {
	readonly limits = UpstreamLimits.create();
	readonly allocator: Allocator;
	readonly grantTimes = new Map<string, number[]>();
	readonly refusals: Refusal[] = [];
	readonly #clock: VirtualClock;
	readonly #name: string;
	#count = 0;

	constructor(clock: VirtualClock, name: string, seed: number) {
		this.#clock = clock;
		this.#name = name;
		this.allocator = Allocator.create({
			clock, random: Random.create(seed), nodeId: name, repeatBounds: {ratio: 0.2, slack: 1000, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: this.limits,
		});
		this.allocator.setUpstreams({changed: ['limited', 'other-1', 'other-2'].map(id => makeUpstream(id)), removed: []});
	}

	limit(perSecond: number | undefined, id = 'limited', startedAt = 1): void {
		const now = this.#clock.now();
		this.limits.note({id, startedAt, perSecond}, now, now + 0.001);
	}

	ask(changes: Partial<PlaceRequest> = {}): string {
		const id = `${this.#name}-${this.#count}`;
		this.#count += 1;
		const askedAt = this.#clock.now();
		this.allocator.ask(createPlaceRequest(id, changes), {
			grant: upstreamId => {
				this.grantTimes.set(upstreamId, [...this.grantsAt(upstreamId), this.#clock.now()]);
				this.#clock.setTimer(SERVICE_MS, () => {
					this.allocator.release(id, emptyReport(Ending.Answered));
				});
			},
			refuse: (kind, retryAfterMs) => {
				this.refusals.push({kind, retryAfterMs, afterMs: this.#clock.now() - askedAt});
			},
		});
		return id;
	}

	/** Asks at a constant rate for a time. */
	load(perSecond: number, durationMs: number, changes: Partial<PlaceRequest> = {}): void {
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1000 / perSecond) {
			this.ask(changes);
			this.#clock.advance(1000 / perSecond);
		}
	}

	grantsAt(upstreamId: string): number[] {
		return this.grantTimes.get(upstreamId) ?? [];
	}

	grantsIn(upstreamId: string, from: number, until: number): number {
		return this.grantsAt(upstreamId).filter(at => at >= from && at < until).length;
	}
}

describe('allocation at upstreams that state a limit', () => {
	let clock: VirtualClock;
	let vm: Vm;

	beforeEach(() => {
		clock = VirtualClock.create();
		clock.advance(100_000);
		vm = new Vm(clock, 'vm', 1);
	});

	function expectWithinLimit(spans: readonly LimitSpan[], arrivals = vm.grantsAt('limited')): void {
		expect(findLimitExcess(arrivals, spans, {contactMs: CONTACT_MS})).to.equal(undefined);
	}

	function testConstantLimit(perSecond: number): void {
		vm.load(Math.max(15, perSecond * 4), 5000);
		const from = clock.now();
		vm.limit(perSecond);
		vm.load(Math.max(15, perSecond * 4), 24_000);
		expectWithinLimit([{perSecond, from, until: clock.now()}]);
		const steadyMs = 20_000;
		const allowed = perSecond * steadyMs / 1000;
		expect(vm.grantsIn('limited', clock.now() - steadyMs, clock.now())).to.be.within(Math.floor(0.9 * allowed), Math.ceil(1.05 * allowed) + 1);
		expect(vm.refusals).to.deep.equal([]);
	}

	// Guards against a limit that restrains only later requests: the window that ends 3 s after the statement includes the
	// last second before it.
	for (const perSecond of [0.3, 1.4, 2, 7, 40]) {
		it(`sends an upstream at most ${perSecond} requests a second, counting those sent before, and uses all of them`, () => {
			testConstantLimit(perSecond);
		});
	}

	it('uses the upstream fully as soon as the limit has ended', () => {
		vm.limit(2);
		vm.load(30, 6000);
		vm.limit(undefined);
		const endedAt = clock.now();
		vm.load(30, 3000);
		expect(vm.grantsIn('limited', endedAt, clock.now())).to.be.above(20);
	});

	it('follows a limit that rises and falls', () => {
		const spans: LimitSpan[] = [];
		for (const perSecond of [2, 10, 0.5, 5, 1]) {
			const from = clock.now();
			vm.limit(perSecond);
			vm.load(60, 9000);
			spans.push({perSecond, from, until: clock.now()});
			expect(vm.grantsIn('limited', from + 4500, clock.now()), String(perSecond)).to.be.within(Math.floor(0.85 * perSecond * 4.5), Math.ceil(perSecond * 4.5) + 1);
		}

		expectWithinLimit(spans);
	});

	it('sends an upstream that takes none only single requests, which show whether the limit has ended', () => {
		for (const perSecond of [0, 1e-12]) {
			const from = clock.now();
			vm.limit(perSecond);
			vm.load(10, 60_000);
			expect(vm.grantsIn('limited', from, clock.now())).to.be.within(4, 7);
		}
	});

	it('is not restrained by a limit that is far beyond the load', () => {
		vm.limit(1_000_000);
		const from = clock.now();
		vm.load(60, 3000);
		expect(vm.grantsIn('limited', from, clock.now())).to.be.above(30);
	});

	it('does not apply the limit of an earlier start of the upstream', () => {
		vm.limit(0);
		vm.load(30, 1000);
		vm.allocator.setUpstreams({changed: [makeUpstream('limited', {startedAt: 2})], removed: []});
		const from = clock.now();
		vm.load(30, 3000);
		expect(vm.grantsIn('limited', from, clock.now())).to.be.above(20);
	});

	it('applies the limit again when the upstream is listed anew without a restart', () => {
		vm.limit(1);
		vm.allocator.setUpstreams({changed: [], removed: ['limited']});
		vm.allocator.setUpstreams({changed: [makeUpstream('limited')], removed: []});
		const from = clock.now();
		vm.load(30, 10_000);
		expectWithinLimit([{perSecond: 1, from, until: clock.now()}]);
	});

	it('counts repeats and resumed streams', () => {
		vm.limit(1);
		const from = clock.now();
		vm.load(30, 10_000, {attempt: 2, excluded: ['other-1']});
		expectWithinLimit([{perSecond: 1, from, until: clock.now()}]);
		expect(vm.grantsAt('limited')).to.have.length.above(5);
	});

	it('uses each of several limited upstreams up to its limit and sends the rest to the others', () => {
		vm.limit(1.4);
		vm.limit(6, 'other-1');
		const from = clock.now();
		vm.load(100, 20_000);
		for (const [id, perSecond] of [['limited', 1.4], ['other-1', 6]] as const) {
			expectWithinLimit([{perSecond, from, until: clock.now()}], vm.grantsAt(id));
			expect(vm.grantsIn(id, from, clock.now()), id).to.be.above(0.9 * perSecond * 20);
		}

		expect(vm.grantsAt('other-2').length).to.be.above(80 * 20);
		expect(vm.refusals.length).to.be.below(0.1 * 100 * 20);
	});

	it('restrains requests that were waiting when the limit became known', () => {
		vm.allocator.setUpstreams({changed: [], removed: ['other-1', 'other-2']});
		for (let count = 0; count < 40; count += 1) {
			vm.ask();
		}

		const from = clock.now();
		vm.limit(2);
		clock.advance(5000);
		expectWithinLimit([{perSecond: 2, from, until: clock.now()}]);
		expect(vm.grantsAt('limited').length + vm.refusals.length).to.equal(40);
	});

	describe('when all upstreams of a service state one', () => {
		function limitAll(perSecond: number): void {
			for (const id of ['limited', 'other-1', 'other-2']) {
				vm.limit(perSecond, id);
			}
		}

		it('refuses at once, with the time after which a request has a chance, what they do not take', () => {
			limitAll(0);
			clock.advance(60_000);
			vm.load(20, 2000);
			expect(vm.refusals).to.have.length.above(30);
			for (const {kind, retryAfterMs, afterMs} of vm.refusals) {
				expect(kind).to.equal(ErrorKind.Overloaded);
				expect(afterMs).to.equal(0);
				expect(retryAfterMs).to.be.within(500, 13_000);
			}
		});

		it('uses each up to its limit and lets only requests wait that have a chance', () => {
			limitAll(4);
			vm.load(40, 5000);
			const from = clock.now();
			vm.load(40, 10_000);
			let served = 0;
			for (const id of ['limited', 'other-1', 'other-2']) {
				served += vm.grantsIn(id, from, clock.now());
				expectWithinLimit([{perSecond: 4, from: from - 5000, until: clock.now()}], vm.grantsAt(id));
			}

			expect(served).to.be.above(0.9 * 4 * 3 * 10);
			const late = vm.refusals.filter(({afterMs}) => afterMs > 0);
			expect(late.length).to.be.below(0.1 * vm.refusals.length);
			expect(vm.refusals).to.have.length.above(200);
		});

		it('grants the few places by rank', () => {
			limitAll(4);
			vm.load(40, 5000);
			const granted: number[] = [];
			vm.allocator.onDecision = ({ask, upstreamId}) => {
				if (upstreamId !== undefined) {
					granted.push(ask.rank);
				}
			};

			for (let second = 0; second < 8; second += 1) {
				vm.load(10, 500, {rank: 0});
				vm.load(40, 500, {rank: 2});
			}

			expect(granted.filter(rank => rank === 0).length).to.be.above(30);
		});
	});

	describe('while several allocators decide', () => {
		const vmCount = 195;

		it('keeps the limit over hundreds of standalone VMs, whose turns do not add up after a quiet time', () => {
			const vms = Array.from({length: vmCount}, (_, index) => new Vm(clock, `vm-${index}`, index + 1));
			const from = clock.now();
			for (const each of vms) {
				each.allocator.restart(standaloneScope(vmCount));
				each.limit(2);
			}

			clock.advance(120_000);
			for (let round = 0; round < 60; round += 1) {
				for (const each of vms) {
					each.ask();
				}

				clock.advance(200);
			}

			const arrivals = vms.flatMap(each => each.grantsAt('limited')).toSorted((a, b) => a - b);
			expectWithinLimit([{perSecond: 2, from, until: clock.now()}], arrivals);
			expect(arrivals).to.have.length.above(4);
		});

		it('keeps the limit over a leader that is replaced again and again and the VMs that decide alone in between', () => {
			const perSecond = 1.5;
			const vms = Array.from({length: 8}, (_, index) => new Vm(clock, `vm-${index}`, index + 1));
			const from = clock.now();
			for (const each of vms) {
				each.limit(perSecond);
			}

			for (let change = 0; change < 12; change += 1) {
				for (const each of vms) {
					each.allocator.restart(standaloneScope(vms.length));
				}

				for (let round = 0; round < 8; round += 1) {
					for (const each of vms) {
						each.load(100, 10);
					}
				}

				const leader = vms[change % vms.length]!;
				leader.allocator.restart(globalScope(false));
				leader.load(40, 900 + (change * 100));
			}

			expectWithinLimit([{perSecond, from, until: clock.now()}], vms.flatMap(each => each.grantsAt('limited')).toSorted((a, b) => a - b));
		});

		it('keeps the limit when two leaders share the VMs', () => {
			const [first, second] = [new Vm(clock, 'first', 1), new Vm(clock, 'second', 2)];
			const from = clock.now();
			for (const each of [first, second]) {
				each.allocator.restart(globalScope(false));
				each.limit(20);
			}

			second.allocator.setShare(0.25);
			for (let round = 0; round < 300; round += 1) {
				first.load(200, 20);
				second.load(200, 20);
			}

			expectWithinLimit([{perSecond: 20, from, until: clock.now()}], [...first.grantsAt('limited'), ...second.grantsAt('limited')].toSorted((a, b) => a - b));
		});

		it('counts the requests that the previous leader granted and that are still running', () => {
			const places: HeldPlace[] = Array.from({length: 4}, (_, index) => ({
				ask: createPlaceRequest(`held-${index}`, {remainingMs: 60_000}), upstreamId: 'limited', heldMs: 100, hasFirst: true,
			}));
			vm.allocator.setUpstreams({changed: [makeUpstream('limited', {slots: 40})], removed: []});
			vm.allocator.restart(globalScope(false));
			vm.allocator.adopt(places);
			// A VM that links again reports the same places.
			vm.allocator.adopt(places);
			vm.limit(1);
			const from = clock.now();
			vm.load(40, 8000);
			const arrivals = [...places.map(() => from - 100), ...vm.grantsAt('limited')];
			expectWithinLimit([{perSecond: 1, from, until: clock.now()}], arrivals);
			expect(vm.grantsIn('limited', from, clock.now())).to.be.within(4, 8);
		});
	});
});
