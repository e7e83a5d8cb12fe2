import {expect} from 'chai';
import {PoolRetryBudget} from '../../src/allocation/pool-retry-budget.js';

const bounds = {ratio: 0.2, slack: 10, windowMs: 4000};
const REQUEST_COUNT = 200;

describe('retry budget of a pool', () => {
	// Guards against requests that lie just before the window, as after the end of a rush, allowing retries within it.
	it('allows no retry for a request that was received longer ago than the window', () => {
		for (let phaseMs = 0; phaseMs < 400; phaseMs += 10) {
			const budget = PoolRetryBudget.create(bounds);
			for (let index = 0; index < REQUEST_COUNT; index += 1) {
				budget.noteRequest(phaseMs);
			}

			let retries = 0;
			while (budget.spend(phaseMs + bounds.windowMs + 1, 1)) {
				retries += 1;
			}

			expect(retries, `phase ${phaseMs} ms`).to.be.at.most(bounds.slack);
		}
	});

	it('allows the ratio of the requests within most of the window', () => {
		const budget = PoolRetryBudget.create(bounds);
		for (let index = 0; index < REQUEST_COUNT; index += 1) {
			budget.noteRequest(0);
		}

		let retries = 0;
		while (budget.spend(0.9 * bounds.windowMs, 1)) {
			retries += 1;
		}

		expect(retries).to.be.at.least(bounds.ratio * REQUEST_COUNT);
	});
});
