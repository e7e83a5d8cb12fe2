/**
 * The clock by which claims are dated. It lives in a row of the table service, so that no wall clock of a VM decides how
 * old a claim is.
 */
import {randomUUID} from 'node:crypto';
import {type Clock} from '../base/clock.js';
import {type Table} from '../store/table.js';

/** Row that holds the clock's reading, in ms since its first write. */
export const CLAIM_CLOCK_KEY = 'claim-clock/reading';

/** Most time that one write adds, in ms. It bounds how far a reading can lag behind the time that a later write adds. */
const MAX_STEP_MS = 60_000;

/** Shortest time between two writes, in ms: ages of a day need no finer reading. */
const MIN_STEP_MS = 10_000;

/** What a process read last. */
type Reading = {
	/** Token of the row's last write; `undefined` where there is no row. */
	readonly token: string | undefined;
	readonly valueMs: number;
	/** Monotonic time at which the read was sent or the write was answered. */
	readonly at: number;
};

/**
 * Reads the clock row, and advances it where this process collects claims.
 *
 * A write adds at most the time since its writer read the version that it replaces. These spans do not overlap, so the
 * clock runs no faster than time itself, whichever processes advance it.
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

	/** Latest time that the clock can show now, by which claims are dated; `undefined` before the first read. */
	get latestMs(): number | undefined {
		return this.#reading === undefined ? undefined : Math.ceil(this.#reading.valueMs + this.#clock.now() - this.#reading.at);
	}

	/** The clock's last known reading, which ages are counted from; `undefined` before the first read. */
	get readingMs(): number | undefined {
		return this.#reading?.valueMs;
	}

	/** Reads the row once; later calls return at once. @returns Whether the clock is known. */
	async load(): Promise<boolean> {
		if (this.#reading !== undefined) {
			return true;
		}

		this.#pendingRead ??= this.#read();
		return this.#pendingRead;
	}

	/** Adds the time since the last read or write to the row; to be called again and again by the process that collects. */
	async advance(): Promise<void> {
		const reading = this.#reading;
		if (reading === undefined) {
			await this.load();
			return;
		}

		const now = this.#clock.now();
		const stepMs = Math.min(Math.floor(now - reading.at), MAX_STEP_MS);
		if (stepMs < MIN_STEP_MS) {
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

		// Another process advanced the clock, or the outcome is unknown: the row decides.
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
