import {createHash} from 'node:crypto';
import {expect} from 'chai';
import {Random} from '../../src/base/random.js';
import {Figures} from './day-options.js';
import {SimulatedDay} from './simulated-day.js';

const DAYS = 24;
/** Computed on commit 7641fd3, before upstreams' statements of their momentary pace were read. */
const DIGEST_BEFORE = '1b98701dbc3ce2a69b0c3f0d4be0fe51';

describe('allocator without stated paces', () => {
	// Guards against changes of existing deployments' decisions: loads from light to twice the capacity, failures, replacements.
	it('decides as before on random days', () => {
		const hash = createHash('sha256');
		for (let seed = 0; seed < DAYS; seed += 1) {
			const random = Random.create(seed);
			hash.update(SimulatedDay.run({
				seed, figures: Figures.None, seconds: 6, requestsPerSecond: 40 + (200 * random.next()), isEngine: random.next() < 0.7, failureRatio: 0.1 * random.next(), replacementMs: 1000,
			}).digest);
		}

		expect(hash.digest('hex').slice(0, 32)).to.equal(DIGEST_BEFORE);
	});
});
