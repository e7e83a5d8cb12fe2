import {expect} from 'chai';
import {CallerRetries} from '../../src/allocation/caller-retries.js';

describe('caller retries', () => {
	it('find the objective of an earlier attempt by the moment at which its caller disconnects', () => {
		const retries = CallerRetries.create();
		retries.note('a', {objectiveAt: 500, callerLeavesAt: 10_000}, 0);
		expect(retries.objectiveAt('a', 10_000)).to.equal(500);
		expect(retries.objectiveAt('a', 10_120)).to.equal(500);
		expect(retries.objectiveAt('a', 9880)).to.equal(500);
		expect(retries.objectiveAt('a', 10_400)).to.equal(undefined);
		expect(retries.objectiveAt('b', 10_000)).to.equal(undefined);
	});

	it('keep the earliest objective across several attempts', () => {
		const retries = CallerRetries.create();
		retries.note('a', {objectiveAt: 500, callerLeavesAt: 10_000}, 0);
		retries.note('a', {objectiveAt: retries.objectiveAt('a', 10_010)!, callerLeavesAt: 10_010}, 2000);
		expect(retries.objectiveAt('a', 9990)).to.equal(500);
	});

	it('forget requests whose callers have disconnected, and the oldest ones beyond the limit', () => {
		const retries = CallerRetries.create();
		retries.note('gone', {objectiveAt: 1, callerLeavesAt: 100}, 0);
		retries.note('next', {objectiveAt: 1, callerLeavesAt: 5000}, 200);
		expect(retries.objectiveAt('gone', 100)).to.equal(undefined);
		for (let index = 0; index < 25_000; index += 1) {
			retries.note(`many-${index}`, {objectiveAt: index, callerLeavesAt: 5000}, 300);
		}

		expect(retries.objectiveAt('next', 5000)).to.equal(undefined);
		expect(retries.objectiveAt('many-4000', 5000)).to.equal(undefined);
		expect(retries.objectiveAt('many-6000', 5000)).to.equal(6000);
	});
});
