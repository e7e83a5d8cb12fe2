import {expect} from 'chai';
import {parseJson} from '../../src/base/parse-json.js';
import {type AgedLimit, UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {encodeLine} from '../../src/link/link-network.js';

const boot = {id: 'a', startedAt: 1};
const limit = (perSecond: number | undefined, startedAt = 1) => ({id: 'a', startedAt, perSecond});

describe('limits stated by upstreams', () => {
	let limits: UpstreamLimits;

	beforeEach(() => {
		limits = UpstreamLimits.create();
	});

	it('apply a lower limit at once, whenever the request was sent', () => {
		expect(limits.note(limit(5), 90, 100)).to.equal(true);
		expect(limits.note(limit(2), 80, 110)).to.equal(true);
		expect(limits.perSecond(boot)).to.equal(2);
		expect(limits.note(limit(2), 120, 130)).to.equal(false);
	});

	// Guards against a limit that is lifted by a response which the upstream sent before it stated the limit.
	it('raise or end a limit only by the response to a request that was sent after the limit became known', () => {
		limits.note(limit(2), 90, 100);
		expect(limits.note(limit(undefined), 95, 110)).to.equal(false);
		expect(limits.note(limit(3), 100, 110)).to.equal(false);
		expect(limits.perSecond(boot)).to.equal(2);
		expect(limits.note(limit(3), 101, 110)).to.equal(true);
		expect(limits.note(limit(undefined), 111, 120)).to.equal(true);
		expect(limits.perSecond(boot)).to.equal(undefined);
		expect(limits.size).to.equal(0);
	});

	it('belong to one start of the upstream', () => {
		limits.note(limit(2), 90, 100);
		expect(limits.perSecond({id: 'a', startedAt: 2})).to.equal(undefined);
		limits.note(limit(7, 2), 110, 120);
		expect(limits.perSecond({id: 'a', startedAt: 2})).to.equal(7);
		// A late response of the earlier start does not replace the limit of the later one.
		expect(limits.note(limit(1), 110, 130)).to.equal(false);
		expect(limits.perSecond({id: 'a', startedAt: 2})).to.equal(7);
	});

	it('are merged by their age, which also tells that a limit has ended', () => {
		limits.note(limit(2), 990, 1000);
		expect(limits.merge([{...limit(1), ageMs: 60}], 1050)).to.deep.equal([]);
		expect(limits.merge([{...limit(1), ageMs: 20}], 1050)).to.have.length(1);
		expect(limits.perSecond(boot)).to.equal(1);
		expect(limits.merge([{...limit(undefined), ageMs: 10}], 1060)).to.have.length(1);
		expect(limits.merge([{...limit(1), ageMs: 40}], 1070)).to.deep.equal([]);
		expect(limits.perSecond(boot)).to.equal(undefined);
	});

	it('are taken from the leader whatever their age, but for an earlier start of the upstream', () => {
		limits.note(limit(2, 5), 990, 1000);
		expect(limits.replace([{...limit(4, 5), ageMs: 500}], 1010)).to.have.length(1);
		expect(limits.perSecond({id: 'a', startedAt: 5})).to.equal(4);
		expect(limits.replace([{...limit(1, 4), ageMs: 0}], 1020)).to.deep.equal([]);
		expect(limits.perSecond({id: 'a', startedAt: 5})).to.equal(4);
	});

	it('reach another VM with their age, those that have ended only by ID', () => {
		limits.note(limit(2), 990, 1000);
		limits.note({id: 'b', startedAt: 1, perSecond: 3}, 990, 1000);
		limits.note({id: 'b', startedAt: 1, perSecond: undefined}, 1001, 1010);
		expect(limits.list(1500)).to.deep.equal([{...limit(2), ageMs: 500}]);
		const other = UpstreamLimits.create();
		other.note({id: 'b', startedAt: 1, perSecond: 3}, 90, 100);
		other.replace(parseJson(encodeLine(limits.get(['a', 'b', 'unknown'], 1500))) as AgedLimit[], 600);
		expect(other.perSecond(boot)).to.equal(2);
		expect(other.perSecond({id: 'b', startedAt: 1})).to.equal(undefined);
	});

	it('include a limit of zero', () => {
		limits.note(limit(0), 90, 100);
		expect(limits.perSecond(boot)).to.equal(0);
		expect(limits.size).to.equal(1);
	});
});
