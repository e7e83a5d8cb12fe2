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

	// Guards against upstreams that fall silent and go on using up the budget, and against a refund that allows more later.
	it('takes back retries that were not made, however late, and allows no more for it', () => {
		for (let delayMs = 0; delayMs < 2 * bounds.windowMs; delayMs += 150) {
			const budget = PoolRetryBudget.create(bounds);
			let allowed = 0;
			while (budget.spend(0, 1)) {
				allowed += 1;
			}

			for (let index = 0; index < allowed; index += 1) {
				budget.refund(0, delayMs);
			}

			let retries = 0;
			for (let now = delayMs; now < delayMs + (0.9 * bounds.windowMs); now += 100) {
				retries += budget.spend(now, 1) ? 1 : 0;
			}

			expect(retries, `refund after ${delayMs} ms`).to.equal(allowed);
		}
	});
});
