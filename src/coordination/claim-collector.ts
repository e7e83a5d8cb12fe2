/**
 * Garbage collection of claim rows at a bounded rate. It is enough to run it on one node at a time.
 */
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Row, type Table, type Write} from '../store/table.js';
import {ClaimClock} from './claim-clock.js';
import {CLAIM_PREFIX, parseClaim} from './claim-row.js';

const HOUR_MS = 3_600_000;
/** Claims are kept for 24 h; the margin covers VMs whose monotonic clock stopped while they were frozen. */
const RETENTION_MS = 25 * HOUR_MS;

/** Maximum number of writes in one transaction of the table service. */
const MAX_TRANSACTION_WRITES = 100;

/** Rate limit of a collector. */
export type CollectorRate = {
	/** Rows per page, capped at 100, the limit of one transaction. */
	readonly pageRows: number;
	/** Pause between two pages, in ms. */
	readonly intervalMs: number;
};

/**
 * Deletes claim rows that are older than a day by the shared claim clock, and advances that clock.
 */
export class ClaimCollector {
	static create(table: Table, clock: Clock, log: Log, rate: CollectorRate): ClaimCollector {
		return new ClaimCollector(table, clock, log, rate);
	}

	readonly #table: Table;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #claimClock: ClaimClock;
	readonly #rate: CollectorRate;
	#cursor = '';
	#deletedCount = 0;
	#timer: Timer | undefined;

	private constructor(table: Table, clock: Clock, log: Log, rate: CollectorRate) {
		this.#table = table;
		this.#clock = clock;
		this.#log = log;
		this.#claimClock = ClaimClock.create(table, clock);
		this.#rate = {...rate, pageRows: Math.min(rate.pageRows, MAX_TRANSACTION_WRITES)};
	}

	/** Number of rows deleted since creation. */
	get deletedCount(): number {
		return this.#deletedCount;
	}

	start(): void {
		this.#timer = this.#clock.setTimer(this.#rate.intervalMs, () => {
			runInBackground(this.#log, 'collection of claims', async () => this.#tick());
		});
	}

	stop(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
	}

	/** Reads one page and deletes its expired rows; the next call continues after that page. */
	async collectPage(): Promise<void> {
		await this.#claimClock.advance();
		const now = this.#claimClock.readingMs;
		if (now === undefined) {
			return;
		}

		const listed = await this.#table.list(CLAIM_PREFIX, this.#rate.pageRows, this.#cursor);
		if (listed.isErr) {
			return;
		}

		const rows = listed.value;
		await this.#deleteRows(rows.filter(row => isExpired(row, now)));
		this.#cursor = rows.length < this.#rate.pageRows ? '' : rows.at(-1)!.key;
	}

	async #tick(): Promise<void> {
		try {
			await this.collectPage();
		} finally {
			if (this.#timer !== undefined) {
				this.start();
			}
		}
	}

	async #deleteRows(rows: readonly Row[]): Promise<void> {
		if (rows.length === 0) {
			return;
		}

		const deletions = rows.map((row): Write => ({
			key: row.key, value: undefined, condition: {kind: 'token', token: row.token}, token: row.token,
		}));
		const result = await this.#table.transact(deletions);
		if (result.isOk && result.value === 'written') {
			this.#deletedCount += rows.length;
		}
	}
}

/** Corrupt rows never expire, since their age is unknown and their requests may have been dispatched. */
function isExpired(row: Row, now: number): boolean {
	const claimedAt = parseClaim(row.value)?.claimedAt;
	return claimedAt !== undefined && now - claimedAt > RETENTION_MS;
}
