import {expect} from 'chai';
import {ProcessRun} from '../../soak/process-run.js';

describe('randomised run of real processes', function () {
	this.timeout(90_000);

	// A short run with one seed; `npm run soak:processes` plays long ones. docs/measurements/soak-processes.md lists seeds.
	it('keeps the promises under faults from outside', async () => {
		const run = await ProcessRun.create(1);
		await run.play(4);
		await run.deployment.stop();
		expect(run.deployment.checks).to.be.above(500);
		expect([...run.injected.values()].reduce((sum, count) => sum + count, 0)).to.be.above(1);
		expect(run.deployment.violations).to.deep.equal([]);
	});
});
