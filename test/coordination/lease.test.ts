import {expect} from 'chai';
import Result from 'true-myth/result';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {
	FencedOrders, OrderFailure, OrderReceiver, type OrderTarget,
} from '../../src/coordination/fenced-orders.js';
import {Lease} from '../../src/coordination/lease.js';
import {LeaseKeeper} from '../../src/coordination/lease-keeper.js';
import {type EngineOrder, type OrderOutcome} from '../../src/upstream/engine.js';
import {type Fault, FaultyTable} from './faulty-table.js';

const targetOf = (model: string): OrderTarget => ({models: [model], adapters: [], role: 'both'});

/** An engine that takes orders, checking fencing numbers or not. */
class FakeReceiver extends OrderReceiver {
	readonly taken: EngineOrder[] = [];
	target = targetOf('none');
	#greatest = 0;

	constructor(readonly checksFencing: boolean) {
		super();
	}

	async order(order: EngineOrder): Promise<Result<OrderOutcome, unknown>> {
		if (this.checksFencing && order.fencingNumber < this.#greatest) {
			return Result.ok('stale-fencing-number');
		}

		this.#greatest = Math.max(this.#greatest, order.fencingNumber);
		this.taken.push(order);
		this.target = order.target;
		return Result.ok('accepted');
	}

	async readTarget(): Promise<Result<OrderTarget, unknown>> {
		return Result.ok(this.target);
	}
}

