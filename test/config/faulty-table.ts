/**
 * A view of a shared in-memory table with seeded latency, lost responses, delayed writes and outages.
 */
import Result from 'true-myth/result';
import {type Clock} from '../../src/base/clock.js';
import {type Random} from '../../src/base/random.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, WriteOutcome,
} from '../../src/store/table.js';

export type Faults = {
	isDown: boolean;
	/** Fraction of reads that fail. */
	readFailure: number;
	/** Fraction of writes that take effect but whose response is lost. */
	lostResponse: number;
	/** Fraction of writes that take effect up to `MAX_WRITE_DELAY_MS` after their response was lost. */
	lateWrite: number;
	/** Fraction of responses that are delayed by `SLOW_RESPONSE_MS`. */
	slow: number;
};

export const MAX_WRITE_DELAY_MS = 3000;
const SLOW_RESPONSE_MS = 10_000;
const unavailable: StoreError = {failure: StoreFailure.Unavailable, detail: 'injected'};
const outcomeUnknown: StoreError = {failure: StoreFailure.OutcomeUnknown, detail: 'injected'};

export class FaultyTable extends Table {
	static create(inner: Table, clock: Clock, random: Random): FaultyTable {
		return new FaultyTable(inner, clock, random);
	}

	readonly faults: Faults = {
		isDown: false, readFailure: 0, lostResponse: 0, lateWrite: 0, slow: 0,
	};

	gets = 0;
	lists = 0;
	/** Number of writes with several rows, which are versions; single-row writes are freshness rows. */
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

		const sample = this.random.next();
		if (sample < this.faults.lateWrite) {
			this.clock.setTimer(this.random.integer(1, MAX_WRITE_DELAY_MS), () => {
				void this.inner.transact(writes);
			});
			return Result.err(outcomeUnknown);
		}

		const written = await this.inner.transact(writes);
		await this.#delayResponse();
		return sample < this.faults.lateWrite + this.faults.lostResponse ? Result.err(outcomeUnknown) : written;
	}

	async #delayResponse(): Promise<void> {
		await this.clock.sleep(this.random.next() < this.faults.slow ? SLOW_RESPONSE_MS : this.random.integer(1, 20));
	}

	async #read<Value>(read: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
		await this.#delayResponse();
		return this.faults.isDown || this.random.next() < this.faults.readFailure ? Result.err(unavailable) : read();
	}
}

/** Reports each successful write to a callback. */
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
