import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Random} from '../../src/base/random.js';
import {runLoad} from '../../src/cli/load-run.js';
import {createUnselectiveScheduler, testApiKey, TestCluster} from '../support/dev-cluster.js';

describe('load run', () => {
	it('counts every response, including rejected and interrupted ones', async () => {
		const cluster = await TestCluster.start({
			engineCount: 1, engine: {tokenIntervalMs: 0, defaultTokens: 4}, canResume: false, createScheduler: createUnselectiveScheduler,
		});
		const options = {
			url: cluster.url, apiKey: testApiKey, model: 'crew-advice', requestsPerSecond: 200, durationMs: 200, tiers: ['advice', 'summary'],
			promptCharacters: 40, answerTokens: 5, clock: SystemClock.create(), random: Random.create(1), onSent() {/* Progress is not displayed. */},
		};
		const whole = await runLoad(options);
		expect(whole.answers).to.deep.equal({200: whole.sent});
		expect(whole.wholeMs.max).to.be.at.least(whole.firstPartMs.p50);
		const refused = await runLoad({...options, tiers: ['none']});
		expect(refused.answers).to.deep.equal({400: refused.sent});
		cluster.engines[0]!.cutAfterParts = 2;
		const broken = await runLoad(options);
		expect(broken.answers).to.deep.equal({lost: broken.sent});
		await cluster.stop();
	});
});
