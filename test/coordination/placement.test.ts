import {expect} from 'chai';
import fc from 'fast-check';
import Result from 'true-myth/result';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {OrderReceiver, type OrderTarget} from '../../src/coordination/fenced-orders.js';
import {Lease} from '../../src/coordination/lease.js';
import {type PlacedEngine, PlacementController} from '../../src/coordination/placement.js';
import {type PlacementEngine, planPlacement} from '../../src/coordination/placement-plan.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {type EngineOrder, type OrderOutcome} from '../../src/upstream/engine.js';

const createEngine = (id: string, models: string[], rate = 100, modelSlots = 1): PlacementEngine => ({
	id, models, rate, modelSlots,
});

class RecordingReceiver extends OrderReceiver {
	readonly receivedOrders: EngineOrder[] = [];

	async order(order: EngineOrder): Promise<Result<OrderOutcome, unknown>> {
		this.receivedOrders.push(order);
		return Result.ok('accepted');
	}

	async readTarget(): Promise<Result<OrderTarget, unknown>> {
		return Result.err('unreadable');
	}
}

describe('placement-plan', () => {
	it('moves no models while demand is served or shifts slightly, and no more than a larger shift requires', () => {
		const engines = Array.from({length: 10}, (_, index) => createEngine(`e${index}`, [index < 5 ? 'a' : 'b']));
		expect(planPlacement(engines, new Map([['a', 500], ['b', 500]])).size).to.equal(0);
		expect(planPlacement(engines, new Map([['a', 510], ['b', 490]])).size).to.equal(0);
		expect(planPlacement(engines, new Map([['a', 700], ['b', 300]])).size).to.equal(2);
		expect(planPlacement(engines, new Map([['a', 5000], ['b', 300]])).size).to.equal(2);
	});

	it('places a model with little demand that no engine holds, and keeps every model with demand on some engine', () => {
		const engines = [createEngine('e1', ['a']), createEngine('e2', ['a'])];
		expect([...planPlacement(engines, new Map([['a', 1000], ['rare', 0.01]])).values()]).to.deep.equal([['rare']]);
		const models = ['a', 'b', 'c', 'd'];
		const engine = fc.record({models: fc.uniqueArray(fc.constantFrom(...models), {maxLength: 2}), rate: fc.integer({min: 1, max: 100})});
		const demands = fc.tuple(...models.map(() => fc.integer({min: 1, max: 500})));
		fc.assert(fc.property(fc.array(engine, {minLength: 4, maxLength: 12}), demands, (list, demand) => {
			const given = list.map((item, index) => createEngine(`e${index}`, item.models, item.rate, 2));
			const plan = planPlacement(given, new Map(models.map((model, index) => [model, demand[index]!])));
			const held = new Set(given.flatMap(item => plan.get(item.id) ?? item.models));
			expect([...held].sort()).to.deep.equal(models);
			for (const target of plan.values()) {
				expect(target.length).to.be.within(1, 2);
				expect(new Set(target).size).to.equal(target.length);
			}
		}), {seed: 3, numRuns: 300});
	});
});

describe('placement', () => {
	it('sends orders only under the lease, loads models at the rate of the weight store, and repeats no accepted order', async () => {
		const clock = VirtualClock.create();
		const lease = Lease.create({
			table: MemoryTable.create(), clock, name: 'placement/advice', holder: 'a',
		});
		const receiver = new RecordingReceiver();
		const engines = Array.from({length: 6}, (_, index): PlacedEngine => ({
			...createEngine(`e${index}`, ['a']), adapters: [], role: 'both', checksFencing: true, receiver,
		}));
		const controller = PlacementController.create({
			clock, lease, view: () => ({engines, demand: new Map([['a', 100], ['b', 500]])}), loadsPerSecond: 0.5, loadBurst: 2,
		});
		expect(await controller.reconcile()).to.equal(0);
		await lease.tryAcquire();
		expect(await controller.reconcile()).to.equal(2);
		expect(await controller.reconcile()).to.equal(0);
		clock.advance(2000);
		expect(await controller.reconcile()).to.equal(1);
		await lease.renew();
		clock.advance(7900);
		expect(await controller.reconcile()).to.equal(2);
		expect(await controller.reconcile()).to.equal(0);
		expect(receiver.receivedOrders).to.have.length(5);
		clock.advance(100);
		expect(await controller.reconcile(), 'the lease has expired').to.equal(0);
	});

	it('replans an engine without its models once its load time is over, and reasserts targets if fencing is ignored', async () => {
		for (const checksFencing of [true, false]) {
			const clock = VirtualClock.create();
			const lease = Lease.create({
				table: MemoryTable.create(), clock, name: 'placement/advice', holder: 'a',
			});
			const receiver = new RecordingReceiver();
			const engine = {
				...createEngine('e', []), adapters: [], role: 'both', checksFencing, receiver,
			} as const;
			const controller = PlacementController.create({
				clock, lease, view: () => ({engines: [engine], demand: new Map([['a', 100]])}), loadsPerSecond: 1, loadBurst: 1,
			});
			// eslint-disable-next-line no-await-in-loop
			await lease.tryAcquire();
			const orderedAt: number[] = [];
			for (let seconds = 0; seconds < 80; seconds += 5) {
				const count = receiver.receivedOrders.length;
				// eslint-disable-next-line no-await-in-loop
				await controller.reconcile();
				orderedAt.push(...receiver.receivedOrders.slice(count).map(() => seconds));
				clock.advance(5000);
				// eslint-disable-next-line no-await-in-loop
				await lease.renew();
			}

			expect(orderedAt).to.deep.equal(checksFencing ? [0, 60] : [15, 25, 35, 45, 55, 65, 75]);
		}
	});
});
