/**
 * Waits for a condition.
 */
import {type Clock} from '../base/clock.js';

const POLL_MS = 20;

/**
 * @param isTrue - The condition, evaluated at an interval.
 * @param maxMs - Longest wait.
 * @returns Whether the condition held in the end.
 */
export async function waitUntil(clock: Clock, isTrue: () => boolean, maxMs: number): Promise<boolean> {
	const end = clock.now() + maxMs;
	while (!isTrue() && clock.now() < end) {
		// eslint-disable-next-line no-await-in-loop -- polls in turn
		await clock.sleep(POLL_MS);
	}

	return isTrue();
}
