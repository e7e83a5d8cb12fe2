import {expect} from 'chai';
import {CallerRetries} from '../../src/allocation/caller-retries.js';

describe('returns', () => {
	it('find the objective of an earlier attempt by the moment at which its caller leaves', () => {
		const returns = CallerRetries.create();
		returns.note('a', {objectiveAt: 500, callerLeavesAt: 10_000}, 0);
		expect(returns.objectiveAt('a', 10_000)).to.equal(500);
		expect(returns.objectiveAt('a', 10_120)).to.equal(500);
		expect(returns.objectiveAt('a', 9880)).to.equal(500);
		expect(returns.objectiveAt('a', 10_400)).to.equal(undefined);
		expect(returns.objectiveAt('b', 10_000)).to.equal(undefined);
	});

	it('keep the earliest objective over several attempts', () => {
		const returns = CallerRetries.create();
		returns.note('a', {objectiveAt: 500, callerLeavesAt: 10_000}, 0);
		returns.note('a', {objectiveAt: returns.objectiveAt('a', 10_010)!, callerLeavesAt: 10_010}, 2000);
		expect(returns.objectiveAt('a', 9990)).to.equal(500);
	});

	it('forget requests whose callers have left, and the oldest of too many', () => {
		const returns = CallerRetries.create();
		returns.note('gone', {objectiveAt: 1, callerLeavesAt: 100}, 0);
		returns.note('next', {objectiveAt: 1, callerLeavesAt: 5000}, 200);
		expect(returns.objectiveAt('gone', 100)).to.equal(undefined);
		for (let index = 0; index < 25_000; index += 1) {
			returns.note(`many-${index}`, {objectiveAt: index, callerLeavesAt: 5000}, 300);
		}

		expect(returns.objectiveAt('next', 5000)).to.equal(undefined);
		expect(returns.objectiveAt('many-4000', 5000)).to.equal(undefined);
		expect(returns.objectiveAt('many-6000', 5000)).to.equal(6000);
	});
});
