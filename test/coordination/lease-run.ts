/**
 * Randomised simulation of one lease shared by several nodes, whose clocks drift and stop, over one faulty table.
 */
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {defaultLeaseTimes, Lease} from '../../src/coordination/lease.js';
import {LeaseKeeper} from '../../src/coordination/lease-keeper.js';
import {FaultyTable} from './faulty-table.js';
import {type Mutation, NodeClock, NodeTable} from './simulated-node.js';

const STEP_COUNT = 250;
const NODE_COUNT = 3;
/** Maximum relative deviation of a clock's rate; covered by the margin of a lease. */
const MAX_CLOCK_DRIFT = 0.1;

export type LeaseMutation = Mutation & {
	readonly marginMs?: number;
};

/** Violations and statistics of a run. */
export type LeaseRunResult = {
	readonly violations: string[];
	/** Fencing numbers in the order in which they were acquired. */
	readonly fencingNumbers: number[];
};

type SimulatedNode = {lease: Lease; clock: NodeClock; table: NodeTable};

/** One simulation run, reproducible from its seed. */
export class LeaseRun {
	static async run(seed: number, mutation: LeaseMutation = {}): Promise<LeaseRunResult> {
		const run = new LeaseRun(seed, mutation);
		await run.#run();
		return run.#result;
	}

	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #table: FaultyTable;
	readonly #mutation: LeaseMutation;
	readonly #nodes: SimulatedNode[] = [];
	readonly #result: LeaseRunResult = {violations: [], fencingNumbers: []};
	#tokenCount = 0;

	private constructor(seed: number, mutation: LeaseMutation) {
		this.#random = Random.create(seed);
		this.#mutation = mutation;
		this.#table = FaultyTable.create(this.#clock, this.#random);
		this.#table.faultRate = this.#random.next() * 0.4;
		this.#table.maxLatencyMs = this.#random.pick([0, 20, 300]);
		this.#table.maxEffectDelayMs = this.#random.pick([100, 3000, 20_000]);
		for (let index = 0; index < NODE_COUNT; index++) {
			this.#nodes.push(this.#startNode());
		}
	}

	async #run(): Promise<void> {
		for (let step = 0; step < STEP_COUNT; step++) {
			if (this.#random.next() < 0.1) {
				this.#injectEvent();
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#clock.advanceAsync(this.#random.integer(1, 1000));
			this.#checkSingleHolder();
		}
	}

	#injectEvent(): void {
		const index = this.#random.integer(0, NODE_COUNT - 1);
		const node = this.#nodes[index]!;
		const draw = this.#random.next();
		if (draw < 0.15) {
			// A crash: the process never resumes, and a new one starts.
			node.clock.isPaused = true;
			this.#nodes[index] = this.#startNode();
		} else if (draw < 0.5) {
			node.clock.isPaused = true;
			this.#clock.setTimer(this.#random.integer(0, 20_000), () => {
				if (this.#nodes.includes(node)) {
					node.clock.resume();
				}
			});
		} else if (draw < 0.6) {
			this.#table.isDown = !this.#table.isDown;
		} else {
			node.table.isPartitioned = !node.table.isPartitioned;
		}
	}

	/** Ignores paused nodes: they send nothing, and check their clock before they continue. */
	#checkSingleHolder(): void {
		const holders = this.#nodes.filter(node => !node.clock.isPaused && node.lease.fencingNumber !== undefined);
		if (holders.length > 1) {
			this.#result.violations.push(`${holders.length} nodes held the lease at ${this.#clock.now()} ms.`);
		}
	}

	#startNode(): SimulatedNode {
		const clock = NodeClock.create(this.#clock, 1 + ((this.#random.next() - 0.5) * 2 * MAX_CLOCK_DRIFT));
		const table = NodeTable.create(this.#table, clock, this.#mutation);
		const lease = Lease.create({
			table,
			clock,
			name: 'l',
			holder: 'h',
			times: {...defaultLeaseTimes, marginMs: this.#mutation.marginMs ?? defaultLeaseTimes.marginMs},
			createToken: () => {
				this.#tokenCount += 1;
				return `t${this.#tokenCount}`;
			},
		});
		LeaseKeeper.create(lease, clock, {
			onAcquired: fencingNumber => {
				this.#recordAcquisition(fencingNumber);
			},
			onLost() {
				// The run reads the lease itself.
			},
			onFailure: err => {
				this.#result.violations.push(err.message);
			},
		}).start();
		return {lease, clock, table};
	}

	#recordAcquisition(fencingNumber: number): void {
		const last = this.#result.fencingNumbers.at(-1) ?? 0;
		if (fencingNumber <= last) {
			this.#result.violations.push(`Fencing number ${fencingNumber} followed ${last}.`);
		}

		this.#result.fencingNumbers.push(fencingNumber);
	}
}
