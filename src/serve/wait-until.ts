/**
 * Polls until a condition is met.
 */
import {type Clock} from '../base/clock.js';

const POLL_INTERVAL_MS = 20;

/**
 * @param condition - The condition, evaluated every 20 ms.
 * @param maxMs - Maximum time to wait.
 * @returns Whether the condition was met.
 */
export async function waitUntil(clock: Clock, condition: () => boolean, maxMs: number): Promise<boolean> {
	const deadline = clock.now() + maxMs;
	while (!condition() && clock.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop -- polls in turn
		await clock.sleep(POLL_INTERVAL_MS);
	}

	return condition();
}
