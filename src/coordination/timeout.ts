/**
 * Time limits on calls whose own limits are not trusted.
 */
import Result from 'true-myth/result';
import {type Clock, type Timer} from '../base/clock.js';
import {type StoreError, StoreFailure} from '../store/table.js';

/** @returns The value of a call, or `undefined` where it takes longer than the given time in ms. */
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

/** @returns The result of a call to the store, or `outcome-unknown` after the given time in ms. */
export async function withStoreTimeout<Value>(
	clock: Clock,
	call: Promise<Result<Value, StoreError>>,
	timeoutMs: number,
): Promise<Result<Value, StoreError>> {
	const result = await withTimeoutOrUndefined(clock, call, timeoutMs);
	return result ?? Result.err({failure: StoreFailure.OutcomeUnknown, detail: 'The store did not answer in time.'});
}
