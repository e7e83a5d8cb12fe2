/**
 * Leases with fencing numbers, stored in the table service.
 *
 * The row `lease/<name>` is never deleted, so that its version, from which fencing numbers are taken, only increases.
 * Wall clocks are not used: a holder measures the ttl from before it sent the write, and an observer measures it from
 * when it first read the row's token.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {type Clock} from '../base/clock.js';
import {parseJson} from '../base/parse-json.js';
import {type Condition, type Row, type Table} from '../store/table.js';
import {writeIdempotently} from './idempotent-write.js';
import {withStoreTimeout} from './timeout.js';

/** Prefix of all lease rows. */
export const LEASE_PREFIX = 'lease/';

/** Durations of a lease, in ms; must be equal on all nodes. */
export type LeaseTimes = {
	/** Time without a renewal after which another node may acquire the lease. */
	readonly ttlMs: number;
	/** How long before the ttl the holder stops using the lease; covers clocks that run at different rates. */
	readonly marginMs: number;
};

export const defaultLeaseTimes: LeaseTimes = {ttlMs: 10_000, marginMs: 2000};

/** Options of a lease. */
export type LeaseOptions = {
	readonly table: Table;
	readonly clock: Clock;
	/** Name of the lease; may contain any characters. */
	readonly name: string;
	/** Identity of this process, never reused by another. */
	readonly holder: string;
	readonly times?: LeaseTimes;
	/** Generates unguessable tokens. */
	readonly createToken?: () => string;
};

const leaseValueSchema = z.object({holder: z.string(), isReleased: z.boolean()});

type LeaseValue = z.infer<typeof leaseValueSchema>;

/** State of a held lease: the token in the row, the fencing number and the expiry on this process's clock. */
type HeldLease = {
	readonly token: string;
	readonly fencingNumber: number;
	readonly validUntil: number;
};

/** Token of the last row that was read, and when that token was first read. */
type Observation = {
	readonly token: string;
	readonly since: number;
};

/** One lease as seen by one process. Calls must not overlap; `LeaseKeeper` makes them sequentially. */
export class Lease {
	static create(options: LeaseOptions): Lease {
		return new Lease(options);
	}

	readonly times: LeaseTimes;
	readonly rowKey: string;
	readonly #options: LeaseOptions;
	readonly #createToken: () => string;
	#held: HeldLease | undefined;
	#observation: Observation | undefined;

	private constructor(options: LeaseOptions) {
		this.#options = options;
		this.times = options.times ?? defaultLeaseTimes;
		this.rowKey = LEASE_PREFIX + Array.from(options.name, encodeCharacter).join('');
		this.#createToken = options.createToken ?? randomUUID;
	}

	/** The fencing number if the lease is valid now, otherwise `undefined`. Must be read right before each order. */
	get fencingNumber(): number | undefined {
		return this.remainingMs > 0 ? this.#held?.fencingNumber : undefined;
	}

	/** Remaining validity of the lease, in ms; 0 if it is not held. */
	get remainingMs(): number {
		return Math.max(0, (this.#held?.validUntil ?? 0) - this.#options.clock.now());
	}

	/**
	 * Acquires the lease if it has no row, was released or has expired.
	 *
	 * @returns Whether the lease is held now.
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
		return this.#writeRow(condition, (row?.version ?? 0) + 1);
	}

	/**
	 * Renews the lease. A write whose response is lost is retried until the lease expires.
	 *
	 * @returns Whether the lease is still held.
	 */
	async renew(): Promise<boolean> {
		const held = this.#held;
		if (held === undefined || this.remainingMs === 0) {
			this.invalidate();
			return false;
		}

		return this.#writeRow({kind: 'token', token: held.token}, held.fencingNumber);
	}

	/** Stops using the lease immediately without updating the store, where it expires. */
	invalidate(): void {
		this.#held = undefined;
	}

	/** Releases the lease. If the store does not answer in time, the lease expires instead. */
	async release(timeoutMs: number): Promise<void> {
		const held = this.#held;
		this.invalidate();
		if (held !== undefined) {
			await writeIdempotently(this.#options.table, this.#options.clock, {
				key: this.rowKey, value: this.#serializeValue(true), condition: {kind: 'token', token: held.token}, token: this.#createToken(),
			}, timeoutMs);
		}
	}

	async #writeRow(condition: Condition, fencingNumber: number): Promise<boolean> {
		const {clock, table} = this.#options;
		const token = this.#createToken();
		const validUntil = clock.now() + this.times.ttlMs - this.times.marginMs;
		const timeoutMs = this.remainingMs || this.times.ttlMs - this.times.marginMs;
		const result = await writeIdempotently(table, clock, {
			key: this.rowKey, value: this.#serializeValue(false), condition, token,
		}, timeoutMs);
		if (result.kind !== 'written') {
			this.invalidate();
			return false;
		}

		this.#held = {token, fencingNumber, validUntil};
		return this.remainingMs > 0;
	}

	/** Whether the lease was released, or the row's token has not changed for the ttl on this process's clock. */
	#isFree(row: Row): boolean {
		const now = this.#options.clock.now();
		if (this.#observation?.token !== row.token) {
			this.#observation = {token: row.token, since: now};
		}

		return parseLease(row.value)?.isReleased === true || now - this.#observation.since >= this.times.ttlMs;
	}

	#serializeValue(isReleased: boolean): string {
		const value: LeaseValue = {holder: this.#options.holder, isReleased};
		return JSON.stringify(value);
	}
}

/** Keeps letters, digits, `-`, `_`, `.` and `/`, and encodes other characters as their code point in hex. */
function encodeCharacter(character: string): string {
	return /[\w.\/\-]/v.test(character) ? character : `%${character.codePointAt(0)!.toString(16)};`;
}

/** @returns The parsed value of a row, or `undefined` if it is corrupt; a corrupt row expires like any other. */
function parseLease(text: string): LeaseValue | undefined {
	return leaseValueSchema.safeParse(parseJson(text)).data;
}
