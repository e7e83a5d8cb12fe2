/**
 * Conditional writes that resolve lost responses. The write is retried with the same token, and a strongly consistent
 * read after a failed condition shows whether an earlier try took effect.
 */
import {type Clock} from '../base/clock.js';
import {
	type Row, StoreFailure, type Table, type Write, WriteOutcome,
} from '../store/table.js';
import {withStoreTimeout} from './timeout.js';

/** Outcome of an idempotent write. */
export type IdempotentWriteResult =
	/** The row held this write's token. */
	| {readonly kind: 'written'}
	/** The condition does not hold; `row` is the row read afterwards. */
	| {readonly kind: 'rejected'; readonly row: Row | undefined}
	/** The store did not decide in time. If it refused every try, the write cannot take effect later. */
	| {readonly kind: 'undecided'; readonly mayTakeEffect: boolean};

const RETRY_DELAY_MS = 50;
/** Share of the remaining time given to one call: half, so that a hung connection leaves time for a retry. */
const CALL_TIMEOUT_SHARE = 0.5;
const MIN_CALL_TIMEOUT_MS = 100;

/**
 * Writes one row, retrying until the outcome is known or the timeout has passed.
 *
 * @param timeoutMs - Time after which the outcome is returned as undecided.
 */
export async function writeIdempotently(table: Table, clock: Clock, write: Write, timeoutMs: number): Promise<IdempotentWriteResult> {
	const deadline = clock.now() + timeoutMs;
	let isRejected = false;
	let mayTakeEffect = false;
	while (clock.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		const result = isRejected ? await readBack(table, clock, write, deadline) : await writeOnce(table, clock, write, deadline);
		if (result === 'rejected') {
			isRejected = true;
		} else if (typeof result === 'object') {
			return result;
		} else {
			mayTakeEffect ||= result === StoreFailure.OutcomeUnknown;
			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(Math.min(RETRY_DELAY_MS, Math.max(0, deadline - clock.now())));
		}
	}

	return {kind: 'undecided', mayTakeEffect};
}

async function writeOnce(table: Table, clock: Clock, write: Write, deadline: number): Promise<IdempotentWriteResult | 'rejected' | StoreFailure> {
	const result = await withStoreTimeout(clock, table.write(write), callTimeoutMs(clock, deadline));
	if (result.isErr) {
		return result.error.failure;
	}

	return result.value === WriteOutcome.Written ? {kind: 'written'} : 'rejected';
}

async function readBack(table: Table, clock: Clock, write: Write, deadline: number): Promise<IdempotentWriteResult | StoreFailure> {
	const result = await withStoreTimeout(clock, table.get(write.key), callTimeoutMs(clock, deadline));
	if (result.isErr) {
		return StoreFailure.Unavailable;
	}

	return result.value?.token === write.token ? {kind: 'written'} : {kind: 'rejected', row: result.value};
}

function callTimeoutMs(clock: Clock, deadline: number): number {
	const remainingMs = deadline - clock.now();
	return Math.min(remainingMs, Math.max(MIN_CALL_TIMEOUT_MS, remainingMs * CALL_TIMEOUT_SHARE));
}
