/**
 * In-memory table with scripted or random faults, on a virtual clock.
 */
import Result from 'true-myth/result';
import {type Clock} from '../../src/base/clock.js';
import {type Random} from '../../src/base/random.js';
import {MemoryTable} from '../../src/store/memory-table.js';
import {
	type Row, type StoreError, StoreFailure, Table, type Write, type WriteOutcome,
} from '../../src/store/table.js';

/** Fault injected into one call. */
export type Fault =
	| 'none'
	/** The call has no effect, and the caller knows it. */
	| 'unavailable'
	/** The call has no effect, but the caller cannot know it. */
	| 'lost-request'
	/** The call takes effect, but the response is lost. */
	| 'lost-answer'
	/** The response is lost immediately, and the call takes effect later. */
	| 'late'
	/** There is never a response, and the call takes effect later. */
	| 'hang';

const allFaults: readonly Fault[] = ['unavailable', 'lost-request', 'lost-answer', 'late', 'hang'];

/** A table with injected faults. */
export class FaultyTable extends Table {
	static create(clock: Clock, random?: Random): FaultyTable {
		return new FaultyTable(clock, random);
	}

	readonly inner = MemoryTable.create();
	/** Faults of the next calls, in order; later calls use `faultRate`. */
	scriptedFaults: Fault[] = [];
	/** Probability that a call gets a random fault. */
	faultRate = 0;
	isDown = false;
	/** Maximum latency of a request or a response, in ms. */
	maxLatencyMs = 0;
	/** Maximum delay until a `late` or `hang` call takes effect, in ms. */
	maxEffectDelayMs = 1000;
	/** Writes that took effect, in order. */
	readonly effects: Write[] = [];
	/** Number of calls, including faulty ones. */
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
		const fault = this.#nextFault();
		if (fault === 'unavailable') {
			return failure(StoreFailure.Unavailable);
		}

		if (fault === 'late' || fault === 'hang') {
			this.#clock.setTimer(this.#randomUpTo(this.maxEffectDelayMs), () => {
				void this.#apply(writes);
			});
			return fault === 'late' ? failure(StoreFailure.OutcomeUnknown) : neverSettles();
		}

		await this.#simulateLatency();
		const outcome = fault === 'lost-request' ? undefined : await this.#apply(writes);
		await this.#simulateLatency();
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
		if (this.#nextFault() !== 'none') {
			return failure(StoreFailure.Unavailable);
		}

		await this.#simulateLatency();
		const result = await call();
		await this.#simulateLatency();
		return result;
	}

	#nextFault(): Fault {
		this.callCount += 1;
		if (this.isDown) {
			return 'unavailable';
		}

		return this.scriptedFaults.shift() ?? (this.faultRate > 0 && this.#random!.next() < this.faultRate ? this.#random!.pick(allFaults) : 'none');
	}

	async #simulateLatency(): Promise<void> {
		if (this.maxLatencyMs > 0) {
			await this.#clock.sleep(this.#randomUpTo(this.maxLatencyMs));
		}
	}

	#randomUpTo(max: number): number {
		return this.#random?.integer(0, max) ?? max;
	}
}

function failure<Value>(kind: StoreFailure): Result<Value, StoreError> {
	return Result.err({failure: kind, detail: 'injected'});
}

async function neverSettles<Value>(): Promise<Value> {
	return new Promise<Value>(() => {
		// Never settles, like a call without a timeout on a dead connection.
	});
}
