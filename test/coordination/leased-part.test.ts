import {expect} from 'chai';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {Lease} from '../../src/coordination/lease.js';
import {LeasedPart} from '../../src/coordination/leased-part.js';
import {FaultyTable} from './faulty-table.js';

describe('leased-part', () => {
	const clock = VirtualClock.create();
	const table = FaultyTable.create(clock);
	const rounds: string[] = [];
	const failures: string[] = [];
	const start = async (holder: string, round = async () => {
		rounds.push(holder);
	}) => {
		const lease = Lease.create({
			table, clock, name: 'l', holder,
		});
		const part = LeasedPart.create({
			name: holder, clock, lease, intervalMs: 1000, round,
		});
		await part.start(err => {
			failures.push(err.message);
		});
		await clock.advanceAsync(100);
		return part;
	};

	it('runs on one node, moves to another after a stop, pauses without the store, and reports a round that throws', async () => {
		const a = await start('a');
		const b = await start('b');
		await clock.advanceAsync(30_000);
		expect(new Set(rounds)).to.deep.equal(new Set(['a']));
		const stopped = a.stop();
		await clock.advanceAsync(10_000);
		await stopped;
		expect(rounds.at(-1)).to.equal('b');
		table.isDown = true;
		await clock.advanceAsync(8000);
		const countAtEnd = rounds.length;
		await clock.advanceAsync(20_000);
		expect(rounds).to.have.length(countAtEnd);
		table.isDown = false;
		await clock.advanceAsync(20_000);
		expect(rounds.length).to.be.greaterThan(countAtEnd);
		const end = b.stop();
		await clock.advanceAsync(2000);
		await end;
		await start('c', async () => {
			throw new Error('injected');
		});
		await clock.advanceAsync(20_000);
		expect(failures).to.deep.equal(['injected']);
	});
});
