/**
 * Bounds the time of calls to the store.
 */
import Result from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {withStoreTimeout as withinLimit} from '../coordination/timeout.js';
import {type StoreError, StoreFailure} from '../store/table.js';

/** Longest time that a call to the store is waited for, in ms. */
export const STORE_CALL_TIMEOUT_MS = 2000;

/**
 * @param clock - Measures the time.
 * @param call - The pending call.
 * @returns The answer of the call, or `outcome-unknown` when it takes too long.
 */
export async function withTimeout<Value>(clock: Clock, call: Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
	try {
		return await withinLimit(clock, call, STORE_CALL_TIMEOUT_MS);
	} catch (error) {
		return Result.err({failure: StoreFailure.OutcomeUnknown, detail: (error as Error).message});
	}
}
