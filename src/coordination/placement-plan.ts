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

/** A change must win this share of the total demand, so that small shifts of demand move nothing. */
const MIN_GAIN_SHARE = 0.02;

type Change = {
	readonly engine: number;
	readonly models: readonly string[];
	readonly gain: number;
};

/**
 * Plans by single changes (add a model to a free slot, or exchange one for another), each time the one that reduces
 * the unserved demand most, until none reduces it enough. A model with demand that no engine holds counts at least as
 * the least gain, so that it is always placed where a slot can be had.
 */
export function planPlacement(engines: readonly PlacementEngine[], demand: ModelDemand): PlacementPlan {
	const state = PlanState.create(engines, demand);
	const maxChanges = engines.reduce((sum, engine) => sum + engine.modelSlots, 0);
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
	readonly #minGain: number;

	private constructor(engines: readonly PlacementEngine[], demand: ModelDemand) {
		this.#engines = engines;
		this.#demand = demand;
		this.#models = engines.map(engine => engine.models.slice(0, engine.modelSlots));
		let total = 0;
		for (const value of demand.values()) {
			total += value;
		}

		this.#minGain = Math.max(total * MIN_GAIN_SHARE, Number.MIN_VALUE);
		for (const [index, models] of this.#models.entries()) {
			this.#count(index, models, 1);
		}
	}

	bestChange(): Change | undefined {
		const wanted = [...this.#demand.keys()].filter(model => this.#unserved(model, this.#capacityOf(model)) > 0);
		let best: Change | undefined;
		for (const index of this.#engines.keys()) {
			for (const models of this.#options(index, wanted)) {
				const gain = this.#gain(index, models);
				if (gain >= this.#minGain && gain > (best?.gain ?? 0)) {
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

	/** Demand without capacity; a model that no engine holds counts as at least the least gain. */
	#unserved(model: string, capacity: number): number {
		const demand = this.#demand.get(model) ?? 0;
		const isMissing = demand > 0 && capacity <= this.#minGain * 1e-9;
		return Math.max(0, demand - capacity) + (isMissing ? this.#minGain * 2 : 0);
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
