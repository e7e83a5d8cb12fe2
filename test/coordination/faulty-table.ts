/**
 * A table in memory with faults that are scripted or drawn at random, on a virtual clock.
 */
import Result from 'true-myth/result';
import {type Clock} from '../../src/base/clock.js';
import {type Random} from '../../src/base/random.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from '../../src/store/table.js';

/** What happens to one call. */
export type Fault =
	| 'none'
	/** No effect, and the caller knows it. */
	| 'unavailable'
	/** No effect, but the caller cannot know it. */
	| 'lost-request'
	/** Effect, but the answer is lost. */
	| 'lost-answer'
	/** The answer is lost at once, and the effect follows later. */
	| 'late'
	/** No answer ever; the effect follows later. */
	| 'hang';

const allFaults: readonly Fault[] = ['unavailable', 'lost-request', 'lost-answer', 'late', 'hang'];

/** A table that fails as it is told. */
export class FaultyTable extends Table {
	static create(clock: Clock, random?: Random): FaultyTable {
		return new FaultyTable(clock, random);
	}

	readonly inner = MemoryTable.create();
	/** Faults of the next calls, in order; calls after them follow `faultRate`. */
	script: Fault[] = [];
	/** Share of the calls with a fault drawn at random. */
	faultRate = 0;
	isDown = false;
	/** Longest time that a request or an answer takes, in ms. */
	maxLatencyMs = 0;
	/** Longest delay of a late effect, in ms. */
	maxLateMs = 1000;
	/** Each write that took effect, in order. */
	readonly effects: Write[] = [];
	/** Calls, faulty ones included. */
	callCount = 0;
	readonly #clock: Clock;
	readonly #random: Random | undefined;

	private constructor(clock: Clock, random: Random | undefined) {
		super();
		this.#clock = clock;
		this.#random = random;
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return this.#read(async () => this.inner.get(key));
	}

	async list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>> {
		return this.#read(async () => this.inner.list(prefix, limit, after));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		const fault = this.#draw();
		if (fault === 'unavailable') {
			return failure(StoreFailure.Unavailable);
		}

		if (fault === 'late' || fault === 'hang') {
			this.#clock.setTimer(this.#integer(this.maxLateMs), () => {
				void this.#apply(writes);
			});
			return fault === 'late' ? failure(StoreFailure.OutcomeUnknown) : never();
		}

		await this.#delay();
		const outcome = fault === 'lost-request' ? undefined : await this.#apply(writes);
		await this.#delay();
		return fault === 'none' ? outcome! : failure(StoreFailure.OutcomeUnknown);
	}

	async #apply(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		const result = await this.inner.transact(writes);
		if (result.isOk && result.value === 'written') {
			this.effects.push(...writes);
		}

		return result;
	}

	async #read<Value>(call: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
		if (this.#draw() !== 'none') {
			return failure(StoreFailure.Unavailable);
		}

		await this.#delay();
		const result = await call();
		await this.#delay();
		return result;
	}

	#draw(): Fault {
		this.callCount += 1;
		if (this.isDown) {
			return 'unavailable';
		}

		return this.script.shift() ?? (this.faultRate > 0 && this.#random!.next() < this.faultRate ? this.#random!.pick(allFaults) : 'none');
	}

	async #delay(): Promise<void> {
		if (this.maxLatencyMs > 0) {
			await this.#clock.sleep(this.#integer(this.maxLatencyMs));
		}
	}

	#integer(max: number): number {
		return this.#random?.integer(0, max) ?? max;
	}
}

function failure<Value>(kind: StoreFailure): Result<Value, StoreError> {
	return Result.err({failure: kind, detail: 'injected'});
}

async function never<Value>(): Promise<Value> {
	return new Promise<Value>(() => {
		// Never settles, as a call on a dead connection without a timeout.
	});
}
