/**
 * The platform's transactional table service, as the rest of the program sees it.
 */
import {type Result} from 'true-myth/result';

/** Why a call to the store failed. */
export const StoreFailure = {
	/** The call certainly took no effect. */
	Unavailable: 'unavailable',
	/** A write that may have taken effect: its answer was lost. */
	OutcomeUnknown: 'outcome-unknown',
} as const;

export type StoreFailure = (typeof StoreFailure)[keyof typeof StoreFailure];

/** A failed call to the table service or the object store. */
export type StoreError = {
	readonly failure: StoreFailure;
	readonly detail: string;
};

/** One row. */
export type Row = {
	/** Path-like key, such as `lease/placement/advice`. */
	readonly key: string;
	readonly value: string;
	/** Rises by one with each write of the row; the first is 1. */
	readonly version: number;
	/** Token of the last write, by which a writer knows its own write after a lost answer. */
	readonly token: string;
};

/** What must be true of the row for a write to take effect. */
export type Condition =
	| {readonly kind: 'absent'}
	| {readonly kind: 'version'; readonly version: number}
	/** The last write carried this token; unlike a version, a token never comes again after a row was deleted. */
	| {readonly kind: 'token'; readonly token: string}
	| {readonly kind: 'any'};

/** One conditional write. */
export type Write = {
	readonly key: string;
	/** The new value; `undefined` deletes the row. */
	readonly value: string | undefined;
	readonly condition: Condition;
	/** Unguessable, fresh for each intended write, the same in its repeats. */
	readonly token: string;
};

/** Result of a write that the store answered. */
export const WriteOutcome = {
	Written: 'written',
	ConditionFailed: 'condition-failed',
} as const;

export type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

/** A table service with strongly consistent reads and conditional, transactional writes. */
export abstract class Table {
	/** Writes one row if its condition holds. */
	async write(write: Write): Promise<Result<WriteOutcome, StoreError>> {
		return this.transact([write]);
	}

	/** @returns The row, or `undefined` where there is none. */
	abstract get(key: string): Promise<Result<Row | undefined, StoreError>>;

	/**
	 * @param prefix - Keys to list start with it; contains the first segment of the keys and its slash.
	 * @param limit - Greatest number of rows.
	 * @param after - Only keys greater than this one, to read on after the last row of an earlier call.
	 * @returns Rows ordered by key.
	 */
	abstract list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>>;

	/** Writes all rows or none. */
	abstract transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>>;
}
