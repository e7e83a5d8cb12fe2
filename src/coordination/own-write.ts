/**
 * Conditional writes whose lost answers are resolved: the same write is repeated with the same token, and a strong read
 * after a failed condition tells whether an earlier copy took effect.
 */
import {type Clock} from '../base/clock.js';
import {
	type Row, StoreFailure, type Table, type Write, WriteOutcome,
} from '../store/table.js';
import {withStoreTimeout} from './timeout.js';

/** How a write ended. */
export type OwnWriteResult =
	/** The row held this write's token. */
	| {readonly kind: 'written'}
	/** The condition does not hold; the row as it was read afterwards. */
	| {readonly kind: 'rejected'; readonly row: Row | undefined}
	/** The store did not decide in time; where it refused every copy, the write cannot take effect later. */
	| {readonly kind: 'undecided'; readonly mayTakeEffect: boolean};

const BACK_OFF_MS = 50;
/** One call gets half of the time that is left, so that a hung connection leaves time for a repeat. */
const CALL_SHARE = 0.5;
const MIN_CALL_MS = 100;

/**
 * Writes one row.
 *
 * @param timeoutMs - Time after which the outcome is left undecided.
 */
export async function writeOwn(table: Table, clock: Clock, write: Write, timeoutMs: number): Promise<OwnWriteResult> {
	const end = clock.now() + timeoutMs;
	let isRejected = false;
	let mayTakeEffect = false;
	while (clock.now() < end) {
		// eslint-disable-next-line no-await-in-loop
		const result = isRejected ? await readBack(table, clock, write, end) : await writeOnce(table, clock, write, end);
		if (result === 'rejected') {
			isRejected = true;
		} else if (typeof result === 'object') {
			return result;
		} else {
			mayTakeEffect ||= result === StoreFailure.OutcomeUnknown;
			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(Math.min(BACK_OFF_MS, Math.max(0, end - clock.now())));
		}
	}

	return {kind: 'undecided', mayTakeEffect};
}

async function writeOnce(table: Table, clock: Clock, write: Write, end: number): Promise<OwnWriteResult | 'rejected' | StoreFailure> {
	const result = await withStoreTimeout(clock, table.write(write), callLimit(clock, end));
	if (result.isErr) {
		return result.error.failure;
	}

	return result.value === WriteOutcome.Written ? {kind: 'written'} : 'rejected';
}

async function readBack(table: Table, clock: Clock, write: Write, end: number): Promise<OwnWriteResult | StoreFailure> {
	const result = await withStoreTimeout(clock, table.get(write.key), callLimit(clock, end));
	if (result.isErr) {
		return StoreFailure.Unavailable;
	}

	return result.value?.token === write.token ? {kind: 'written'} : {kind: 'rejected', row: result.value};
}

function callLimit(clock: Clock, end: number): number {
	const leftMs = end - clock.now();
	return Math.min(leftMs, Math.max(MIN_CALL_MS, leftMs * CALL_SHARE));
}
