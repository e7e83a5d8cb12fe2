/**
 * Controller that places the models of one service on its engines. It is active on the node that holds the lease.
 */
import {type Clock} from '../base/clock.js';
import {FencedOrders, type OrderReceiver, type OrderTarget} from './fenced-orders.js';
import {type Lease} from './lease.js';
import {type ModelDemand, type PlacementEngine, planPlacement} from './placement-plan.js';
import {TokenBucket} from './token-bucket.js';

/** Time allowed for an engine to load its target models, in ms; afterwards its own report is used. */
const LOAD_GRACE_MS = 60_000;

/** A target that an engine accepted, with the time on this process's clock. */
type AcceptedTarget = {
	readonly target: OrderTarget;
	readonly acceptedAt: number;
};

/** An engine and the receiver of its orders. */
export type PlacedEngine = PlacementEngine & {
	readonly adapters: readonly string[];
	readonly role: OrderTarget['role'];
	readonly checksFencing: boolean;
	readonly receiver: OrderReceiver;
};

/** Snapshot of engines and demand at the start of a round. */
export type PlacementView = {
	readonly engines: readonly PlacedEngine[];
	readonly demand: ModelDemand;
};

/** Options of `PlacementController`. */
export type PlacementOptions = {
	readonly clock: Clock;
	readonly lease: Lease;
	/** Reads the current engines and demand. */
	readonly view: () => PlacementView;
	/** Model loads per second that the weight store allows, over all engines. */
	readonly loadsPerSecond: number;
	/** Maximum burst of model loads. */
	readonly loadBurst: number;
};

/** Places models while the lease is held. Its owner calls `reconcile` every few seconds. */
export class PlacementController {
	static create(options: PlacementOptions): PlacementController {
		return new PlacementController(options);
	}

	readonly #options: PlacementOptions;
	readonly #loadLimiter: TokenBucket;
	readonly #orders = new Map<string, FencedOrders>();
	/** Targets that engines accepted under the current fencing number. */
	readonly #acceptedTargets = new Map<string, AcceptedTarget>();
	#fencingNumber: number | undefined;

	private constructor(options: PlacementOptions) {
		this.#options = options;
		this.#loadLimiter = TokenBucket.create(options.clock, options.loadsPerSecond, options.loadBurst);
	}

	/**
	 * Plans once and sends orders for the changes. Loads above the rate of the weight store wait for a later round.
	 *
	 * @returns The number of orders that engines accepted.
	 */
	async reconcile(): Promise<number> {
		const {fencingNumber} = this.#options.lease;
		if (fencingNumber !== this.#fencingNumber) {
			this.#fencingNumber = fencingNumber;
			this.#acceptedTargets.clear();
		}

		if (fencingNumber === undefined) {
			return 0;
		}

		const {engines, demand} = this.#options.view();
		this.#forgetRemovedEngines(engines);
		const planInputs = engines.map(engine => ({...engine, models: this.#planningModels(engine)}));
		const plan = planPlacement(planInputs, demand);
		const accepted = await Promise.all(planInputs.map(async engine => this.#applyPlan(engine, plan.get(engine.id))));
		return accepted.filter(Boolean).length;
	}

	/**
	 * Returns the models to plan with. An engine that restarted without its models is replanned once its load time is
	 * over; an engine that ignores fencing numbers keeps its target, which is reasserted.
	 */
	#planningModels(engine: PlacedEngine): readonly string[] {
		const accepted = this.#acceptedTargets.get(engine.id);
		if (accepted === undefined) {
			return engine.models;
		}

		const isLoading = this.#options.clock.now() - accepted.acceptedAt < LOAD_GRACE_MS;
		if (isLoading || !engine.checksFencing) {
			return accepted.target.models;
		}

		this.#acceptedTargets.delete(engine.id);
		return engine.models;
	}

	async #applyPlan(engine: PlacedEngine, models: readonly string[] | undefined): Promise<boolean> {
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
		if (!this.#loadLimiter.tryTake(loads)) {
			return false;
		}

		const result = await orders.order(target);
		if (result.isOk) {
			this.#acceptedTargets.set(engine.id, {target, acceptedAt: this.#options.clock.now()});
		}

		return result.isOk;
	}

	async #reassert(engine: PlacedEngine, orders: FencedOrders, target: OrderTarget): Promise<void> {
		if (this.#acceptedTargets.has(engine.id) && orders.isReassertDue) {
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

	#forgetRemovedEngines(engines: readonly PlacedEngine[]): void {
		const presentIds = new Set(engines.map(engine => engine.id));
		for (const id of this.#orders.keys()) {
			if (!presentIds.has(id)) {
				this.#orders.delete(id);
				this.#acceptedTargets.delete(id);
			}
		}
	}
}
