import {expect} from 'chai';
import {Random} from '../../src/base/random.js';

describe('random', () => {
	// Randomised runs with adjacent seeds must not inject the same faults at the same time.
	it('gives widely spread first numbers for adjacent seeds', () => {
		const firstValues = Array.from({length: 100}, (_, seed) => Random.create(seed).next());
		const inLowerHalf = firstValues.filter(value => value < 0.5).length;
		expect(inLowerHalf).to.be.within(30, 70);
		expect(new Set(firstValues).size).to.equal(100);
	});

	it('gives equal sequences for equal seeds', () => {
		const [a, b] = [Random.create(7), Random.create(7)];
		expect(Array.from({length: 5}, () => a.next())).to.deep.equal(Array.from({length: 5}, () => b.next()));
	});

	it('samples distinct elements, and all elements of a short list', () => {
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
