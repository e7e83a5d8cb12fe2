/**
 * Plans which models each engine holds, as a pure function of demand, capacity and the models currently held.
 */

/** The properties of an engine that planning uses. */
export type PlacementEngine = {
	readonly id: string;
	/** Models that the engine holds or was last ordered to hold. */
	readonly models: readonly string[];
	/** Maximum number of models. */
	readonly modelSlots: number;
	/** Throughput in cost units per second, shared evenly by the engine's models. */
	readonly rate: number;
};

/** Demand by model, in the unit of `PlacementEngine.rate`. */
export type ModelDemand = ReadonlyMap<string, number>;

/** Target models by engine, for the engines whose models change. */
export type PlacementPlan = ReadonlyMap<string, readonly string[]>;

/** Minimum gain of a change as a share of the engine's rate, so that small shifts in demand move no models. */
const MIN_GAIN_SHARE = 0.2;
/** Bounds the time that planning blocks the event loop; the weight store allows few loads at once anyway. */
const MAX_CHANGES = 16;
/** Capacity up to this share of the maximum rate is treated as rounding error. */
const ROUNDING_ERROR_SHARE = 1e-6;

type Change = {
	readonly engine: number;
	readonly models: readonly string[];
	readonly gain: number;
};

/**
 * Greedy planner. Each step makes the single change (add a model to a free slot, or replace one model by another) that
 * reduces unserved demand the most, until no change reduces it enough. A model with demand that no engine holds weighs
 * more than all demand together, so that it is placed unless another model would lose its last engine.
 *
 * @param maxChanges - Maximum number of changes in one plan; later plans continue from there.
 */
export function planPlacement(engines: readonly PlacementEngine[], demand: ModelDemand, maxChanges = MAX_CHANGES): PlacementPlan {
	const state = PlanState.create(engines, demand);
	for (let count = 0; count < maxChanges; count++) {
		const best = state.bestChange();
		if (best === undefined) {
			break;
		}

		state.apply(best);
	}

	return state.changed();
}

/** Models by engine and capacity by model during planning. */
class PlanState {
	static create(engines: readonly PlacementEngine[], demand: ModelDemand): PlanState {
		return new PlanState(engines, demand);
	}

	readonly #engines: readonly PlacementEngine[];
	readonly #demand: ModelDemand;
	readonly #models: Array<readonly string[]>;
	readonly #capacity = new Map<string, number>();
	readonly #unplacedPenalty: number;
	readonly #roundingError: number;

	private constructor(engines: readonly PlacementEngine[], demand: ModelDemand) {
		this.#engines = engines;
		this.#demand = demand;
		this.#models = engines.map(engine => engine.models.slice(0, engine.modelSlots));
		let total = 0;
		for (const value of demand.values()) {
			total += value;
		}

		const maxRate = Math.max(0, ...engines.map(engine => engine.rate));
		this.#unplacedPenalty = total + maxRate;
		this.#roundingError = maxRate * ROUNDING_ERROR_SHARE;
		for (const [index, models] of this.#models.entries()) {
			this.#addCapacity(index, models, 1);
		}
	}

	bestChange(): Change | undefined {
		const underserved = [...this.#demand.keys()].filter(model => this.#unservedDemand(model, this.#capacityOf(model)) > 0);
		let best: Change | undefined;
		for (const [index, engine] of this.#engines.entries()) {
			for (const models of this.#candidateModels(index, underserved)) {
				const gain = this.#gain(index, models);
				if (gain >= engine.rate * MIN_GAIN_SHARE && gain > (best?.gain ?? 0)) {
					best = {engine: index, models, gain};
				}
			}
		}

		return best;
	}

	apply(change: Change): void {
		this.#addCapacity(change.engine, this.#models[change.engine]!, -1);
		this.#addCapacity(change.engine, change.models, 1);
		this.#models[change.engine] = change.models;
	}

	changed(): PlacementPlan {
		const entries = this.#engines.map((engine, index) => [engine, this.#models[index]!] as const)
			.filter(([engine, models]) => models.length !== engine.models.length || models.some(model => !engine.models.includes(model)));
		return new Map(entries.map(([engine, models]) => [engine.id, models]));
	}

	* #candidateModels(index: number, underserved: readonly string[]): Generator<readonly string[]> {
		const models = this.#models[index]!;
		for (const model of underserved) {
			if (models.includes(model)) {
				continue;
			}

			if (models.length < this.#engines[index]!.modelSlots) {
				yield [...models, model];
			}

			for (const replaced of models) {
				yield models.map(held => held === replaced ? model : held);
			}
		}
	}

	#gain(index: number, models: readonly string[]): number {
		const before = this.#models[index]!;
		const {rate} = this.#engines[index]!;
		let gain = 0;
		for (const model of new Set([...before, ...models])) {
			const capacity = this.#capacityOf(model);
			const removed = before.includes(model) ? rate / before.length : 0;
			const added = models.includes(model) ? rate / models.length : 0;
			gain += this.#unservedDemand(model, capacity) - this.#unservedDemand(model, capacity - removed + added);
		}

		return gain;
	}

	/** Demand in excess of capacity, plus the penalty if no engine holds the model. */
	#unservedDemand(model: string, capacity: number): number {
		const demand = this.#demand.get(model) ?? 0;
		const isUnplaced = demand > 0 && capacity <= this.#roundingError;
		return Math.max(0, demand - capacity) + (isUnplaced ? this.#unplacedPenalty : 0);
	}

	#capacityOf(model: string): number {
		return this.#capacity.get(model) ?? 0;
	}

	#addCapacity(index: number, models: readonly string[], sign: 1 | -1): void {
		for (const model of models) {
			const share = sign * this.#engines[index]!.rate / models.length;
			this.#capacity.set(model, this.#capacityOf(model) + share);
		}
	}
}
