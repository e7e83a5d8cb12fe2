import {expect} from 'chai';
import {Random} from '../../src/base/random.js';

describe('random', () => {
	// Seeds that are close must not give the same faults at the same moment.
	it('gives first numbers that are spread for seeds that are close', () => {
		const firsts = Array.from({length: 100}, (_, seed) => Random.create(seed).next());
		const inLowerHalf = firsts.filter(value => value < 0.5).length;
		expect(inLowerHalf).to.be.within(30, 70);
		expect(new Set(firsts).size).to.equal(100);
	});

	it('repeats its numbers for equal seeds', () => {
		const [a, b] = [Random.create(7), Random.create(7)];
		expect(Array.from({length: 5}, () => a.next())).to.deep.equal(Array.from({length: 5}, () => b.next()));
	});
});
