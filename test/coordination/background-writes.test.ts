import {expect} from 'chai';
import {Log} from '../../src/base/log.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {BackgroundWrites} from '../../src/coordination/background-writes.js';

describe('background writes', () => {
	// Guards against an error that ends the process, and against a queue that stands still after it.
	it('go on after a job that throws, and try it again', async () => {
		const clock = VirtualClock.create();
		const writes = BackgroundWrites.create(clock, Log.create('silent'));
		const attempts = {first: 0, second: 0};
		const add = (name: keyof typeof attempts, attemptsNeeded: number) => {
			writes.add({
				bytes: 1,
				async run() {
					attempts[name] += 1;
					if (attempts[name] < attemptsNeeded) {
						throw new Error('fault');
					}

					return true;
				},
				onDropped() {
					throw new Error('dropped');
				},
			});
		};

		add('first', 3);
		await clock.advanceAsync(0);
		add('second', 1);
		expect(await Promise.all([writes.flush(10_000), clock.advanceAsync(10_000)])).to.include(true);
		expect(attempts).to.deep.equal({first: 3, second: 1});
		expect(writes.pendingCount).to.equal(0);
	});
});
