/**
 * When a request must have its final answer.
 */
import {type CallHead} from './call-codec.js';
import {type Route} from './routing-table.js';

/** How long after the deadline to wait for the upstream's own timeout response, in ms. */
export const DEADLINE_GRACE_MS = 120;

/** @returns The earlier of the route's timeout and the time at which the caller stops waiting, in ms of the same clock as `arrivedAt`. */
export function requestDeadline({timeoutMs}: Route, {patienceMs}: CallHead, arrivedAt: number): number {
	return arrivedAt + Math.min(timeoutMs, patienceMs ?? timeoutMs);
}
