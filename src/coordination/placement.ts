/**
 * The controller that places the models of one service on its engines, on whichever node holds the lease.
 */
import {type Clock} from '../base/clock.js';
import {FencedOrders, type OrderReceiver, type OrderTarget} from './fenced-orders.js';
import {type Lease} from './lease.js';
import {type ModelDemand, type PlacementEngine, planPlacement} from './placement-plan.js';
import {TokenBucket} from './token-bucket.js';

/** Time for an engine to load what it was ordered to; afterwards its own report is believed. */
const LOAD_TIME_MS = 60_000;

/** A target that an engine accepted, on this process's clock. */
type AcceptedTarget = {
	readonly target: OrderTarget;
	readonly acceptedAt: number;
};

/** An engine with the way to give it orders. */
export type PlacedEngine = PlacementEngine & {
	readonly adapters: readonly string[];
	readonly role: OrderTarget['role'];
	readonly checksFencing: boolean;
	readonly receiver: OrderReceiver;
};

/** What the controller knows at the start of a round. */
export type PlacementView = {
	readonly engines: readonly PlacedEngine[];
	readonly demand: ModelDemand;
};

/** What a controller works with. */
export type PlacementOptions = {
	readonly clock: Clock;
	readonly lease: Lease;
	/** Reads the present engines and demand. */
	readonly view: () => PlacementView;
	/** Loads per second that the weight store allows, over all engines. */
	readonly loadsPerSecond: number;
	/** Loads at once. */
	readonly loadBurst: number;
};

/** Places models while the lease is held. Its owner calls `round` at an interval of a few seconds. */
export class PlacementController {
	static create(options: PlacementOptions): PlacementController {
		return new PlacementController(options);
	}

	readonly #options: PlacementOptions;
	readonly #weightStore: TokenBucket;
	readonly #orders = new Map<string, FencedOrders>();
	/** Targets that engines accepted in this holding of the lease. */
	readonly #targets = new Map<string, AcceptedTarget>();
	#fencingNumber: number | undefined;

	private constructor(options: PlacementOptions) {
		this.#options = options;
		this.#weightStore = TokenBucket.create(options.clock, options.loadsPerSecond, options.loadBurst);
	}

	/**
	 * Plans once and orders what changed; loads beyond the rate of the weight store wait for a later round.
	 *
	 * @returns The number of orders that engines accepted.
	 */
	async round(): Promise<number> {
		const {fencingNumber} = this.#options.lease;
		if (fencingNumber !== this.#fencingNumber) {
			this.#fencingNumber = fencingNumber;
			this.#targets.clear();
		}

		if (fencingNumber === undefined) {
			return 0;
		}

		const {engines, demand} = this.#options.view();
		this.#forgetRemoved(engines);
		const present = engines.map(engine => ({...engine, models: this.#modelsOf(engine)}));
		const plan = planPlacement(present, demand);
		const accepted = await Promise.all(present.map(async engine => this.#follow(engine, plan.get(engine.id))));
		return accepted.filter(Boolean).length;
	}

	/**
	 * The models to plan with. An engine that restarted without its models is planned anew once its time to load is over;
	 * one that ignores fencing numbers keeps its target, which is asserted again.
	 */
	#modelsOf(engine: PlacedEngine): readonly string[] {
		const accepted = this.#targets.get(engine.id);
		if (accepted === undefined) {
			return engine.models;
		}

		const isLoading = this.#options.clock.now() - accepted.acceptedAt < LOAD_TIME_MS;
		if (isLoading || !engine.checksFencing) {
			return accepted.target.models;
		}

		this.#targets.delete(engine.id);
		return engine.models;
	}

	async #follow(engine: PlacedEngine, models: readonly string[] | undefined): Promise<boolean> {
		const orders = this.#ordersOf(engine);
		if (orders.waitMs !== 0) {
			return false;
		}

		const target: OrderTarget = {models: models ?? engine.models, adapters: engine.adapters, role: engine.role};
		if (models === undefined) {
			await this.#reassert(engine, orders, target);
			return false;
		}

		const loads = models.filter(model => !engine.models.includes(model)).length;
		if (!this.#weightStore.take(loads)) {
			return false;
		}

		const result = await orders.order(target);
		if (result.isOk) {
			this.#targets.set(engine.id, {target, acceptedAt: this.#options.clock.now()});
		}

		return result.isOk;
	}

	async #reassert(engine: PlacedEngine, orders: FencedOrders, target: OrderTarget): Promise<void> {
		if (this.#targets.has(engine.id) && orders.isReassertDue) {
			await orders.reassert(target);
		}
	}

	#ordersOf(engine: PlacedEngine): FencedOrders {
		const {clock, lease} = this.#options;
		const orders = this.#orders.get(engine.id) ?? FencedOrders.create({
			clock, lease, receiver: engine.receiver, checksFencing: engine.checksFencing,
		});
		this.#orders.set(engine.id, orders);
		return orders;
	}

	#forgetRemoved(engines: readonly PlacedEngine[]): void {
		const present = new Set(engines.map(engine => engine.id));
		for (const id of this.#orders.keys()) {
			if (!present.has(id)) {
				this.#orders.delete(id);
				this.#targets.delete(id);
			}
		}
	}
}
