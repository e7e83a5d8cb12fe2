import {expect} from 'chai';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';

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

	it('include a limit of zero', () => {
		limits.note(limit(0), 90, 100);
		expect(limits.perSecond(boot)).to.equal(0);
		expect(limits.size).to.equal(1);
	});
});
