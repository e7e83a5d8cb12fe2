import {expect} from 'chai';
import fc from 'fast-check';
import {ClaimStatus} from '../../src/coordination/claim-peers.js';
import {type ClaimBreak, ClaimRun} from './claim-run.js';
import {type LeaseBreak, LeaseRun} from './lease-run.js';

/** Faults of the code that a run must find, each with a seed that does. */
const claimBreaks: Array<[string, number, ClaimBreak]> = [
	['a release conditional on the version instead of the token', 1, {
		write: write => write.value === undefined ? {...write, condition: {kind: 'version', version: 1}} : write,
	}],
	['no strong read after a lost answer: a failed condition counts as the own write', 1, {
		read: (row, lastToken) => lastToken === undefined ? row : {...row, token: lastToken},
	}],
	['a holder that says "never dispatched" without giving the claim up', 2, {
		status: status => status === ClaimStatus.Running ? ClaimStatus.NeverDispatched : status,
	}],
	['a takeover from a dead holder', 4, {
		status: status => status === ClaimStatus.Unreachable ? ClaimStatus.NeverDispatched : status,
	}],
];

const leaseBreaks: Array<[string, number, LeaseBreak]> = [
	['no margin between the end of a holder and the ttl', 31, {marginMs: 0}],
	['unconditional writes of the row', 1, {write: write => ({...write, condition: {kind: 'any'}})}],
];

describe('randomised runs of claims', () => {
	it('dispatch each key at most once, say "not run" only when it is true, and leave nothing behind', async () => {
		let takeovers = 0;
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 2 ** 30}), async seed => {
			const result = await ClaimRun.run(seed);
			takeovers += result.takeoverCount;
			expect(result.violations, `seed ${seed}`).to.deep.equal([]);
		}), {seed: 11, numRuns: 120, endOnFailure: true});
		expect(takeovers, 'runs that never take a claim over prove nothing about it').to.be.greaterThan(10);
	}).timeout(60_000);

	it('are repeated exactly by their seed', async () => {
		const [first, second] = await Promise.all([ClaimRun.run(5), ClaimRun.run(5)]);
		expect(first).to.deep.equal(second);
	});

	for (const [name, seed, broken] of claimBreaks) {
		it(`find ${name}`, async () => {
			const sound = await ClaimRun.run(seed);
			expect(sound.violations).to.deep.equal([]);
			const found = await ClaimRun.run(seed, broken);
			expect(found.violations.join('\n')).to.include('dispatched 2 times');
		});
	}
});

describe('randomised runs of a lease', () => {
	it('have one holder at a time and fencing numbers that only rise', async () => {
		let acquisitions = 0;
		await fc.assert(fc.asyncProperty(fc.integer({min: 0, max: 2 ** 30}), async seed => {
			const result = await LeaseRun.run(seed);
			acquisitions += result.fencingNumbers.length;
			expect(result.violations, `seed ${seed}`).to.deep.equal([]);
		}), {seed: 12, numRuns: 60, endOnFailure: true});
		expect(acquisitions).to.be.greaterThan(100);
	}).timeout(60_000);

	for (const [name, seed, broken] of leaseBreaks) {
		it(`find ${name}`, async () => {
			const sound = await LeaseRun.run(seed);
			expect(sound.violations).to.deep.equal([]);
			const found = await LeaseRun.run(seed, broken);
			expect(found.violations.join('\n')).to.include('nodes held the lease');
		});
	}
});
