/**
 * Guards the table service: bounds the calls in flight, refuses calls at once while the service does not answer, and
 * counts calls by operation.
 */
import Result from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from './table.js';

/** Limits of a guarded table. */
export type GuardLimits = {
	/** Calls in flight; more are refused without being sent. */
	readonly maxInFlight: number;
	/** Failed calls in a row after which calls are refused. */
	readonly failuresToOpen: number;
	/** Time between two calls that are let through while calls are refused, in ms. */
	readonly probeIntervalMs: number;
};

export const defaultGuardLimits: GuardLimits = {maxInFlight: 256, failuresToOpen: 10, probeIntervalMs: 500};

/** Operations that are counted. */
export const TableOperation = {
	Get: 'get',
	List: 'list',
	Write: 'write',
	Transact: 'transact',
} as const;

export type TableOperation = (typeof TableOperation)[keyof typeof TableOperation];

/** Calls of one operation since the start. */
export type OperationCount = {
	/** Calls that were sent. */
	sent: number;
	/** Calls that were sent and failed. */
	failed: number;
	/** Calls that were refused without being sent. */
	refused: number;
};

/** A table whose refusals are `unavailable`: a call that was not sent has no effect. */
export class CircuitBreakerTable extends Table {
	static create(inner: Table, clock: Clock, limits = defaultGuardLimits): CircuitBreakerTable {
		return new CircuitBreakerTable(inner, clock, limits);
	}

	/** Counts by operation. */
	readonly counts: ReadonlyMap<TableOperation, Readonly<OperationCount>>;
	readonly #counts = new Map<TableOperation, OperationCount>(Object.values(TableOperation).map(operation =>
		[operation, {sent: 0, failed: 0, refused: 0}]));

	readonly #inner: Table;
	readonly #clock: Clock;
	readonly #limits: GuardLimits;
	#inFlight = 0;
	#failuresInRow = 0;
	#probedAt = 0;

	private constructor(inner: Table, clock: Clock, limits: GuardLimits) {
		super();
		this.counts = this.#counts;
		this.#inner = inner;
		this.#clock = clock;
		this.#limits = limits;
	}

	/** Whether the last calls all failed, so that only probes are sent. */
	get isOpen(): boolean {
		return this.#failuresInRow >= this.#limits.failuresToOpen;
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return this.#call(TableOperation.Get, async () => this.#inner.get(key));
	}

	async list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>> {
		return this.#call(TableOperation.List, async () => this.#inner.list(prefix, limit, after));
	}

	override async write(write: Write): Promise<Result<WriteOutcome, StoreError>> {
		return this.#call(TableOperation.Write, async () => this.#inner.write(write));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		return this.#call(TableOperation.Transact, async () => this.#inner.transact(writes));
	}

	async #call<Value>(
		operation: TableOperation,
		call: () => Promise<Result<Value, StoreError>>,
	): Promise<Result<Value, StoreError>> {
		const count = this.#counts.get(operation)!;
		if (!this.#mayStart()) {
			count.refused += 1;
			return Result.err({failure: StoreFailure.Unavailable, detail: 'The call was not sent, as the store does not keep up.'});
		}

		count.sent += 1;
		this.#inFlight += 1;
		try {
			const result = await call();
			this.#note(result.isOk, count);
			return result;
		} finally {
			this.#inFlight -= 1;
		}
	}

	#mayStart(): boolean {
		if (this.#inFlight >= this.#limits.maxInFlight) {
			return false;
		}

		if (!this.isOpen) {
			return true;
		}

		const isProbe = this.#clock.now() - this.#probedAt >= this.#limits.probeIntervalMs;
		if (isProbe) {
			this.#probedAt = this.#clock.now();
		}

		return isProbe;
	}

	#note(isOk: boolean, count: OperationCount): void {
		if (isOk) {
			this.#failuresInRow = 0;
			return;
		}

		count.failed += 1;
		this.#failuresInRow += 1;
		if (this.#failuresInRow === this.#limits.failuresToOpen) {
			this.#probedAt = this.#clock.now();
		}
	}
}
