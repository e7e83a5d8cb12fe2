import {expect} from 'chai';
import fc from 'fast-check';
import {ClaimStatus} from '../../src/coordination/claim-peers.js';
import {type ClaimMutation, ClaimRun} from './claim-run.js';
import {type LeaseMutation, LeaseRun} from './lease-run.js';

/** Bugs that a run must detect, each with a seed that detects it. */
const claimMutations: Array<[string, number, ClaimMutation]> = [
	['a release conditional on the version instead of the token', 1, {
		write: write => write.value === undefined ? {...write, condition: {kind: 'version', version: 1}} : write,
	}],
	['no strong read after a lost response: a failed condition counts as the own write', 1, {
		read: (row, lastToken) => lastToken === undefined ? row : {...row, token: lastToken},
	}],
	['a holder that reports "never dispatched" without cancelling the attempt', 2, {
		status: status => status === ClaimStatus.Running ? ClaimStatus.NeverDispatched : status,
	}],
	['a takeover from an unreachable holder', 4, {
		status: status => status === ClaimStatus.Unreachable ? ClaimStatus.NeverDispatched : status,
	}],
];

const leaseMutations: Array<[string, number, LeaseMutation]> = [
	['no margin between the expiry at the holder and the ttl', 31, {marginMs: 0}],
	['unconditional writes of the row', 1, {write: write => ({...write, condition: {kind: 'any'}})}],
];

describe('randomised runs of claims', () => {
	it('dispatch each key at most once, report "not run" only if it is true, and leave no attempt or write pending', async () => {
		let takeovers = 0;
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 2 ** 30}), async seed => {
			const result = await ClaimRun.run(seed);
			takeovers += result.takeoverCount;
			expect(result.violations, `seed ${seed}`).to.deep.equal([]);
		}), {seed: 11, numRuns: 120, endOnFailure: true});
		expect(takeovers, 'runs without takeovers do not test them').to.be.greaterThan(10);
	}).timeout(60_000);

	it('are reproducible from their seed', async () => {
		const [first, second] = await Promise.all([ClaimRun.run(5), ClaimRun.run(5)]);
		expect(first).to.deep.equal(second);
	});

	for (const [name, seed, mutation] of claimMutations) {
		it(`detect ${name}`, async () => {
			const baseline = await ClaimRun.run(seed);
			expect(baseline.violations).to.deep.equal([]);
			const mutated = await ClaimRun.run(seed, mutation);
			expect(mutated.violations.join('\n')).to.include('dispatched 2 times');
		});
	}
});

describe('randomised runs of a lease', () => {
	it('have one holder at a time and fencing numbers that only increase', async () => {
		let acquisitions = 0;
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 2 ** 30}), async seed => {
			const result = await LeaseRun.run(seed);
			acquisitions += result.fencingNumbers.length;
			expect(result.violations, `seed ${seed}`).to.deep.equal([]);
		}), {seed: 12, numRuns: 60, endOnFailure: true});
		expect(acquisitions).to.be.greaterThan(100);
	}).timeout(60_000);

	for (const [name, seed, mutation] of leaseMutations) {
		it(`detect ${name}`, async () => {
			const baseline = await LeaseRun.run(seed);
			expect(baseline.violations).to.deep.equal([]);
			const mutated = await LeaseRun.run(seed, mutation);
			expect(mutated.violations.join('\n')).to.include('nodes held the lease');
		});
	}
});
