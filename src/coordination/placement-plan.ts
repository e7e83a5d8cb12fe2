/**
 * Which models each engine is to hold, as a pure function of demand, capacity and what the engines hold now.
 */

/** An engine as the plan sees it. */
export type PlacementEngine = {
	readonly id: string;
	/** Models that it holds or was last ordered to hold. */
	readonly models: readonly string[];
	/** Greatest number of models. */
	readonly modelSlots: number;
	/** Throughput, shared evenly by its models, in cost units per second. */
	readonly rate: number;
};

/** Demand of a model in the unit of `PlacementEngine.rate`. */
export type ModelDemand = ReadonlyMap<string, number>;

/** Target states by engine, for the engines whose models change. */
export type PlacementPlan = ReadonlyMap<string, readonly string[]>;

/** A change must serve more demand by this share of the engine's rate, so that small shifts of demand move nothing. */
const MIN_GAIN_SHARE = 0.2;
/** Bounds the time of one plan, which runs on the event loop; the weight store takes few loads at once anyway. */
const MAX_CHANGES = 16;
/** Capacity below this share of the greatest rate is a rounding error. */
const ROUNDING_SHARE = 1e-6;

type Change = {
	readonly engine: number;
	readonly models: readonly string[];
	readonly gain: number;
};

/**
 * Plans by single changes (add a model to a free slot, or exchange one for another), each time the one that reduces
 * the unserved demand most, until none reduces it enough. A model with demand that no engine holds counts for more than
 * all demand together, so that it is placed wherever another model does not lose its last engine.
 *
 * @param maxChanges - Changes in one plan; later plans go on from there.
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

/** Models by engine while a plan is made. */
class PlanState {
	static create(engines: readonly PlacementEngine[], demand: ModelDemand): PlanState {
		return new PlanState(engines, demand);
	}

	readonly #engines: readonly PlacementEngine[];
	readonly #demand: ModelDemand;
	readonly #models: Array<readonly string[]>;
	readonly #capacity = new Map<string, number>();
	readonly #missingPenalty: number;
	readonly #roundingError: number;

	private constructor(engines: readonly PlacementEngine[], demand: ModelDemand) {
		this.#engines = engines;
		this.#demand = demand;
		this.#models = engines.map(engine => engine.models.slice(0, engine.modelSlots));
		let total = 0;
		for (const value of demand.values()) {
			total += value;
		}

		const greatestRate = Math.max(0, ...engines.map(engine => engine.rate));
		this.#missingPenalty = total + greatestRate;
		this.#roundingError = greatestRate * ROUNDING_SHARE;
		for (const [index, models] of this.#models.entries()) {
			this.#count(index, models, 1);
		}
	}

	bestChange(): Change | undefined {
		const wanted = [...this.#demand.keys()].filter(model => this.#unserved(model, this.#capacityOf(model)) > 0);
		let best: Change | undefined;
		for (const [index, engine] of this.#engines.entries()) {
			for (const models of this.#options(index, wanted)) {
				const gain = this.#gain(index, models);
				if (gain >= engine.rate * MIN_GAIN_SHARE && gain > (best?.gain ?? 0)) {
					best = {engine: index, models, gain};
				}
			}
		}

		return best;
	}

	apply(change: Change): void {
		this.#count(change.engine, this.#models[change.engine]!, -1);
		this.#count(change.engine, change.models, 1);
		this.#models[change.engine] = change.models;
	}

	changed(): PlacementPlan {
		const entries = this.#engines.map((engine, index) => [engine, this.#models[index]!] as const)
			.filter(([engine, models]) => models.length !== engine.models.length || models.some(model => !engine.models.includes(model)));
		return new Map(entries.map(([engine, models]) => [engine.id, models]));
	}

	* #options(index: number, wanted: readonly string[]): Generator<readonly string[]> {
		const models = this.#models[index]!;
		for (const model of wanted) {
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
			gain += this.#unserved(model, capacity) - this.#unserved(model, capacity - removed + added);
		}

		return gain;
	}

	/** Demand without capacity, and the penalty where no engine holds the model. */
	#unserved(model: string, capacity: number): number {
		const demand = this.#demand.get(model) ?? 0;
		const isMissing = demand > 0 && capacity <= this.#roundingError;
		return Math.max(0, demand - capacity) + (isMissing ? this.#missingPenalty : 0);
	}

	#capacityOf(model: string): number {
		return this.#capacity.get(model) ?? 0;
	}

	#count(index: number, models: readonly string[], sign: 1 | -1): void {
		for (const model of models) {
			const share = sign * this.#engines[index]!.rate / models.length;
			this.#capacity.set(model, this.#capacityOf(model) + share);
		}
	}
}
