/**
 * Where the VMs write down who allocates for all: one row of the platform's store, changed only under the condition
 * that it has not changed meanwhile.
 */
import {type Result} from 'true-myth/result';
import {type StoreError} from '../store/table.js';
import {type Leader} from './messages.js';

/** The register. */
export abstract class LeaderRegister {
	/** @returns Who allocates, as the store knows; `undefined` where nobody ever did. */
	abstract read(): Promise<Result<Leader | undefined, StoreError>>;

	/**
	 * Takes over.
	 *
	 * @param candidate - This process.
	 * @param term - Term of the allocator that it replaces; 0 where there is none.
	 * @returns Who allocates now: the candidate with its new term, or another that was faster.
	 */
	abstract claim(candidate: Omit<Leader, 'term'>, term: number): Promise<Result<Leader, StoreError>>;
}
