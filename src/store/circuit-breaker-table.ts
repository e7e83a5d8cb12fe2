/**
 * Circuit breaker for the table service. Limits the number of concurrent calls, rejects calls immediately while the
 * service is failing, and counts calls by operation.
 */
import Result from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from './table.js';

/** Thresholds of the circuit breaker. */
export type CircuitBreakerLimits = {
	/** Maximum number of concurrent calls; calls beyond it are rejected without being sent. */
	readonly maxInFlight: number;
	/** Number of consecutive failures that opens the circuit. */
	readonly failureThreshold: number;
	/** Minimum interval between probe calls while the circuit is open, in ms. */
	readonly probeIntervalMs: number;
};

export const defaultCircuitBreakerLimits: CircuitBreakerLimits = {maxInFlight: 256, failureThreshold: 10, probeIntervalMs: 500};

/** Table operations by which calls are counted. */
export const TableOperation = {
	Get: 'get',
	List: 'list',
	Write: 'write',
	Transact: 'transact',
} as const;

export type TableOperation = (typeof TableOperation)[keyof typeof TableOperation];

/** Call counters of one operation since process start. */
export type OperationCount = {
	/** Calls that were sent. */
	sent: number;
	/** Calls that were sent and failed. */
	failed: number;
	/** Calls that were rejected without being sent. */
	refused: number;
};

/** Wraps a table in a circuit breaker. Rejected calls fail with `unavailable`, because a call that was not sent has no effect. */
export class CircuitBreakerTable extends Table {
	static create(inner: Table, clock: Clock, limits = defaultCircuitBreakerLimits): CircuitBreakerTable {
		return new CircuitBreakerTable(inner, clock, limits);
	}

	/** Call counters by operation. */
	readonly counts: ReadonlyMap<TableOperation, Readonly<OperationCount>>;
	readonly #counts = new Map<TableOperation, OperationCount>(Object.values(TableOperation).map(operation =>
		[operation, {sent: 0, failed: 0, refused: 0}]));

	readonly #inner: Table;
	readonly #clock: Clock;
	readonly #limits: CircuitBreakerLimits;
	#inFlight = 0;
	#consecutiveFailures = 0;
	#lastProbeAt = 0;

	private constructor(inner: Table, clock: Clock, limits: CircuitBreakerLimits) {
		super();
		this.counts = this.#counts;
		this.#inner = inner;
		this.#clock = clock;
		this.#limits = limits;
	}

	/** Whether the circuit is open, so that only probe calls are sent. */
	get isOpen(): boolean {
		return this.#consecutiveFailures >= this.#limits.failureThreshold;
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
		if (!this.#tryAdmit()) {
			count.refused += 1;
			return Result.err({failure: StoreFailure.Unavailable, detail: 'The call was not sent: the store is failing or has too many calls in flight.'});
		}

		count.sent += 1;
		this.#inFlight += 1;
		try {
			const result = await call();
			this.#recordResult(result.isOk, count);
			return result;
		} finally {
			this.#inFlight -= 1;
		}
	}

	#tryAdmit(): boolean {
		if (this.#inFlight >= this.#limits.maxInFlight) {
			return false;
		}

		if (!this.isOpen) {
			return true;
		}

		const isProbe = this.#clock.now() - this.#lastProbeAt >= this.#limits.probeIntervalMs;
		if (isProbe) {
			this.#lastProbeAt = this.#clock.now();
		}

		return isProbe;
	}

	#recordResult(isSuccess: boolean, count: OperationCount): void {
		if (isSuccess) {
			this.#consecutiveFailures = 0;
			return;
		}

		count.failed += 1;
		this.#consecutiveFailures += 1;
		if (this.#consecutiveFailures === this.#limits.failureThreshold) {
			this.#lastProbeAt = this.#clock.now();
		}
	}
}
