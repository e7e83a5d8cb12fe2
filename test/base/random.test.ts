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

	it('samples different elements, and all of a short list', () => {
		const random = Random.create(3);
		const list = ['a', 'b', 'c', 'd', 'e', 'f'];
		const seen = new Set<string>();
		for (let draw = 0; draw < 50; draw += 1) {
			const sample = random.sample(list, 2);
			expect(new Set(sample).size).to.equal(2);
			for (const item of sample) {
				seen.add(item);
			}
		}

		expect([...seen].sort((a, b) => a < b ? -1 : 1)).to.deep.equal(list);
		expect(random.sample(list, 9)).to.have.members(list);
	});
});
