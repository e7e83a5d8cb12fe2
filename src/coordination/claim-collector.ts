/**
 * Garbage collection of claim rows, at a bounded rate. One node at a time needs to run it.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {type Row, type Table, type Write} from '../store/table.js';
import {ClaimClock} from './claim-clock.js';
import {CLAIM_PREFIX, parseClaim} from './claim-row.js';

const HOUR_MS = 3_600_000;
/** Claims are kept 24 h; the margin covers VMs whose monotonic clock stood still while they were frozen. */
const KEEP_MS = 25 * HOUR_MS;

/** Most writes in one transaction of the table service. */
const MAX_PAGE_ROWS = 100;

/** Rate of a collector. */
export type CollectorRate = {
	/** Rows read at a time; no more than the 100 of one transaction are. */
	readonly pageRows: number;
	/** Time between two pages, in ms. */
	readonly intervalMs: number;
};

/**
 * Deletes claim rows older than a day by the shared claim clock, which it advances.
 */
export class ClaimCollector {
	static create(table: Table, clock: Clock, rate: CollectorRate): ClaimCollector {
		return new ClaimCollector(table, clock, rate);
	}

	readonly #table: Table;
	readonly #clock: Clock;
	readonly #claimClock: ClaimClock;
	readonly #rate: CollectorRate;
	#after = '';
	#deletedCount = 0;
	#timer: Timer | undefined;

	private constructor(table: Table, clock: Clock, rate: CollectorRate) {
		this.#table = table;
		this.#clock = clock;
		this.#claimClock = ClaimClock.create(table, clock);
		this.#rate = {...rate, pageRows: Math.min(rate.pageRows, MAX_PAGE_ROWS)};
	}

	/** Rows deleted since the start. */
	get deletedCount(): number {
		return this.#deletedCount;
	}

	start(): void {
		this.#timer = this.#clock.setTimer(this.#rate.intervalMs, () => {
			void this.#tick();
		});
	}

	stop(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
	}

	/** Reads one page and deletes its old rows; the next call reads on. */
	async collectPage(): Promise<void> {
		await this.#claimClock.advance();
		const now = this.#claimClock.readingMs;
		if (now === undefined) {
			return;
		}

		const listed = await this.#table.list(CLAIM_PREFIX, this.#rate.pageRows, this.#after);
		if (listed.isErr) {
			return;
		}

		const rows = listed.value;
		await this.#delete(rows.filter(row => isOld(row, now)));
		this.#after = rows.length < this.#rate.pageRows ? '' : rows.at(-1)!.key;
	}

	async #tick(): Promise<void> {
		await this.collectPage();
		if (this.#timer !== undefined) {
			this.start();
		}
	}

	async #delete(rows: readonly Row[]): Promise<void> {
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

/** A corrupt row is kept, since its age is unknown and its key may have been dispatched. */
function isOld(row: Row, now: number): boolean {
	const claimedAt = parseClaim(row.value)?.claimedAt;
	return claimedAt !== undefined && now - claimedAt > KEEP_MS;
}
