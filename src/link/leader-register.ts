/**
 * The record of the current leader: one row of the platform's store, which is only changed by compare-and-set.
 */
import {type Result} from 'true-myth/result';
import {type StoreError} from '../store/table.js';
import {type Leader} from './messages.js';

/** Reads and claims the leader record. */
export abstract class LeaderRegister {
	/** @returns The recorded leader; `undefined` if no VM has ever claimed the record. */
	abstract read(): Promise<Result<Leader | undefined, StoreError>>;

	/**
	 * Claims leadership, unless the record has moved past the given term.
	 *
	 * @param candidate - This process.
	 * @param term - Term of the leader to replace; 0 if there is none.
	 * @returns The leader after the claim: the candidate with its new term, or another VM that claimed first.
	 */
	abstract claim(candidate: Omit<Leader, 'term'>, term: number): Promise<Result<Leader, StoreError>>;
}
