import {setTimeout as sleep} from 'node:timers/promises';

const TIMEOUT_MS = 10_000;

/** Polls until the condition holds; throws after 10 s. */
export async function eventually(condition: () => boolean | Promise<boolean>, pollMs = 5): Promise<void> {
	const start = performance.now();
	// eslint-disable-next-line no-await-in-loop
	while (!await condition()) {
		if (performance.now() - start > TIMEOUT_MS) {
			throw new Error('The condition did not hold within 10 s.');
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollMs);
	}
}
