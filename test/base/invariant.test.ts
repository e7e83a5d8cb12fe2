import {expect} from 'chai';
import {InvariantViolation, Invariants, PromiseId} from '../../src/base/invariant.js';

describe('invariants', () => {
	it('throws on a violation if configured to', () => {
		const invariants = Invariants.create({throwOnViolation: true});
		expect(() => invariants.check(PromiseId.BookingOnce, false, 'ran twice')).to.throw(InvariantViolation, 'P5: ran twice');
	});

	// A violation in production must fail one request, not the process.
	it('counts and reports a violation in production without throwing', () => {
		const reported: string[] = [];
		const invariants = Invariants.create({
			throwOnViolation: false,
			onViolation(promise, detail) {
				reported.push(`${promise} ${detail}`);
			},
		});
		expect(invariants.check(PromiseId.TierOrder, true, 'unused')).to.equal(true);
		expect(invariants.check(PromiseId.TierOrder, false, () => 'inverted')).to.equal(false);
		expect(reported).to.deep.equal(['P2 inverted']);
		expect(invariants.counts.get(PromiseId.TierOrder)).to.deep.equal({evaluated: 2, violated: 1});
	});
});
