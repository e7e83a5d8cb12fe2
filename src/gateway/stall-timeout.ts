/**
 * How long an upstream may make no progress before another one is asked to take its request over. Sound upstreams fall
 * silent for a second or so and go on.
 */
import {Operation, type Route} from './routing-table.js';

/** How long any sound upstream may be silent beyond what was expected of it, in ms. */
const MAX_SOUND_SILENCE_MS = 1200;
/** A response that has not begun is late after a base time in ms plus this multiple of the expected time until it begins. */
const FIRST_STALL_BASE_MS = 500;
const FIRST_STALL_FACTOR = 3;
/** Part of the callers' patience with a stream after which another upstream is asked; the rest is for its first event. */
const PATIENCE_RATIO = 0.7;
/** A safe non-stream request is late after this many objectives. */
const OBJECTIVE_FACTOR = 2.2;
/**
 * Callers disconnect from a stream without an event for the longest of: a minimum time in ms, this multiple of the
 * objective, this multiple of the longest pause.
 */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_OBJECTIVE_FACTOR = 4;
const PATIENCE_PAUSE_FACTOR = 8;

/** @returns How long a caller waits for the first or the next event of a stream, in ms; unlimited for other operations. */
export function callerPatienceMs({operation, objectiveMs, maxPauseMs}: Route): number {
	return operation === Operation.Stream
		? Math.max(MIN_PATIENCE_MS, PATIENCE_OBJECTIVE_FACTOR * objectiveMs, PATIENCE_PAUSE_FACTOR * (maxPauseMs ?? 0))
		: Number.POSITIVE_INFINITY;
}

/**
 * @param expectedFirstMs - Expected time from sending the request to the first event or the response.
 * @param hasBegun - Whether anything of the response has arrived.
 * @returns Time without progress after which another upstream is asked to take the request over, in ms.
 */
export function stallTimeoutMs(route: Route, expectedFirstMs: number, hasBegun: boolean): number {
	const firstMs = Math.max(FIRST_STALL_BASE_MS + (FIRST_STALL_FACTOR * expectedFirstMs), MAX_SOUND_SILENCE_MS + expectedFirstMs);
	if (route.operation !== Operation.Stream) {
		return Math.max(OBJECTIVE_FACTOR * route.objectiveMs, hasBegun ? MAX_SOUND_SILENCE_MS : firstMs);
	}

	return hasBegun ? PATIENCE_RATIO * callerPatienceMs(route) : firstMs;
}
