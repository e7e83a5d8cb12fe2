import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';

describe('system clock', () => {
	// Guards against a long time limit that ends at once: a timer of Node.js fires after 1 ms if its delay is above 2^31 - 1 ms.
	it('fires no timer early whose delay is longer than the operating system counts', async () => {
		const clock = SystemClock.create();
		const warnings: string[] = [];
		const noteWarning = (warning: Error) => {
			warnings.push(warning.name);
		};

		process.on('warning', noteWarning);
		let fired = 0;
		const timers = [2 ** 31, 1e12, Number.MAX_VALUE, Number.POSITIVE_INFINITY].map(ms => clock.setTimer(ms, () => {
			fired += 1;
		}));
		await sleep(50);
		process.off('warning', noteWarning);
		for (const timer of timers) {
			timer.cancel();
		}

		expect(fired).to.equal(0);
		expect(warnings).to.deep.equal([]);
	});

	it('fires a timer with a delay in the past at once', async () => {
		const clock = SystemClock.create();
		let fired = 0;
		const count = () => {
			fired += 1;
		};

		for (const ms of [0, -1, Number.NEGATIVE_INFINITY]) {
			clock.setTimer(ms, count);
		}

		await sleep(50);
		expect(fired).to.equal(3);
	});
});
