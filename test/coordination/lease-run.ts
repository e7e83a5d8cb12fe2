/**
 * Randomised runs of one lease over several nodes, whose clocks drift and stop, and one faulty table.
 */
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {defaultLeaseTimes, Lease} from '../../src/coordination/lease.js';
import {LeaseKeeper} from '../../src/coordination/lease-keeper.js';
import {FaultyTable} from './faulty-table.js';
import {type Break, NodeClock, NodeTable} from './simulated-node.js';

const STEPS = 250;
const NODES = 3;
/** Greatest difference of a clock's rate; the margin of a lease covers it. */
const DRIFT = 0.1;

export type LeaseBreak = Break & {
	readonly marginMs?: number;
};

/** What a run counted and found. */
export type LeaseRunResult = {
	readonly violations: string[];
	/** Fencing numbers in the order in which they were acquired. */
	readonly fencingNumbers: number[];
};

type RunNode = {lease: Lease; clock: NodeClock; table: NodeTable};

/** One run; equal seeds give equal runs. */
export class LeaseRun {
	static async run(seed: number, broken: LeaseBreak = {}): Promise<LeaseRunResult> {
		const run = new LeaseRun(seed, broken);
		await run.#run();
		return run.#result;
	}

	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #table: FaultyTable;
	readonly #broken: LeaseBreak;
	readonly #nodes: RunNode[] = [];
	readonly #result: LeaseRunResult = {violations: [], fencingNumbers: []};
	#tokens = 0;

	private constructor(seed: number, broken: LeaseBreak) {
		this.#random = Random.create(seed);
		this.#broken = broken;
		this.#table = FaultyTable.create(this.#clock, this.#random);
		this.#table.faultRate = this.#random.next() * 0.4;
		this.#table.maxLatencyMs = this.#random.pick([0, 20, 300]);
		this.#table.maxLateMs = this.#random.pick([100, 3000, 20_000]);
		for (let index = 0; index < NODES; index++) {
			this.#nodes.push(this.#start());
		}
	}

	async #run(): Promise<void> {
		for (let step = 0; step < STEPS; step++) {
			if (this.#random.next() < 0.1) {
				this.#act();
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#clock.advanceAsync(this.#random.integer(1, 1000));
			this.#check();
		}
	}

	#act(): void {
		const index = this.#random.integer(0, NODES - 1);
		const node = this.#nodes[index]!;
		const draw = this.#random.next();
		if (draw < 0.15) {
			// A crash: the process never runs again, and another starts.
			node.clock.isPaused = true;
			this.#nodes[index] = this.#start();
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
			node.table.isCut = !node.table.isCut;
		}
	}

	/** A paused node does nothing, whatever it believes; it looks at its clock before it goes on. */
	#check(): void {
		const holders = this.#nodes.filter(node => !node.clock.isPaused && node.lease.fencingNumber !== undefined);
		if (holders.length > 1) {
			this.#result.violations.push(`${holders.length} nodes held the lease at ${this.#clock.now()} ms.`);
		}
	}

	#start(): RunNode {
		const clock = NodeClock.create(this.#clock, 1 + ((this.#random.next() - 0.5) * 2 * DRIFT));
		const table = NodeTable.create(this.#table, clock, this.#broken);
		const lease = Lease.create({
			table,
			clock,
			name: 'l',
			holder: 'h',
			times: {...defaultLeaseTimes, marginMs: this.#broken.marginMs ?? defaultLeaseTimes.marginMs},
			createToken: () => {
				this.#tokens += 1;
				return `t${this.#tokens}`;
			},
		});
		LeaseKeeper.create(lease, clock, {
			onAcquired: fencingNumber => {
				this.#noteAcquired(fencingNumber);
			},
			onLost() {
				// The lease itself tells that it ended.
			},
			onFailure: err => {
				this.#result.violations.push(err.message);
			},
		}).start();
		return {lease, clock, table};
	}

	#noteAcquired(fencingNumber: number): void {
		const last = this.#result.fencingNumbers.at(-1) ?? 0;
		if (fencingNumber <= last) {
			this.#result.violations.push(`Fencing number ${fencingNumber} followed ${last}.`);
		}

		this.#result.fencingNumbers.push(fencingNumber);
	}
}
