/**
 * What one simulated node sees of the world: a clock that drifts and stops while the node is paused, and a table that
 * answers late, is out of reach, or is deliberately broken to show that assertions can fail.
 */
import Result from 'true-myth/result';
import {Clock, type Timer} from '../../src/base/clock.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from '../../src/store/table.js';

/** Deliberate faults of the code under test, injected at its table. */
export type Break = {
	/** Changes a write before it is sent. */
	readonly write?: (write: Write) => Write;
	/** Changes a row that was read; `lastToken` is that of the node's own last write to the row. */
	readonly read?: (row: Row, lastToken: string | undefined) => Row;
};

/** Time as a node sees it; nothing of the node runs while it is paused. */
export class NodeClock extends Clock {
	static create(base: Clock, rate: number): NodeClock {
		return new NodeClock(base, rate);
	}

	isPaused = false;
	readonly #base: Clock;
	readonly #rate: number;
	readonly #held: Array<() => void> = [];

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
			this.#whenRunning(() => {
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

	/** Waits while the node is paused. */
	async gate(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#whenRunning(resolve);
		});
	}

	resume(): void {
		this.isPaused = false;
		for (const action of this.#held.splice(0)) {
			action();
		}
	}

	#whenRunning(action: () => void): void {
		if (this.isPaused) {
			this.#held.push(action);
		} else {
			action();
		}
	}
}

/** The shared table as one node reaches it. */
export class NodeTable extends Table {
	static create(shared: Table, clock: NodeClock, broken: Break = {}): NodeTable {
		return new NodeTable(shared, clock, broken);
	}

	/** The node cannot reach the store. */
	isCut = false;
	readonly #shared: Table;
	readonly #clock: NodeClock;
	readonly #broken: Break;
	readonly #lastTokens = new Map<string, string>();

	private constructor(shared: Table, clock: NodeClock, broken: Break) {
		super();
		this.#shared = shared;
		this.#clock = clock;
		this.#broken = broken;
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		const result = await this.#call(async () => this.#shared.get(key));
		return result.map(row => row && (this.#broken.read?.(row, this.#lastTokens.get(key)) ?? row));
	}

	async list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>> {
		return this.#call(async () => this.#shared.list(prefix, limit, after));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		for (const write of writes) {
			this.#lastTokens.set(write.key, write.token);
		}

		return this.#call(async () => this.#shared.transact(writes.map(write => this.#broken.write?.(write) ?? write)));
	}

	async #call<Value>(call: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
		const result = this.isCut
			? Result.err<Value, StoreError>({failure: StoreFailure.Unavailable, detail: 'cut off'})
			: await call();
		await this.#clock.gate();
		return result;
	}
}
