/**
 * Environment of one simulated node: a clock that drifts, and stops while the node is paused, and a table that answers
 * late, is unreachable, or is deliberately mutated to show that assertions can fail.
 */
import Result from 'true-myth/result';
import {Clock, type Timer} from '../../src/base/clock.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from '../../src/store/table.js';

/** A deliberate bug in the code under test, simulated at its table. */
export type Mutation = {
	/** Changes a write before it is sent. */
	readonly write?: (write: Write) => Write;
	/** Changes a row that was read; `lastToken` is the token of the node's own last write to the row. */
	readonly read?: (row: Row, lastToken: string | undefined) => Row;
};

/** Clock of a node; timers do not fire while the node is paused. */
export class NodeClock extends Clock {
	static create(base: Clock, rate: number): NodeClock {
		return new NodeClock(base, rate);
	}

	isPaused = false;
	readonly #base: Clock;
	readonly #rate: number;
	readonly #deferredActions: Array<() => void> = [];

	private constructor(base: Clock, rate: number) {
		super();
		this.#base = base;
		this.#rate = rate;
	}

	now(): number {
		return this.#base.now() * this.#rate;
	}

	wallNow(): number {
		return this.#base.wallNow();
	}

	setTimer(ms: number, action: () => void): Timer {
		let isCancelled = false;
		const timer = this.#base.setTimer(ms / this.#rate, () => {
			this.#runOrDefer(() => {
				if (!isCancelled) {
					action();
				}
			});
		});
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}

	/** Waits until the node is not paused. */
	async waitUntilRunning(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#runOrDefer(resolve);
		});
	}

	resume(): void {
		this.isPaused = false;
		for (const action of this.#deferredActions.splice(0)) {
			action();
		}
	}

	#runOrDefer(action: () => void): void {
		if (this.isPaused) {
			this.#deferredActions.push(action);
		} else {
			action();
		}
	}
}

/** The shared table as accessed by one node. */
export class NodeTable extends Table {
	static create(shared: Table, clock: NodeClock, mutation: Mutation = {}): NodeTable {
		return new NodeTable(shared, clock, mutation);
	}

	/** Whether the node cannot reach the store. */
	isPartitioned = false;
	readonly #sharedTable: Table;
	readonly #clock: NodeClock;
	readonly #mutation: Mutation;
	readonly #lastTokens = new Map<string, string>();

	private constructor(shared: Table, clock: NodeClock, mutation: Mutation) {
		super();
		this.#sharedTable = shared;
		this.#clock = clock;
		this.#mutation = mutation;
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		const result = await this.#call(async () => this.#sharedTable.get(key));
		return result.map(row => row && (this.#mutation.read?.(row, this.#lastTokens.get(key)) ?? row));
	}

	async list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>> {
		return this.#call(async () => this.#sharedTable.list(prefix, limit, after));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		for (const write of writes) {
			this.#lastTokens.set(write.key, write.token);
		}

		return this.#call(async () => this.#sharedTable.transact(writes.map(write => this.#mutation.write?.(write) ?? write)));
	}

	async #call<Value>(call: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
		const result = this.isPartitioned
			? Result.err<Value, StoreError>({failure: StoreFailure.Unavailable, detail: 'partitioned'})
			: await call();
		await this.#clock.waitUntilRunning();
		return result;
	}
}
