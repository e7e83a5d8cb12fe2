/**
 * Where the state of roll-outs survives: in the store, in the row that operators read and in one for a successor, which are
 * written together, and only by the leader of the present term.
 */
import {type Result} from 'true-myth/result';
import {type StoreVersion} from '../link/store-version.js';
import {type StoreError} from '../store/table.js';
import {type ReadOrder, type StoredRollout} from './rollout-record.js';

/** Versions of the rows of one pool, all of the present era; 0 for a row that does not exist. */
export type RowVersions = {
	readonly era: number;
	readonly record: number;
	readonly status: number;
};

/** The rows of one pool. */
export type PoolRows = {
	readonly at: RowVersions;
	readonly stored?: StoredRollout;
	readonly order?: ReadOrder;
	/** Version at which the recorded leader claimed its term; 0 if there is none. */
	readonly leader: number;
};

/** Reads and writes the state of roll-outs. */
export abstract class RolloutRegister {
	/** @returns The rows of a pool. */
	abstract read(pool: string): Promise<Result<PoolRows, StoreError>>;

	/**
	 * Writes the state of a roll-out, unless a row or the leader has changed.
	 *
	 * @param term - Term of the leader that writes.
	 * @returns The versions of the rows after the write; `undefined` if a condition failed.
	 */
	abstract write(stored: StoredRollout, at: RowVersions, term: StoreVersion): Promise<Result<RowVersions | undefined, StoreError>>;
}
