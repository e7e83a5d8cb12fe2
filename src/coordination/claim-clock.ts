/**
 * The shared clock that dates claims. Its value is stored in a row of the table service, so that the age of a claim
 * does not depend on the wall clock of any VM.
 */
import {randomUUID} from 'node:crypto';
import {type Clock} from '../base/clock.js';
import {type Table} from '../store/table.js';

/** Key of the row that stores the clock's value, in ms since its first write. */
export const CLAIM_CLOCK_KEY = 'claim-clock/reading';

/** Maximum time added by one write, in ms; bounds how far a reading can lag behind the time added by a later write. */
const MAX_STEP_MS = 60_000;

/** Minimum time between two writes, in ms. Claims are kept for a day, so a finer resolution is not needed. */
const MIN_WRITE_INTERVAL_MS = 10_000;

/** The last known state of the clock row. */
type Reading = {
	/** Token of the row's last write; `undefined` if the row does not exist. */
	readonly token: string | undefined;
	readonly valueMs: number;
	/** Monotonic time at which the read or the write was sent. */
	readonly at: number;
};

/**
 * Reads the clock row, and advances it if this process collects claims.
 *
 * A write adds at most the time since its writer read the version that it replaces. These intervals do not overlap, so
 * the clock never runs faster than real time, regardless of which processes advance it.
 */
export class ClaimClock {
	static create(table: Table, clock: Clock): ClaimClock {
		return new ClaimClock(table, clock);
	}

	readonly #table: Table;
	readonly #clock: Clock;
	#reading: Reading | undefined;
	#pendingRead: Promise<boolean> | undefined;

	private constructor(table: Table, clock: Clock) {
		this.#table = table;
		this.#clock = clock;
	}

	/** The latest value that the clock can have now, used to date claims; `undefined` before the first read. */
	get latestMs(): number | undefined {
		return this.#reading === undefined ? undefined : Math.ceil(this.#reading.valueMs + this.#clock.now() - this.#reading.at);
	}

	/** The last known value of the clock, used to compute ages; `undefined` before the first read. */
	get readingMs(): number | undefined {
		return this.#reading?.valueMs;
	}

	/** Reads the row unless it has already been read. @returns Whether the clock's value is known. */
	async load(): Promise<boolean> {
		if (this.#reading !== undefined) {
			return true;
		}

		this.#pendingRead ??= this.#read();
		return this.#pendingRead;
	}

	/** Adds the time since the last read or write to the row; called periodically by the process that collects claims. */
	async advance(): Promise<void> {
		const reading = this.#reading;
		if (reading === undefined) {
			await this.load();
			return;
		}

		const now = this.#clock.now();
		const stepMs = Math.min(Math.floor(now - reading.at), MAX_STEP_MS);
		if (stepMs < MIN_WRITE_INTERVAL_MS) {
			return;
		}

		const valueMs = reading.valueMs + stepMs;
		const token = randomUUID();
		const result = await this.#table.write({
			key: CLAIM_CLOCK_KEY,
			value: String(valueMs),
			condition: reading.token === undefined ? {kind: 'absent'} : {kind: 'token', token: reading.token},
			token,
		});
		if (result.isOk && result.value === 'written') {
			this.#reading = {token, valueMs, at: now};
			return;
		}

		// Another process advanced the clock, or the outcome is unknown, so read the row again.
		await this.#read();
	}

	async #read(): Promise<boolean> {
		const sentAt = this.#clock.now();
		const result = await this.#table.get(CLAIM_CLOCK_KEY);
		this.#pendingRead = undefined;
		if (result.isErr) {
			return false;
		}

		const row = result.value;
		const valueMs = row === undefined ? 0 : Number(row.value);
		if (!Number.isFinite(valueMs)) {
			return false;
		}

		this.#reading = {token: row?.token, valueMs, at: sentAt};
		return true;
	}
}
