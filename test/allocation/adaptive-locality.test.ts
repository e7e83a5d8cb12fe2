import {expect} from 'chai';
import {AdaptiveLocality, type LocalityView} from '../../src/allocation/adaptive-locality.js';
import {FixedLocality} from '../../src/allocation/locality.js';
import {Pace, PoolPace} from '../../src/allocation/pace.js';
import {StartPacer} from '../../src/allocation/start-pacer.js';
import {type HeldRequest, type TrackedUpstream} from '../../src/allocation/tracked-upstream.js';
import {UpstreamHealth} from '../../src/allocation/upstream-health.js';
import {Random} from '../../src/base/random.js';
import {hotCustomer, LocalitySimulation, swingingDemand} from '../../bench/locality-simulation.js';
import {createPlaceRequest} from '../support/place-request.js';

const SLOTS = 10;
const ask = createPlaceRequest('ask', {
	dataCentre: 'a', region: 'r', promptTokens: 3000, outputEvents: 10,
});
const heldRequest: HeldRequest = {
	ask, upstreamId: 'a', upstreamStartedAt: 1, grantedAt: 0, objectiveAt: 0, callerLeavesAt: 0, pendingPromptTokens: 0, hasFirst: true,
};

/** @returns An upstream of each of the data centres `a` and `b` of one region and `c` of another, with requests as given. */
function createView(held: {a: number; c: number}, changes: Partial<LocalityView> = {}): LocalityView & {readonly targets: Readonly<Record<'a' | 'b' | 'c', TrackedUpstream>>} {
	const create = (dataCentre: string, region: string, count: number): TrackedUpstream => ({
		upstream: {
			id: dataCentre, pool: 'advice', address: '10.0.0.1:1', dataCentre, region, slots: SLOTS, isLeaving: false, startedAt: 1,
		},
		pace: Pace.create(PoolPace.create(true)),
		standing: UpstreamHealth.create(),
		pacer: StartPacer.create(Random.create(1)),
		held: new Map(Array.from({length: count}, (_, index) => [`${dataCentre}-${index}`, heldRequest])),
		pendingPromptTokens: 0,
		externalLoad: 0,
		externalLoadAt: 0,
	});
	const targets = {a: create('a', 'r', held.a), b: create('b', 'r', 0), c: create('c', 's', held.c)};
	return {
		upstreams: new Map(Object.entries(targets)), hasStatements: true, isStandalone: false, targets, ...changes,
	};
}

describe('AdaptiveLocality', () => {
	// Guards against traffic that is paid for although the home data centre has room, and against a fall of the cost below today's.
	it('charges other data centres more while the home data centre has room', () => {
		const cost = (view: ReturnType<typeof createView>, to: 'a' | 'b' | 'c') => AdaptiveLocality.create(view).costMs(ask, view.targets[to].upstream, 0);
		const [idle, half, full] = [createView({a: 0, c: 0}), createView({a: 6, c: 0}), createView({a: SLOTS, c: 0})];
		expect([cost(idle, 'a'), cost(full, 'a')]).to.deep.equal([0, 0]);
		expect([cost(full, 'b'), cost(full, 'c')]).to.deep.equal([2, 24]);
		expect(cost(half, 'c')).to.be.within(25, 55);
		expect([cost(idle, 'b'), cost(idle, 'c')]).to.deep.equal([6, 56]);
	});

	// Guards against changed decisions where no upstream states its pace.
	it('costs as before without statements', () => {
		const view = createView({a: 0, c: 0}, {hasStatements: false});
		for (const {upstream} of Object.values(view.targets)) {
			expect(AdaptiveLocality.create(view).costMs(ask, upstream, 0)).to.equal(FixedLocality.create().costMs(ask, upstream));
		}
	});

	// Guards against requests that stay in a data centre that died, or whose upstreams are slow, failing or leaving.
	it('charges less where the home data centre is slow, and least where it is gone', () => {
		const view = createView({a: 0, c: 0});
		view.targets.a.pace.restore(3);
		expect(AdaptiveLocality.create(view).costMs(ask, view.targets.c.upstream, 0)).to.be.within(25, 45);
		view.targets.a.pace.restore(8);
		expect(AdaptiveLocality.create(view).costMs(ask, view.targets.c.upstream, 0)).to.equal(24);
		view.targets.a.upstream = {...view.targets.a.upstream, isLeaving: true};
		expect(AdaptiveLocality.create(view).costMs(ask, view.targets.c.upstream, 0)).to.equal(24);
	});

	// Guards against VMs that decide alone and all choose the same distant upstreams, which they know nothing of.
	it('keeps a standalone VM near home, however full that seems', () => {
		const view = createView({a: SLOTS, c: 0}, {isStandalone: true});
		expect(AdaptiveLocality.create(view).costMs(ask, view.targets.c.upstream, 0)).to.equal(56);
	});

	// Guards against requests that wait or are late at home while a neighbour has room: demand that swings with a phase of its own
	// in each data centre, a hot customer in one of them, and a data centre that dies.
	for (const [name, deployment] of [['swinging demand', swingingDemand], ['a hot customer', hotCustomer], ['a dead data centre', {...swingingDemand, deadDataCentre: 1}]] as const) {
		it(`serves as well as with constant costs, with less traffic between regions: ${name}`, () => {
			const before = LocalitySimulation.run(deployment, 5, {locality: FixedLocality.create()}, 12);
			const after = LocalitySimulation.run(deployment, 5, {}, 12);
			expect(after.onTime).to.be.above(before.onTime - 0.005);
			expect(after.worstWindows).to.be.above(before.worstWindows - 0.02);
			expect(after.regionBytes).to.be.below(0.9 * before.regionBytes);
		});
	}
});
