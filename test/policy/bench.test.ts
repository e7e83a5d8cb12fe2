import {expect} from 'chai';
import {createStream} from '../../bench/policy/streams.js';
import {simulate} from '../../bench/policy/simulation.js';
import {workloads} from '../../bench/policy/workload.js';

describe('policy bench', () => {
	it('gives each upstream an independent random stream (guards against simultaneous faults at all upstreams)', () => {
		const first = Array.from({length: 40}, (_, index) => createStream(1, `faults ${index}`).next());
		const low = first.filter(value => value < 0.5).length;
		expect(low).to.be.within(8, 32);
		expect(new Set(first).size).to.equal(40);
	});

	it('reproduces a run exactly without violations (guards against unseeded randomness and priority inversions)', () => {
		const runs = [1, 2].map(() => simulate({workload: workloads.tearooms!, seed: 3, policy: 'policy'}));
		const [first, second] = runs.map(({measures, prefill}) => JSON.stringify([measures.tiers, prefill.total, prefill.repeated]));
		expect(first).to.equal(second);
		expect(runs[0]!.violations).to.equal(0);
		expect(runs[0]!.measures.inversions(false)).to.equal(0);
	});
});
