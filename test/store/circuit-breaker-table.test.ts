import {expect} from 'chai';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {CircuitBreakerTable, TableOperation} from '../../src/store/circuit-breaker-table.js';
import {StoreFailure} from '../../src/store/table.js';
import {FaultyTable} from '../coordination/faulty-table.js';
import {valueOrFailure} from './platform-adapters.js';

describe('CircuitBreakerTable', () => {
	const limits = {maxInFlight: 2, failureThreshold: 3, probeIntervalMs: 500};

	it('sends only probe calls while the store is down, and all calls after the first successful one', async () => {
		const clock = VirtualClock.create();
		const faultyTable = FaultyTable.create(clock);
		const table = CircuitBreakerTable.create(faultyTable, clock, limits);
		faultyTable.isDown = true;
		for (let ms = 0; ms < 2000; ms += 10) {
			// eslint-disable-next-line no-await-in-loop
			expect(await valueOrFailure(table.get('k'))).to.equal(StoreFailure.Unavailable);
			clock.advance(10);
		}

		expect(faultyTable.callCount).to.equal(6);
		expect(table.isOpen).to.equal(true);
		expect(table.counts.get(TableOperation.Get)).to.deep.equal({sent: 6, failed: 6, refused: 194});
		faultyTable.isDown = false;
		clock.advance(500);
		for (let call = 0; call < 5; call++) {
			// eslint-disable-next-line no-await-in-loop
			expect(await valueOrFailure(table.get('k'))).to.equal(undefined);
		}
	});

	it('limits the number of calls in flight while the store does not respond', async () => {
		const clock = VirtualClock.create();
		const faultyTable = FaultyTable.create(clock);
		faultyTable.maxLatencyMs = 100;
		const table = CircuitBreakerTable.create(faultyTable, clock, limits);
		const calls = Array.from({length: 5}, async () => valueOrFailure(table.get('k')));
		await clock.advanceAsync(200);
		expect(await Promise.all(calls)).to.deep.equal([undefined, undefined, ...Array.from({length: 3}, () => StoreFailure.Unavailable)]);
	});
});
