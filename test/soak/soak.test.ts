import {expect} from 'chai';
import {defects} from '../../soak/defects.js';
import {FaultKind, DeploymentSimulation} from '../../soak/deployment-simulation.js';
import {PromiseId} from '../../src/base/invariant.js';

const RUN_SECONDS = 40;
const seeds = [1, 2, 3, 4, 5, 6];
const seedByDefect: Readonly<Record<PromiseId, number>> = {
	[PromiseId.DispatchedOnce]: 1,
	[PromiseId.TierOrder]: 23,
	[PromiseId.WholeAnswer]: 1,
	[PromiseId.NotRunIsTrue]: 1,
	[PromiseId.BookingOnce]: 3,
	[PromiseId.LeavingUpstream]: 2,
	[PromiseId.GracefulStop]: 1,
	[PromiseId.SettingsInForce]: 1,
};

describe('randomised runs of a deployment', function () {
	this.timeout(60_000);

	// Guards the promises under two or more simultaneous faults; each seed injects different ones.
	for (const seed of seeds) {
		it(`violates no promise with seed ${seed}`, async () => {
			const report = await DeploymentSimulation.run(seed, RUN_SECONDS);
			expect(report.violations).to.deep.equal([]);
			for (const promise of Object.values(PromiseId)) {
				expect(report.evaluated.get(promise), promise).to.be.above(0);
			}

			expect(report.faults.size).to.be.above(Object.keys(FaultKind).length / 2);
		});
	}

	it('reproduces a run exactly from its seed', async () => {
		const [first, second] = [await DeploymentSimulation.run(9, 10), await DeploymentSimulation.run(9, 10)];
		expect([...first.outcomeCounts]).to.deep.equal([...second.outcomeCounts]);
	});

	// Verifies that the check of each promise can fail.
	for (const {promise, name, defect} of defects) {
		it(`detects ${name} (${promise})`, async () => {
			const {violations} = await DeploymentSimulation.run(seedByDefect[promise], RUN_SECONDS, defect);
			expect(violations.map(finding => finding.promise)).to.include(promise);
		});
	}
});
