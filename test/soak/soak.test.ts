import {expect} from 'chai';
import {breaks} from '../../soak/breaks.js';
import {FaultKind, World} from '../../soak/world.js';
import {PromiseId} from '../../src/base/invariant.js';

const RUN_SECONDS = 40;
const seeds = [1, 2, 3, 4, 5, 6];
const seedOfBreak: Readonly<Record<PromiseId, number>> = {
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

	// Guards the promises under two and more faults at once; each seed draws other faults.
	for (const seed of seeds) {
		it(`keeps all promises with seed ${seed}`, async () => {
			const report = await World.run(seed, RUN_SECONDS);
			expect(report.findings).to.deep.equal([]);
			for (const promise of Object.values(PromiseId)) {
				expect(report.evaluated.get(promise), promise).to.be.above(0);
			}

			expect(report.faults.size).to.be.above(Object.keys(FaultKind).length / 2);
		});
	}

	it('is repeated exactly by its seed', async () => {
		const [first, second] = [await World.run(9, 10), await World.run(9, 10)];
		expect([...first.told]).to.deep.equal([...second.told]);
	});

	// An assertion that cannot fail guards nothing.
	for (const {promise, name, broken} of breaks) {
		it(`finds ${name} (${promise})`, async () => {
			const {findings} = await World.run(seedOfBreak[promise], RUN_SECONDS, broken);
			expect(findings.map(finding => finding.promise)).to.include(promise);
		});
	}
});
