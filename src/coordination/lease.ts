/**
 * Leases through the table service, with fencing numbers.
 *
 * The row `lease/<name>` is never deleted, so that its version, from which fencing numbers are taken, only rises. No
 * wall clock is involved: a holder counts its time from before it sent the write, and an observer counts the same time
 * from when it first saw the row's token.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {type Clock} from '../base/clock.js';
import {parseJson} from '../base/parse-json.js';
import {type Condition, type Row, type Table} from '../store/table.js';
import {writeOwn} from './own-write.js';
import {withStoreTimeout} from './timeout.js';

/** Prefix of all lease rows. */
export const LEASE_PREFIX = 'lease/';

/** Durations of a lease, in ms; equal on all nodes. */
export type LeaseTimes = {
	/** Time without a renewal after which another node may take the lease. */
	readonly ttlMs: number;
	/** How much earlier the holder stops, for clocks that run at different rates. */
	readonly marginMs: number;
};

export const defaultLeaseTimes: LeaseTimes = {ttlMs: 10_000, marginMs: 2000};

/** What a lease works with. */
export type LeaseOptions = {
	readonly table: Table;
	readonly clock: Clock;
	/** Name of the lease; any characters. */
	readonly name: string;
	/** Identity of this process, never used again by another. */
	readonly holder: string;
	readonly times?: LeaseTimes;
	/** Makes unguessable tokens. */
	readonly createToken?: () => string;
};

const leaseValueSchema = z.object({holder: z.string(), isReleased: z.boolean()});

type LeaseValue = z.infer<typeof leaseValueSchema>;

/** A lease as it is held: the token in the row, the fencing number and the end on this process's clock. */
type Holding = {
	readonly token: string;
	readonly fencingNumber: number;
	readonly validUntil: number;
};

/** The last row that was seen, and since when. */
type Observation = {
	readonly token: string;
	readonly since: number;
};

/** One lease, as one process sees it. Calls must not overlap; `LeaseKeeper` makes them in turn. */
export class Lease {
	static create(options: LeaseOptions): Lease {
		return new Lease(options);
	}

	readonly times: LeaseTimes;
	readonly rowKey: string;
	readonly #options: LeaseOptions;
	readonly #createToken: () => string;
	#holding: Holding | undefined;
	#observation: Observation | undefined;

	private constructor(options: LeaseOptions) {
		this.#options = options;
		this.times = options.times ?? defaultLeaseTimes;
		this.rowKey = LEASE_PREFIX + Array.from(options.name, encodeCharacter).join('');
		this.#createToken = options.createToken ?? randomUUID;
	}

	/** The fencing number while the lease is valid at this instant, else `undefined`. Asked right before each order. */
	get fencingNumber(): number | undefined {
		return this.remainingMs > 0 ? this.#holding?.fencingNumber : undefined;
	}

	/** How much longer the lease is valid, in ms; 0 when it is not held. */
	get remainingMs(): number {
		return Math.max(0, (this.#holding?.validUntil ?? 0) - this.#options.clock.now());
	}

	/**
	 * Takes the lease if it is free, released or lapsed.
	 *
	 * @returns Whether it is held now.
	 */
	async tryAcquire(): Promise<boolean> {
		const {clock, table} = this.#options;
		const read = await withStoreTimeout(clock, table.get(this.rowKey), this.times.ttlMs);
		if (read.isErr) {
			return false;
		}

		const row = read.value;
		if (row !== undefined && !this.#isFree(row)) {
			return false;
		}

		const condition: Condition = row === undefined ? {kind: 'absent'} : {kind: 'token', token: row.token};
		return this.#write(condition, (row?.version ?? 0) + 1);
	}

	/**
	 * Prolongs the lease; a write whose answer is lost is repeated until the lease ends.
	 *
	 * @returns Whether it is still held.
	 */
	async renew(): Promise<boolean> {
		const holding = this.#holding;
		if (holding === undefined || this.remainingMs === 0) {
			this.invalidate();
			return false;
		}

		return this.#write({kind: 'token', token: holding.token}, holding.fencingNumber);
	}

	/** Stops using the lease at once, without telling the store; it lapses there. */
	invalidate(): void {
		this.#holding = undefined;
	}

	/** Gives the lease up. Where the store does not answer in time, it lapses instead. */
	async release(timeoutMs: number): Promise<void> {
		const holding = this.#holding;
		this.invalidate();
		if (holding !== undefined) {
			await writeOwn(this.#options.table, this.#options.clock, {
				key: this.rowKey, value: this.#value(true), condition: {kind: 'token', token: holding.token}, token: this.#createToken(),
			}, timeoutMs);
		}
	}

	async #write(condition: Condition, fencingNumber: number): Promise<boolean> {
		const {clock, table} = this.#options;
		const token = this.#createToken();
		const validUntil = clock.now() + this.times.ttlMs - this.times.marginMs;
		const timeoutMs = this.remainingMs || this.times.ttlMs - this.times.marginMs;
		const result = await writeOwn(table, clock, {
			key: this.rowKey, value: this.#value(false), condition, token,
		}, timeoutMs);
		if (result.kind !== 'written') {
			this.invalidate();
			return false;
		}

		this.#holding = {token, fencingNumber, validUntil};
		return this.remainingMs > 0;
	}

	/** Whether the row was released, or its token has not changed for the ttl on this process's clock. */
	#isFree(row: Row): boolean {
		const now = this.#options.clock.now();
		if (this.#observation?.token !== row.token) {
			this.#observation = {token: row.token, since: now};
		}

		return parseLease(row.value)?.isReleased === true || now - this.#observation.since >= this.times.ttlMs;
	}

	#value(isReleased: boolean): string {
		const value: LeaseValue = {holder: this.#options.holder, isReleased};
		return JSON.stringify(value);
	}
}

/** Keeps letters, digits, `-`, `_`, `.` and `/`; writes other characters as their code point in hex. */
function encodeCharacter(character: string): string {
	return /[\w.\/\-]/v.test(character) ? character : `%${character.codePointAt(0)!.toString(16)};`;
}

/** @returns The value of a row; a corrupt one is `undefined` and lapses like any other. */
function parseLease(text: string): LeaseValue | undefined {
	return leaseValueSchema.safeParse(parseJson(text)).data;
}
