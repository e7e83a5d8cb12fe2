/**
 * A view of a shared in-memory table with latency, lost answers, late writes and outages; a seed decides all of them.
 */
import Result from 'true-myth/result';
import {type Clock} from '../../src/base/clock.js';
import {type Random} from '../../src/base/random.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, WriteOutcome,
} from '../../src/store/table.js';

export type Faults = {
	isDown: boolean;
	/** Share of reads that fail. */
	readFailure: number;
	/** Share of writes that take effect while their answer is lost. */
	lostAnswer: number;
	/** Share of writes that take effect up to `lateMs` after their answer was lost. */
	lateWrite: number;
	/** Share of calls that are answered after `SLOW_MS`. */
	slow: number;
};

export const LATE_MS = 3000;
const SLOW_MS = 10_000;
const unavailable: StoreError = {failure: StoreFailure.Unavailable, detail: 'injected'};
const unknown: StoreError = {failure: StoreFailure.OutcomeUnknown, detail: 'injected'};

export class FaultyTable extends Table {
	static create(inner: Table, clock: Clock, random: Random): FaultyTable {
		return new FaultyTable(inner, clock, random);
	}

	readonly faults: Faults = {
		isDown: false, readFailure: 0, lostAnswer: 0, lateWrite: 0, slow: 0,
	};

	gets = 0;
	lists = 0;
	/** Writes of versions; the others are of freshness rows. */
	versionWrites = 0;
	freshnessWrites = 0;

	private constructor(private readonly inner: Table, private readonly clock: Clock, private readonly random: Random) {
		super();
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		this.gets += 1;
		return this.#read(async () => this.inner.get(key));
	}

	async list(prefix: string, limit: number): Promise<Result<readonly Row[], StoreError>> {
		this.lists += 1;
		return this.#read(async () => this.inner.list(prefix, limit));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		if (writes.length > 1) {
			this.versionWrites += 1;
		} else {
			this.freshnessWrites += 1;
		}

		await this.clock.sleep(this.random.integer(1, 20));
		if (this.faults.isDown) {
			return Result.err(unavailable);
		}

		const fate = this.random.next();
		if (fate < this.faults.lateWrite) {
			this.clock.setTimer(this.random.integer(1, LATE_MS), () => {
				void this.inner.transact(writes);
			});
			return Result.err(unknown);
		}

		const written = await this.inner.transact(writes);
		await this.#answerTime();
		return fate < this.faults.lateWrite + this.faults.lostAnswer ? Result.err(unknown) : written;
	}

	async #answerTime(): Promise<void> {
		await this.clock.sleep(this.random.next() < this.faults.slow ? SLOW_MS : this.random.integer(1, 20));
	}

	async #read<Value>(read: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
		await this.#answerTime();
		return this.faults.isDown || this.random.next() < this.faults.readFailure ? Result.err(unavailable) : read();
	}
}

/** Calls a function with each write that took effect. */
export class ObservedTable extends Table {
	constructor(private readonly inner: Table, private readonly onWritten: (write: Write) => void) {
		super();
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return this.inner.get(key);
	}

	async list(prefix: string, limit: number): Promise<Result<readonly Row[], StoreError>> {
		return this.inner.list(prefix, limit);
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		const written = await this.inner.transact(writes);
		if (written.isOk && written.value === WriteOutcome.Written) {
			for (const write of writes) {
				this.onWritten(write);
			}
		}

		return written;
	}
}
