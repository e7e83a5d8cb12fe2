/** Two processes compete for a lease; the holder sends its fencing number with each operation, so that stale holders are detected. */
import {Lease} from 'redwingspool/lease';
import {MemoryTable} from 'redwingspool/memory-table';
import {VirtualClock} from 'redwingspool/virtual-clock';

const table = MemoryTable.create();
const clock = VirtualClock.create();
const [first, second] = ['a', 'b'].map(holder => Lease.create({
	table, clock, name: 'nightly-report', holder,
}));
console.log(`a holds it: ${await first!.tryAcquire()}, b holds it: ${await second!.tryAcquire()}`);
clock.advance(first!.times.ttlMs);
const isAcquired = await second!.tryAcquire();
console.log(`after the ttl: a ${first!.fencingNumber}, b holds it: ${isAcquired} with fencing number ${second!.fencingNumber}`);
