/**
 * Garbage collection of claim rows, at a bounded rate. One node at a time needs to run it.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {type Row, type Table, type Write} from '../store/table.js';
import {CLAIM_PREFIX, parseClaim, SteadyWallClock} from './claim-row.js';

const HOUR_MS = 3_600_000;
/** Claims are kept 24 h; the margin covers wall clocks that differ between VMs. */
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

/** The newest time that rows of one pass over the table named, and when the pass ended on the monotonic clock. */
type Pass = {
	readonly newestClaimedAt: number;
	readonly endedAt: number;
};

/**
 * Deletes claim rows older than a day. The first pass only reads: the age of rows counts from the newest row where this
 * VM's wall clock is ahead of it, so that a collector with a wrong clock deletes no claim early.
 */
export class ClaimCollector {
	static create(table: Table, clock: Clock, rate: CollectorRate): ClaimCollector {
		return new ClaimCollector(table, clock, rate);
	}

	readonly #table: Table;
	readonly #clock: Clock;
	readonly #wall: SteadyWallClock;
	readonly #rate: CollectorRate;
	#after = '';
	#newestClaimedAt = 0;
	#lastPass: Pass | undefined;
	#deletedCount = 0;
	#timer: Timer | undefined;

	private constructor(table: Table, clock: Clock, rate: CollectorRate) {
		this.#table = table;
		this.#clock = clock;
		this.#wall = SteadyWallClock.create(clock);
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
		const listed = await this.#table.list(CLAIM_PREFIX, this.#rate.pageRows, this.#after);
		if (listed.isErr) {
			return;
		}

		const rows = listed.value;
		const now = this.#trustedNow();
		await this.#delete(rows.filter(row => this.#isOld(row, now)));
		if (rows.length < this.#rate.pageRows) {
			this.#lastPass = {newestClaimedAt: this.#newestClaimedAt, endedAt: this.#clock.now()};
			this.#newestClaimedAt = 0;
			this.#after = '';
		} else {
			this.#after = rows.at(-1)!.key;
		}
	}

	async #tick(): Promise<void> {
		await this.collectPage();
		if (this.#timer !== undefined) {
			this.start();
		}
	}

	/** The earlier of this VM's wall clock and the newest row's time with the time since; 0 in the first pass. */
	#trustedNow(): number {
		const pass = this.#lastPass;
		return pass === undefined ? 0 : Math.min(this.#wall.now(), pass.newestClaimedAt + this.#clock.now() - pass.endedAt);
	}

	/** A corrupt row is kept, since its age is unknown and its key may have been dispatched. */
	#isOld(row: Row, now: number): boolean {
		const claimedAt = parseClaim(row.value)?.claimedAt;
		this.#newestClaimedAt = Math.max(this.#newestClaimedAt, claimedAt ?? 0);
		return claimedAt !== undefined && now - claimedAt > KEEP_MS;
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
