/**
 * The record of the current leader: one row of the platform's store, which is only changed by compare-and-set. After the
 * store has gone back to an earlier state, the record may name an earlier leader, or be missing.
 */
import {type Result} from 'true-myth/result';
import {type StoreError} from '../store/table.js';
import {type Leader} from './messages.js';
import {type StoreVersion} from './store-version.js';

/** The record as read from the store. */
export type LeaderRecord = {
	/** Version of the record in the store's present era; version 0 if there is no record. */
	readonly at: StoreVersion;
	/** `undefined` if there is no usable record. The era of its term is the one in which it was claimed. */
	readonly leader: Leader | undefined;
};

/** Whether the recorded leader was claimed in the store's present era; other records may be outdated. */
export function isCurrent(record: LeaderRecord): record is LeaderRecord & {readonly leader: Leader} {
	return record.leader?.term.era === record.at.era;
}

/** Reads and claims the leader record. */
export abstract class LeaderRegister {
	abstract read(): Promise<Result<LeaderRecord, StoreError>>;

	/**
	 * Claims leadership, unless the record or the era of the store has changed.
	 *
	 * @param candidate - This process.
	 * @param at - Version of the record to replace, as read.
	 * @returns The record after the claim: the candidate's with its new term, or another one.
	 */
	abstract claim(candidate: Omit<Leader, 'term'>, at: StoreVersion): Promise<Result<LeaderRecord, StoreError>>;
}