describe('lease', () => {
	let clock: VirtualClock;
	let table: FaultyTable;
	const leaseOf = (holder: string, ownClock = clock) => Lease.create({
		table, clock: ownClock, name: 'placement/a b', holder,
	});
	const during = async <Value>(call: Promise<Value>, ms = 9000): Promise<Value> => {
		await clock.advanceAsync(ms);
		return call;
	};

	beforeEach(() => {
		clock = VirtualClock.create();
		table = FaultyTable.create(clock);
	});

	it('is held by one at a time, lapses after the ttl without renewal, and its fencing number rises', async () => {
		const a = leaseOf('a');
		const b = leaseOf('b');
		expect(await during(a.tryAcquire(), 0)).to.equal(true);
		expect(await during(b.tryAcquire(), 0)).to.equal(false);
		await clock.advanceAsync(7999);
		expect(a.fencingNumber).to.equal(1);
		expect(await during(a.renew(), 0)).to.equal(true);
		await clock.advanceAsync(2001);
		expect(await during(b.tryAcquire(), 0), 'the renewal starts the count anew').to.equal(false);
		await clock.advanceAsync(9999);
		expect(a.fencingNumber).to.equal(undefined);
		expect(await during(b.tryAcquire(), 0)).to.equal(false);
		await clock.advanceAsync(1);
		expect(await during(b.tryAcquire(), 0)).to.equal(true);
		expect(b.fencingNumber).to.equal(3);
		expect(await during(a.renew(), 0)).to.equal(false);
	});

	it('counts from before the write was sent when its answers are lost', async () => {
		for (const script of [['none', 'lost-answer'], ['none', 'hang'], ['none', 'late']] satisfies Fault[][]) {
			table = FaultyTable.create(clock);
			table.script = [...script];
			const lease = leaseOf('a');
			const sentAt = clock.now();
			// eslint-disable-next-line no-await-in-loop
			expect(await during(lease.tryAcquire(), 5000), script.join(', ')).to.equal(true);
			expect(lease.remainingMs).to.equal(sentAt + 8000 - clock.now());
		}
	});

	it('ends by itself while the store is down, and a holder that slept through its end does not renew', async () => {
		const lease = leaseOf('a');
		await during(lease.tryAcquire(), 0);
		table.isDown = true;
		const renewal = lease.renew();
		await clock.advanceAsync(7999);
		expect(lease.fencingNumber).to.equal(1);
		await clock.advanceAsync(1);
		expect(lease.fencingNumber).to.equal(undefined);
		expect(await during(renewal)).to.equal(false);
		table.isDown = false;
		const callsBefore = table.callCount;
		expect(await during(lease.renew(), 0)).to.equal(false);
		expect(table.callCount).to.equal(callsBefore);
	});

	it('is free at once after a release, and a late release does not free a later holder', async () => {
		const a = leaseOf('a');
		const b = leaseOf('b');
		await during(a.tryAcquire(), 0);
		table.maxLateMs = 500;
		table.script = ['late'];
		await during(a.release(1000));
		expect(await during(b.tryAcquire(), 0)).to.equal(true);
		expect(b.fencingNumber).to.equal(3);
		await clock.advanceAsync(5000);
		expect(await during(a.tryAcquire(), 0)).to.equal(false);
		await during(b.release(1000), 0);
		expect(await during(a.tryAcquire(), 0)).to.equal(true);
	});

	it('a corrupt row lapses like another, and the fencing number still rises', async () => {
		const lease = leaseOf('a');
		for (const value of ['x', '{']) {
			// eslint-disable-next-line no-await-in-loop
			await table.inner.write({
				key: lease.rowKey, value, condition: {kind: 'any'}, token: 'x',
			});
		}

		expect(await during(lease.tryAcquire(), 10_000)).to.equal(false);
		expect(await during(lease.tryAcquire(), 0)).to.equal(true);
		expect(lease.fencingNumber).to.equal(3);
	});

	it('a keeper renews, reports a loss at its end, and acquires again with a greater number', async () => {
		const log: string[] = [];
		const keeper = LeaseKeeper.create(leaseOf('a'), clock, {
			onAcquired(fencingNumber) {
				log.push(`acquired ${fencingNumber} at ${clock.now()}`);
			},
			onLost() {
				log.push(`lost at ${clock.now()}`);
			},
			onFailure(err) {
				log.push(err.message);
			},
		});
		keeper.start();
		await clock.advanceAsync(61_000);
		table.isDown = true;
		await clock.advanceAsync(20_000);
		table.isDown = false;
		await clock.advanceAsync(20_000);
		expect(log).to.have.length(3);
		expect(log[0]).to.equal('acquired 1 at 0');
		expect(log[1]).to.equal('lost at 68000');
		expect(log[2]).to.match(/^acquired 26 at /v);
		const stopped = keeper.stop();
		await during(stopped, 2000);
		expect(await during(leaseOf('b').tryAcquire(), 0)).to.equal(true);
	});

	it('an upstream that checks fencing numbers refuses a holder that was paused beyond the end of its lease', async () => {
		// The clock of the paused holder stands still, as between its check and its order.
		const paused = VirtualClock.create();
		const a = leaseOf('a', paused);
		const b = leaseOf('b');
		const receiver = new FakeReceiver(true);
		const ordersA = FencedOrders.create({
			clock: paused, lease: a, receiver, checksFencing: true,
		});
		const ordersB = FencedOrders.create({
			clock, lease: b, receiver, checksFencing: true,
		});
		await during(a.tryAcquire(), 0);
		await during(b.tryAcquire(), 10_000);
		await during(b.tryAcquire(), 0);
		const first = await during(ordersB.order(targetOf('b')), 0);
		expect(first.isOk).to.equal(true);
		const late = await during(ordersA.order(targetOf('a')), 0);
		expect(late.isErr && late.error).to.equal(OrderFailure.Fenced);
		expect(receiver.target).to.deep.equal(targetOf('b'));
		expect(a.fencingNumber).to.equal(undefined);
	});

	it('a new holder waits out earlier orders, then undoes a late one within one period', async () => {
		const lease = leaseOf('b');
		const receiver = new FakeReceiver(false);
		const orders = FencedOrders.create({
			clock, lease, receiver, checksFencing: false,
		});
		await during(lease.tryAcquire(), 0);
		expect(orders.waitMs).to.equal(15_000);
		for (let step = 0; step < 6; step++) {
			// eslint-disable-next-line no-await-in-loop
			await during(lease.renew(), 2500);
		}

		const first = await during(orders.order(targetOf('b')), 0);
		expect(first.isOk).to.equal(true);
		receiver.target = targetOf('a');
		expect(orders.isReassertDue).to.equal(false);
		for (let step = 0; step < 4; step++) {
			// eslint-disable-next-line no-await-in-loop
			await during(lease.renew(), 2500);
		}

		expect(orders.isReassertDue).to.equal(true);
		await during(orders.reassert(targetOf('b')), 0);
		expect(receiver.target).to.deep.equal(targetOf('b'));
		expect(receiver.taken.map(order => order.sequence)).to.deep.equal([1, 2]);
	});

	it('an order that the upstream calls stale ends the lease, and an order without a lease is not sent', async () => {
		const lease = leaseOf('a');
		const receiver = new FakeReceiver(true);
		const orders = FencedOrders.create({
			clock, lease, receiver, checksFencing: true,
		});
		await during(lease.tryAcquire(), 0);
		await receiver.order({fencingNumber: 9, sequence: 1, target: targetOf('z')});
		const fenced = await during(orders.order(targetOf('a')), 0);
		expect(fenced.isErr && fenced.error).to.equal(OrderFailure.Fenced);
		const unsent = await during(orders.order(targetOf('a')), 0);
		expect(unsent.isErr && unsent.error).to.equal(OrderFailure.NotHeld);
		expect(receiver.taken).to.have.length(1);
	});
});
