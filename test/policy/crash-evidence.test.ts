import {expect} from 'chai';
import fc from 'fast-check';
import {ErrorKind} from '../../src/base/errors.js';
import {Quarantine, Standing} from '../../src/policy/quarantine.js';
import {WorkOutcome} from '../../src/policy/scheduler.js';
import {makeScheduler, makeView, makeWork} from './support.js';

/** Creates a scheduler and a function that runs a round of requests; `outcomeOf` returns the outcome of each at its upstream. */
function makeRoundRunner(upstreamIds: readonly string[]) {
	const setup = makeScheduler();
	const {scheduler, clock, started} = setup;
	scheduler.setUpstreams(upstreamIds.map(id => makeView(id)));
	const run = (fingerprints: readonly string[], outcomeOf: (fingerprint: string, upstreamId: string) => WorkOutcome) => {
		const first = started.length;
		for (const fingerprint of fingerprints) {
			scheduler.submit(makeWork(`${fingerprint} ${clock.now()}`, {fingerprint, deadlineAt: clock.now() + 60_000}));
		}

		clock.advance(20);
		for (let index = first; index < started.length; index += 1) {
			const {work, upstreamId} = started[index]!;
			const outcome = outcomeOf(work.fingerprint, upstreamId);
			scheduler.noteFinished(work.id, outcome);
			if (outcome === WorkOutcome.ConnectionRefused) {
				scheduler.submit({...work, excluded: [...work.excluded, upstreamId]});
			}
		}

		clock.advance(10_000);
	};

	return {...setup, run};
}

describe('crash evidence', () => {
	it('never quarantines requests because one upstream drops every connection (guards against attributing upstream faults to requests)', () => {
		fc.assert(fc.property(fc.array(fc.array(fc.constantFrom('r', 's', 't'), {minLength: 1, maxLength: 4}), {maxLength: 20}), rounds => {
			const {run, refused} = makeRoundRunner(['t/dropping']);
			for (const fingerprints of rounds) {
				run(fingerprints, () => WorkOutcome.Lost);
			}

			expect(refused.filter(({kind}) => kind === ErrorKind.Quarantined)).to.deep.equal([]);
		}), {seed: 11, numRuns: 60});
	});

	it('does not quarantine a request lost once at each of several upstreams that also drop other requests (guards against attributing faults of a shared proxy to requests)', () => {
		const ids = ['t/a', 't/b', 't/c', 't/d'];
		const quarantine = Quarantine.create('n');
		for (const [index, id] of ids.entries()) {
			const loss = quarantine.noteLoss(id, ['harmless'], index);
			quarantine.withdraw(loss, index);
		}

		expect(quarantine.standing('harmless', 5)).to.equal(Standing.Clear);
	});

	for (const concurrentCount of [0, 1]) {
		it(`quarantines a request that crashes each upstream with ${concurrentCount} others in flight after at most three crashes (guards against crashing requests that are not detected)`, () => {
			const {run, refused} = makeRoundRunner(['t/a', 't/b', 't/c', 't/d', 't/e', 't/f']);
			const dead = new Set<string>();
			const outcomeOf = (fingerprint: string, upstreamId: string) => {
				if (dead.has(upstreamId)) {
					return WorkOutcome.ConnectionRefused;
				}

				if (fingerprint === 'poison') {
					dead.add(upstreamId);
					return WorkOutcome.Lost;
				}

				return WorkOutcome.Done;
			};

			for (let round = 0; round < 8; round += 1) {
				run(['poison', ...Array.from({length: concurrentCount}, (_, index) => `other ${round} ${index}`)], outcomeOf);
			}

			expect(dead.size).to.be.within(1, 3);
			expect(refused.some(({work, kind}) => work.fingerprint === 'poison' && kind === ErrorKind.Quarantined)).to.equal(true);
			expect(refused.some(({work}) => work.fingerprint !== 'poison')).to.equal(false);
		});
	}

	it('quarantines after the second confirmed crash (guards against a third crash although refused connections confirmed two)', () => {
		const {scheduler, started, refused, clock} = makeScheduler();
		scheduler.setUpstreams([makeView('t/a')]);
		for (const attempt of [1, 2]) {
			for (const [fingerprint, outcome] of [['poison', WorkOutcome.Lost], ['other', WorkOutcome.ConnectionRefused]] as const) {
				const count = started.length;
				scheduler.submit(makeWork(`${fingerprint}-${attempt}`, {fingerprint, deadlineAt: clock.now() + 60_000}));
				while (started.length === count) {
					// The work waits until the ejection ends.
					clock.advance(20);
				}

				scheduler.noteFinished(started.at(-1)!.work.id, outcome);
			}
		}

		scheduler.submit(makeWork('poison-3', {fingerprint: 'poison'}));
		expect(refused.map(({work, kind}) => [work.id, kind])).to.deep.equal([['poison-3', ErrorKind.Quarantined]]);
	});

	it('withdraws a loss on other nodes and counts an upstream once across nodes (guards against false quarantine through gossip)', () => {
		const nodes = ['a', 'b', 'c', 'd'].map(id => Quarantine.create(id));
		const [last] = nodes.slice(-1) as [Quarantine];
		for (const node of nodes.slice(0, 3)) {
			node.noteLoss('t/dropping', ['harmless'], 0);
			last.import(node.export(1), 1);
		}

		expect(last.standing('harmless', 2)).to.equal(Standing.Suspect);
		const [first] = nodes as [Quarantine];
		first.noteLoss('t/x', ['harmless'], 3);
		first.withdraw(first.noteLoss('t/dropping', ['harmless'], 3), 4);
		last.import(first.export(5), 5);
		last.noteLoss('t/y', ['harmless'], 6);
		expect(last.standing('harmless', 7)).to.equal(Standing.Suspect);
	});
});
