/**
 * Timeouts for calls whose own timeouts cannot be relied on.
 */
import Result from 'true-myth/result';
import {type Clock, type Timer} from '../base/clock.js';
import {type StoreError, StoreFailure} from '../store/table.js';

/** @returns The value of a call, or `undefined` if it takes longer than the timeout. */
export async function withTimeoutOrUndefined<Value>(clock: Clock, call: Promise<Value>, timeoutMs: number): Promise<Value | undefined> {
	let timer: Timer | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = clock.setTimer(timeoutMs, () => {
			resolve(undefined);
		});
	});
	try {
		return await Promise.race([call, timeout]);
	} finally {
		timer?.cancel();
	}
}

/** @returns The result of a call to the store, or an `outcome-unknown` error if it takes longer than the timeout. */
export async function withStoreTimeout<Value>(
	clock: Clock,
	call: Promise<Result<Value, StoreError>>,
	timeoutMs: number,
): Promise<Result<Value, StoreError>> {
	const result = await withTimeoutOrUndefined(clock, call, timeoutMs);
	return result ?? Result.err({failure: StoreFailure.OutcomeUnknown, detail: 'The store did not answer in time.'});
}
