/**
 * Time limit for calls to the store.
 */
import Result from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {withStoreTimeout as withinLimit} from '../coordination/timeout.js';
import {type StoreError, StoreFailure} from '../store/table.js';

/** Maximum time to wait for a call to the store, in ms. */
export const STORE_CALL_TIMEOUT_MS = 2000;

/**
 * @param clock - Measures the time.
 * @param call - The pending call.
 * @returns The result of the call, or `outcome-unknown` if it exceeds the time limit.
 */
export async function withTimeout<Value>(clock: Clock, call: Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
	try {
		return await withinLimit(clock, call, STORE_CALL_TIMEOUT_MS);
	} catch (error) {
		return Result.err({failure: StoreFailure.OutcomeUnknown, detail: (error as Error).message});
	}
}
