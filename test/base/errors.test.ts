import {expect} from 'chai';
import {
	errorAnswers, ErrorKind, Ran, ranOf,
} from '../../src/base/errors.js';

const unkeyed = {isKeyed: false, holdsClaim: false, isFirstAttempt: false};
const keyed = {...unkeyed, isKeyed: true};

describe('errors', () => {
	// An earlier attempt with the same key may have run on a VM that crashed, in which case "not run" would be wrong.
	it('does not report a keyed request as not run before its claim is held', () => {
		for (const kind of Object.values(ErrorKind)) {
			if (kind !== ErrorKind.KeyConflict) {
				expect(ranOf(kind, keyed), kind).not.to.equal(Ran.No);
			}
		}
	});

	it('reports not run for an unkeyed request, a held claim and a declared first attempt', () => {
		const {Overloaded} = ErrorKind;
		expect(ranOf(Overloaded, unkeyed)).to.equal(Ran.No);
		expect(ranOf(Overloaded, {...keyed, holdsClaim: true})).to.equal(Ran.No);
		expect(ranOf(Overloaded, {...keyed, isFirstAttempt: true})).to.equal(Ran.No);
	});

	it('never reports an unknown outcome as known', () => {
		for (const kind of [ErrorKind.UpstreamLost, ErrorKind.OutcomeUnknown, ErrorKind.AnswerIncomplete]) {
			expect(ranOf(kind, {...keyed, holdsClaim: true, isFirstAttempt: true})).to.equal(Ran.Unknown);
		}
	});

	it('has a default Retry-After for each kind of refusal for lack of capacity', () => {
		for (const kind of [ErrorKind.Overloaded, ErrorKind.DeadlineUnreachable, ErrorKind.RateLimited, ErrorKind.NoUpstream]) {
			expect(errorAnswers[kind].retryAfterMs, kind).to.be.a('number');
		}
	});
});
