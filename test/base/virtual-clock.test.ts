import {expect} from 'chai';
import {VirtualClock} from '../../src/base/virtual-clock.js';

describe('virtual clock', () => {
	it('fires timers in order of due time, then of creation', () => {
		const clock = VirtualClock.create();
		const fired: string[] = [];
		clock.setTimer(20, () => fired.push('late'));
		clock.setTimer(10, () => fired.push('first'));
		clock.setTimer(10, () => fired.push('second'));
		clock.advance(10);
		expect(fired).to.deep.equal(['first', 'second']);
		clock.advance(10);
		expect(fired).to.deep.equal(['first', 'second', 'late']);
	});

	it('does not fire a canceled timer', () => {
		const clock = VirtualClock.create();
		let isFired = false;
		clock.setTimer(5, () => {
			isFired = true;
		}).cancel();
		clock.advance(10);
		expect(isFired).to.equal(false);
	});

	it('fires timers that are created while time advances', () => {
		const clock = VirtualClock.create();
		const times: number[] = [];
		const tick = () => {
			times.push(clock.now());
			clock.setTimer(10, tick);
		};

		tick();
		clock.advance(35);
		expect(times).to.deep.equal([0, 10, 20, 30]);
	});

	it('keeps time monotonic when the wall clock jumps back', () => {
		const clock = VirtualClock.create();
		const wall = clock.wallNow();
		clock.jumpWall(-86_400_000);
		clock.advance(5);
		expect(clock.now()).to.equal(5);
		expect(clock.wallNow()).to.be.below(wall);
	});

	it('ends a sleep early when its signal is aborted', async () => {
		const clock = VirtualClock.create();
		const controller = new AbortController();
		const sleep = clock.sleep(1000, controller.signal);
		controller.abort();
		await sleep;
		expect(clock.now()).to.equal(0);
	});
});
