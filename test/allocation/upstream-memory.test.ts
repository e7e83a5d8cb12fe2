import {expect} from 'chai';
import {type PlaceRequest} from '../../src/allocation/allocation.js';
import {Allocator} from '../../src/allocation/allocator.js';
import {globalScope} from '../../src/allocation/scope.js';
import {ErrorKind} from '../../src/base/errors.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {RoutingTable} from '../../src/gateway/routing-table.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {createPlaceRequest} from '../support/place-request.js';

const MEMORY_TOKENS = 10_000;

function createAllocator(isUnderPressure: boolean): {allocator: Allocator; ask: (id: string, changes: Partial<PlaceRequest>) => string | undefined} {
	const allocator = Allocator.create({
		clock: VirtualClock.create(), random: Random.create(1), nodeId: 'test', repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: UpstreamLimits.create(), isUnderPressure,
	});
	allocator.setTable(RoutingTable.create({
		version: 1,
		routes: [],
		customers: [],
		pools: [{
			name: 'advice', slots: 4, maxConnections: 100, isEngine: true, tokensPerEvent: 10, memoryTokens: MEMORY_TOKENS,
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		hasCustomers: false,
	}));
	allocator.setUpstreams({
		changed: ['x', 'y'].map(id => ({
			id, pool: 'advice', address: '10.0.0.1:80', dataCentre: 'a', region: 'r', slots: 4, isLeaving: false, startedAt: 0,
		})),
		removed: [],
	});
	return {
		allocator,
		ask(id, changes) {
			let decision: string | undefined;
			allocator.ask(createPlaceRequest(id, changes), {
				grant(upstreamId) {
					decision = upstreamId;
				},
				refuse(kind) {
					decision = kind;
				},
			});
			return decision;
		},
	};
}

describe('memory of upstreams', () => {
	const half = {promptTokens: 4000, outputEvents: 10, maxOutputTokens: 500};

	// Guards against upstreams that crash under a few large requests while they have free slots, also at a new leader.
	it('is not filled beyond nine tenths, whichever allocator placed the requests', () => {
		const {allocator, ask} = createAllocator(true);
		const upstreams = ['a', 'b', 'c', 'd'].map(id => ask(id, half));
		expect(upstreams).to.have.members(['x', 'x', 'y', 'y']);
		expect(ask('waiting', half)).to.equal(undefined);
		expect(allocator.statistics[0]!.memoryFillRatio).to.be.closeTo(0.9, 0.001);
		allocator.restart(globalScope(false));
		allocator.adopt(['a', 'b', 'c'].map((id, index) => ({
			ask: createPlaceRequest(id, half), upstreamId: index < 2 ? 'x' : 'y', heldMs: 10, hasFirst: true,
		})));
		expect(ask('e', half)).to.equal('y');
		expect(ask('f', half)).to.equal(undefined);
	});

	// Guards against a request that crashes one upstream after another, and against refusals of those that a long maximum only seems to make too large.
	it('refuses a request that fits nowhere at once, and runs one alone that fits by its estimate', () => {
		const {ask} = createAllocator(true);
		expect(ask('large', {promptTokens: 9001, maxOutputTokens: 0})).to.equal(ErrorKind.Overloaded);
		expect(ask('long', {promptTokens: 1000, outputEvents: 10, maxOutputTokens: 20_000})).to.equal('x');
		expect(['a', 'b', 'c'].map(id => ask(id, {...half, excluded: ['y']}))).to.deep.equal([undefined, undefined, undefined]);
	});

	it('is not accounted for unless the deployment is under pressure', () => {
		expect(createAllocator(false).ask('large', {promptTokens: 9001})).to.equal('x');
	});
});
