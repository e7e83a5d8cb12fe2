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

const createTarget = (model: string): OrderTarget => ({models: [model], adapters: [], role: 'both'});

/** An engine that accepts orders, with or without checking fencing numbers. */
class FakeReceiver extends OrderReceiver {
	readonly acceptedOrders: EngineOrder[] = [];
	target = createTarget('none');
	#maxFencingNumber = 0;

	constructor(readonly checksFencing: boolean) {
		super();
	}

	async order(order: EngineOrder): Promise<Result<OrderOutcome, unknown>> {
		if (this.checksFencing && order.fencingNumber < this.#maxFencingNumber) {
			return Result.ok('stale-fencing-number');
		}

		this.#maxFencingNumber = Math.max(this.#maxFencingNumber, order.fencingNumber);
		this.acceptedOrders.push(order);
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
	const createLease = (holder: string, ownClock = clock) => Lease.create({
		table, clock: ownClock, name: 'placement/a b', holder,
	});
	const settle = async <Value>(call: Promise<Value>, ms = 9000): Promise<Value> => {
		await clock.advanceAsync(ms);
		return call;
	};

	beforeEach(() => {
		clock = VirtualClock.create();
		table = FaultyTable.create(clock);
	});

	it('has one holder at a time, expires after the ttl without renewal, and increases its fencing number', async () => {
		const a = createLease('a');
		const b = createLease('b');
		expect(await settle(a.tryAcquire(), 0)).to.equal(true);
		expect(await settle(b.tryAcquire(), 0)).to.equal(false);
		await clock.advanceAsync(7999);
		expect(a.fencingNumber).to.equal(1);
		expect(await settle(a.renew(), 0)).to.equal(true);
		await clock.advanceAsync(2001);
		expect(await settle(b.tryAcquire(), 0), 'the renewal restarts the ttl').to.equal(false);
		await clock.advanceAsync(9999);
		expect(a.fencingNumber).to.equal(undefined);
		expect(await settle(b.tryAcquire(), 0)).to.equal(false);
		await clock.advanceAsync(1);
		expect(await settle(b.tryAcquire(), 0)).to.equal(true);
		expect(b.fencingNumber).to.equal(3);
		expect(await settle(a.renew(), 0)).to.equal(false);
	});

	it('measures its validity from before the write was sent if the responses are lost', async () => {
		for (const faults of [['none', 'lost-answer'], ['none', 'hang'], ['none', 'late']] satisfies Fault[][]) {
			table = FaultyTable.create(clock);
			table.scriptedFaults = [...faults];
			const lease = createLease('a');
			const sentAt = clock.now();
			// eslint-disable-next-line no-await-in-loop
			expect(await settle(lease.tryAcquire(), 5000), faults.join(', ')).to.equal(true);
			expect(lease.remainingMs).to.equal(sentAt + 8000 - clock.now());
		}
	});

	it('expires without a call while the store is down, and a holder does not renew it after its expiry', async () => {
		const lease = createLease('a');
		await settle(lease.tryAcquire(), 0);
		table.isDown = true;
		const renewal = lease.renew();
		await clock.advanceAsync(7999);
		expect(lease.fencingNumber).to.equal(1);
		await clock.advanceAsync(1);
		expect(lease.fencingNumber).to.equal(undefined);
		expect(await settle(renewal)).to.equal(false);
		table.isDown = false;
		const callsBefore = table.callCount;
		expect(await settle(lease.renew(), 0)).to.equal(false);
		expect(table.callCount).to.equal(callsBefore);
	});

	it('is free immediately after a release, and a late release does not release the lease of a later holder', async () => {
		const a = createLease('a');
		const b = createLease('b');
		await settle(a.tryAcquire(), 0);
		table.maxEffectDelayMs = 500;
		table.scriptedFaults = ['late'];
		await settle(a.release(1000));
		expect(await settle(b.tryAcquire(), 0)).to.equal(true);
		expect(b.fencingNumber).to.equal(3);
		await clock.advanceAsync(5000);
		expect(await settle(a.tryAcquire(), 0)).to.equal(false);
		await settle(b.release(1000), 0);
		expect(await settle(a.tryAcquire(), 0)).to.equal(true);
	});

	it('a corrupt row expires like any other, and the fencing number still increases', async () => {
		const lease = createLease('a');
		for (const value of ['x', '{']) {
			// eslint-disable-next-line no-await-in-loop
			await table.inner.write({
				key: lease.rowKey, value, condition: {kind: 'any'}, token: 'x',
			});
		}

		expect(await settle(lease.tryAcquire(), 10_000)).to.equal(false);
		expect(await settle(lease.tryAcquire(), 0)).to.equal(true);
		expect(lease.fencingNumber).to.equal(3);
	});

	it('a keeper renews the lease, reports its loss on expiry, and reacquires it with a greater fencing number', async () => {
		const log: string[] = [];
		const keeper = LeaseKeeper.create(createLease('a'), clock, {
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
		await settle(stopped, 2000);
		expect(await settle(createLease('b').tryAcquire(), 0)).to.equal(true);
	});

	it('an upstream that checks fencing numbers refuses a holder that was paused past the expiry of its lease', async () => {
		// The clock of the paused holder does not advance, as if it were paused between its check and its order.
		const paused = VirtualClock.create();
		const a = createLease('a', paused);
		const b = createLease('b');
		const receiver = new FakeReceiver(true);
		const ordersA = FencedOrders.create({
			clock: paused, lease: a, receiver, checksFencing: true,
		});
		const ordersB = FencedOrders.create({
			clock, lease: b, receiver, checksFencing: true,
		});
		await settle(a.tryAcquire(), 0);
		await settle(b.tryAcquire(), 10_000);
		await settle(b.tryAcquire(), 0);
		const first = await settle(ordersB.order(createTarget('b')), 0);
		expect(first.isOk).to.equal(true);
		const late = await settle(ordersA.order(createTarget('a')), 0);
		expect(late.isErr && late.error).to.equal(OrderFailure.Fenced);
		expect(receiver.target).to.deep.equal(createTarget('b'));
		expect(a.fencingNumber).to.equal(undefined);
	});

	it('a new holder waits until no earlier order can be in flight, then reverts a late one within one period', async () => {
		const lease = createLease('b');
		const receiver = new FakeReceiver(false);
		const orders = FencedOrders.create({
			clock, lease, receiver, checksFencing: false,
		});
		await settle(lease.tryAcquire(), 0);
		expect(orders.waitMs).to.equal(15_000);
		for (let step = 0; step < 6; step++) {
			// eslint-disable-next-line no-await-in-loop
			await settle(lease.renew(), 2500);
		}

		const first = await settle(orders.order(createTarget('b')), 0);
		expect(first.isOk).to.equal(true);
		receiver.target = createTarget('a');
		expect(orders.isReassertDue).to.equal(false);
		for (let step = 0; step < 4; step++) {
			// eslint-disable-next-line no-await-in-loop
			await settle(lease.renew(), 2500);
		}

		expect(orders.isReassertDue).to.equal(true);
		await settle(orders.reassert(createTarget('b')), 0);
		expect(receiver.target).to.deep.equal(createTarget('b'));
		expect(receiver.acceptedOrders.map(order => order.sequence)).to.deep.equal([1, 2]);
	});

	it('an order that the upstream refuses as stale invalidates the lease, and an order without a lease is not sent', async () => {
		const lease = createLease('a');
		const receiver = new FakeReceiver(true);
		const orders = FencedOrders.create({
			clock, lease, receiver, checksFencing: true,
		});
		await settle(lease.tryAcquire(), 0);
		await receiver.order({fencingNumber: 9, sequence: 1, target: createTarget('z')});
		const fenced = await settle(orders.order(createTarget('a')), 0);
		expect(fenced.isErr && fenced.error).to.equal(OrderFailure.Fenced);
		const unsent = await settle(orders.order(createTarget('a')), 0);
		expect(unsent.isErr && unsent.error).to.equal(OrderFailure.NotHeld);
		expect(receiver.acceptedOrders).to.have.length(1);
	});
});
