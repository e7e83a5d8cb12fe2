import {expect} from 'chai';
import {defaultLinkCosts} from '../../src/allocation/adaptive-locality.js';
import {emptyReport, type PlaceRequest} from '../../src/allocation/allocation.js';
import {Allocator} from '../../src/allocation/allocator.js';
import {LocalityRule, type LocalitySettings} from '../../src/allocation/locality-rule.js';
import {type PlacementFilter} from '../../src/allocation/placement-filter.js';
import {standaloneScope} from '../../src/allocation/scope.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {type Upstream} from '../../src/gateway/upstream-list.js';
import {createPlaceRequest} from '../support/place-request.js';

/** Longer than any ejection, in ms. */
const EJECTION_END_MS = 60_000;

function makeUpstream(id: string, dataCentre: string, region: string): Upstream {
	return {
		id, pool: 'advice', address: '10.0.0.1:80', dataCentre, region, slots: 1, isLeaving: false, startedAt: 0,
	};
}

const home = makeUpstream('home', 'a', 'r');
const neighbour = makeUpstream('neighbour', 'b', 'r');
const distant = makeUpstream('distant', 'c', 's');

describe('rules of leaving the data centre', () => {
	let clock: VirtualClock;
	let allocator: Allocator;
	let granted: Map<string, string>;

	function start(settings: LocalitySettings | undefined, upstreams: readonly Upstream[], filters: readonly PlacementFilter[] = []): void {
		clock = VirtualClock.create();
		clock.advance(100_000);
		granted = new Map();
		allocator = Allocator.create({
			clock,
			random: Random.create(1),
			nodeId: 'test',
			repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000},
			quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000},
			limits: UpstreamLimits.create(),
			localitySettings: settings,
			filters,
		});
		allocator.setUpstreams({changed: upstreams, removed: []});
	}

	function ask(id: string, changes: Partial<PlaceRequest> = {}): string | undefined {
		allocator.ask(createPlaceRequest(id, changes), {
			grant(upstreamId) {
				granted.set(id, upstreamId);
			},
			refuse: () => undefined,
		});
		return granted.get(id);
	}

	const withRule = (rule: LocalityRule): LocalitySettings => ({rule, links: defaultLinkCosts});

	// Guards against `never` letting requests out of a data centre that is merely full, and against leaving them there afterwards.
	it('`never` keeps requests at home while an upstream there is usable', () => {
		start(withRule(LocalityRule.Never), [home, neighbour, distant]);
		expect(ask('first')).to.equal('home');
		expect(ask('second')).to.equal(undefined);
		allocator.release('first', {...emptyReport(Ending.Answered), firstMs: 50});
		clock.advance(100);
		expect(granted.get('second')).to.equal('home');
	});

	// Guards against requests that are left unserved because their data centre has no upstream, or only ones that are leaving.
	it('`never` lets requests leave if no upstream at home is listed, or all are leaving', () => {
		start(withRule(LocalityRule.Never), [neighbour, distant]);
		expect(ask('first')).to.equal('neighbour');
		start(withRule(LocalityRule.Never), [{...home, isLeaving: true}, distant]);
		expect(ask('first')).to.equal('distant');
	});

	// Guards against requests of a dead data centre that wait for the failures of its upstreams, one at a time, after an ejection.
	it('`never` lets requests leave a data centre whose upstreams are ejected or have not answered since', () => {
		start(withRule(LocalityRule.Never), [home, neighbour]);
		ask('first');
		allocator.release('first', emptyReport(Ending.NotConnected));
		clock.advance(100);
		expect(ask('second')).to.equal('neighbour');
		allocator.release('second', {...emptyReport(Ending.Answered), firstMs: 50});
		clock.advance(EJECTION_END_MS);
		expect([ask('third'), ask('fourth')]).to.have.members(['home', 'neighbour']);
	});

	// Guards against a retry that waits for the upstream that failed it, and against a standalone VM that serves nothing.
	it('`never` lets a request leave that all upstreams at home have failed, also on a standalone VM', () => {
		start(withRule(LocalityRule.Never), [home, neighbour]);
		allocator.restart(standaloneScope(1));
		expect(ask('first', {excluded: ['home']})).to.equal('neighbour');
		expect(ask('second')).to.equal('home');
	});

	// Guards against rules that are mixed up, and against a default that decides differently from the constants without statements.
	it('`free` uses the idle upstream elsewhere, `fixed` and the default prefer home by the constants', () => {
		const slowHome = {...home, id: 'busy', slots: 2};
		const placed = [undefined, ...Object.values(LocalityRule)].map(rule => {
			start(rule === undefined ? undefined : withRule(rule), [distant, slowHome]);
			return ask('first');
		});
		expect(placed).to.deep.equal(['busy', 'busy', 'busy', 'busy', 'distant']);
	});
});
