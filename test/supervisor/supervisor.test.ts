import {expect} from 'chai';
import {Log} from '../../src/base/log.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Part} from '../../src/supervisor/part.js';
import {Supervisor} from '../../src/supervisor/supervisor.js';

class FakePart extends Part {
	readonly name: string;
	readonly events: string[];
	failingStarts = 0;
	isRunning = false;
	/** Resolve when the part may finish to start, and to stop. */
	startGate = Promise.resolve();
	stopGate = Promise.resolve();
	#onFailure: ((err: Error) => void) | undefined;

	constructor(name: string, events: string[]) {
		super();
		this.name = name;
		this.events = events;
	}

	fail(err: Error): void {
		this.#onFailure?.(err);
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		this.events.push(`${this.name} start`);
		this.#onFailure = onFailure;
		if (this.failingStarts > 0) {
			this.failingStarts -= 1;
			throw new Error('cannot start');
		}

		await this.startGate;
		this.isRunning = true;
	}

	async stop(): Promise<void> {
		this.events.push(`${this.name} stop`);
		this.isRunning = false;
		await this.stopGate;
	}
}

describe('supervisor', () => {
	let clock: VirtualClock;
	let events: string[];
	let first: FakePart;
	let second: FakePart;
	let supervisor: Supervisor;

	beforeEach(async () => {
		clock = VirtualClock.create();
		events = [];
		first = new FakePart('first', events);
		second = new FakePart('second', events);
		supervisor = Supervisor.create({
			name: 'root', parts: [first, second], clock, log: Log.create('silent'),
		});
		await supervisor.start();
		events.length = 0;
	});

	it('restarts a failed part without affecting the others', async () => {
		second.fail(new Error('broken'));
		await clock.advanceAsync(100);
		expect(events).to.deep.equal(['second stop', 'second start']);
		expect(supervisor.restarts.get('second')).to.equal(1);
	});

	/** Stops the supervisor while the restart of a part waits, and checks that the part does not run afterwards. */
	async function stopDuringRestart(phase: 'stop' | 'start'): Promise<void> {
		let open: (() => void) | undefined;
		second[`${phase}Gate`] = new Promise(resolve => {
			open = resolve;
		});
		second.fail(new Error('broken'));
		await clock.advanceAsync(100);
		expect(events.at(-1)).to.equal(`second ${phase}`);
		const stopped = supervisor.stop();
		open!();
		await stopped;
		await clock.advanceAsync(1000);
		expect(second.isRunning).to.equal(false);
	}

	// Guard against a part that runs on after the supervisor has stopped, because its restart was under way.
	it('leaves no part running whose restart waited for its stop when the supervisor stopped', async () => stopDuringRestart('stop'));
	it('leaves no part running whose restart waited for its start when the supervisor stopped', async () => stopDuringRestart('start'));

	// Guards against a part that fails immediately on each start and would block the thread if it were restarted in a tight loop.
	it('increases the delay before each restart of a part that keeps failing', async () => {
		second.failingStarts = 3;
		second.fail(new Error('broken'));
		await clock.advanceAsync(100 + 200 + 400 - 1);
		expect(events.filter(event => event === 'second start')).to.have.length(2);
		await clock.advanceAsync(1);
		expect(events.filter(event => event === 'second start')).to.have.length(3);
	});

	it('stops parts in reverse order and restarts none after the stop', async () => {
		await supervisor.drain();
		await supervisor.stop();
		second.fail(new Error('late'));
		await clock.advanceAsync(60_000);
		expect(events).to.deep.equal(['second stop', 'first stop']);
	});
});
