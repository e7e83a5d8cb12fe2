import {expect} from 'chai';
import fc from 'fast-check';
import {ErrorKind} from '../../src/base/errors.js';
import {Quarantine, Standing} from '../../src/policy/quarantine.js';
import {WorkOutcome} from '../../src/policy/scheduler.js';
import {makeScheduler, makeView, makeWork} from './support.js';

/** Runs rounds of requests; `outcomeOf` tells how each ends at an upstream, `undefined` leaves it running. */
function makeRunner(upstreamIds: readonly string[]) {
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
	it('never quarantines requests of an upstream that cuts every connection (guards against blaming requests for a fault of the upstream)', () => {
		fc.assert(fc.property(fc.array(fc.array(fc.constantFrom('r', 's', 't'), {minLength: 1, maxLength: 4}), {maxLength: 20}), rounds => {
			const {run, refused} = makeRunner(['t/cutter']);
			for (const fingerprints of rounds) {
				run(fingerprints, () => WorkOutcome.Lost);
			}

			expect(refused.filter(({kind}) => kind === ErrorKind.Quarantined)).to.deep.equal([]);
		}), {seed: 11, numRuns: 60});
	});

	it('does not quarantine a request lost once at each of many upstreams that cut other requests too (guards against blame by a shared proxy)', () => {
		const ids = ['t/a', 't/b', 't/c', 't/d'];
		const quarantine = Quarantine.create('n');
		for (const [index, id] of ids.entries()) {
			const loss = quarantine.noteLoss(id, ['innocent'], index);
			quarantine.withdraw(loss, index);
		}

		expect(quarantine.standing('innocent', 5)).to.equal(Standing.Clear);
	});

	for (const neighbours of [0, 1]) {
		it(`stops a request that crashes each upstream with ${neighbours} others in flight after at most three (guards against a crashing request that is never blamed)`, () => {
			const {run, refused} = makeRunner(['t/a', 't/b', 't/c', 't/d', 't/e', 't/f']);
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
				run(['poison', ...Array.from({length: neighbours}, (_, index) => `other ${round} ${index}`)], outcomeOf);
			}

			expect(dead.size).to.be.within(1, 3);
			expect(refused.some(({work, kind}) => work.fingerprint === 'poison' && kind === ErrorKind.Quarantined)).to.equal(true);
			expect(refused.some(({work}) => work.fingerprint !== 'poison')).to.equal(false);
		});
	}

	it('quarantines after the second confirmed crash (guards against a third crash where refused connections prove two)', () => {
		const {scheduler, started, refused, clock} = makeScheduler();
		scheduler.setUpstreams([makeView('t/a')]);
		for (const attempt of [1, 2]) {
			for (const [fingerprint, outcome] of [['poison', WorkOutcome.Lost], ['other', WorkOutcome.ConnectionRefused]] as const) {
				const count = started.length;
				scheduler.submit(makeWork(`${fingerprint}-${attempt}`, {fingerprint, deadlineAt: clock.now() + 60_000}));
				while (started.length === count) {
					// It waits for the end of an ejection.
					clock.advance(20);
				}

				scheduler.noteFinished(started.at(-1)!.work.id, outcome);
			}
		}

		scheduler.submit(makeWork('poison-3', {fingerprint: 'poison'}));
		expect(refused.map(({work, kind}) => [work.id, kind])).to.deep.equal([['poison-3', ErrorKind.Quarantined]]);
	});

	it('takes a withdrawn loss back on other nodes and counts an upstream once over nodes (guards against quarantine by gossip)', () => {
		const nodes = ['a', 'b', 'c', 'd'].map(id => Quarantine.create(id));
		const [last] = nodes.slice(-1) as [Quarantine];
		for (const node of nodes.slice(0, 3)) {
			node.noteLoss('t/cutter', ['innocent'], 0);
			last.import(node.export(1), 1);
		}

		expect(last.standing('innocent', 2)).to.equal(Standing.Suspect);
		const [first] = nodes as [Quarantine];
		first.noteLoss('t/x', ['innocent'], 3);
		first.withdraw(first.noteLoss('t/cutter', ['innocent'], 3), 4);
		last.import(first.export(5), 5);
		last.noteLoss('t/y', ['innocent'], 6);
		expect(last.standing('innocent', 7)).to.equal(Standing.Suspect);
	});
});
