/**
 * Interface of the platform's transactional table service.
 */
import {type Result} from 'true-myth/result';

/** Why a call to the store failed. */
export const StoreFailure = {
	/** The call is known to have had no effect. */
	Unavailable: 'unavailable',
	/** The response to a write was lost, so the write may have taken effect. */
	OutcomeUnknown: 'outcome-unknown',
} as const;

export type StoreFailure = (typeof StoreFailure)[keyof typeof StoreFailure];

/** A failed call to the table service or the object store. */
export type StoreError = {
	readonly failure: StoreFailure;
	readonly detail: string;
};

/** A versioned row of the table. */
export type Row = {
	/** Path-like key, such as `lease/placement/advice`. */
	readonly key: string;
	readonly value: string;
	/** Starts at 1 and increases by one with each write of the row. */
	readonly version: number;
	/** Token of the last write, by which a writer recognizes its own write after a lost response. */
	readonly token: string;
};

/** Precondition on the current row for a write to take effect. */
export type Condition =
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number}
	/** The last write had this token. Unlike versions, tokens are not reused after a row is deleted. */
	| {readonly kind: 'token'; readonly token: string}
	| {readonly kind: 'any'};

/** A conditional write of one row. */
export type Write = {
	readonly key: string;
	/** The new value; `undefined` deletes the row. */
	readonly value: string | undefined;
	readonly condition: Condition;
	/** Unguessable token, unique to each intended write and reused when that write is retried. */
	readonly token: string;
};

/** Outcome of a write for which the store returned a response. */
export const WriteOutcome = {
	Written: 'written',
	ConditionFailed: 'condition-failed',
} as const;

export type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

/** A table service with strongly consistent reads and conditional, transactional writes. */
export abstract class Table {
	/** Writes one row if its condition is satisfied. */
	async write(write: Write): Promise<Result<WriteOutcome, StoreError>> {
		return this.transact([write]);
	}

	/** @returns The row, or `undefined` if it does not exist. */
	abstract get(key: string): Promise<Result<Row | undefined, StoreError>>;

	/**
	 * @param prefix - Key prefix of the rows to list; must include the first key segment and its slash.
	 * @param limit - Maximum number of rows.
	 * @param after - Exclusive lower bound for keys, for continuing after the last row of an earlier call.
	 * @returns Rows in key order.
	 */
	abstract list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>>;

	/** Atomically writes all rows if every condition is satisfied, and none otherwise. */
	abstract transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>>;
}
