/**
 * Listening on an address that may still be in use, as by the process that is being replaced.
 */
import {once} from 'node:events';
import {type ListenOptions, type Server} from 'node:net';
import {type Clock} from './clock.js';
import {type Log} from './log.js';

const RETRY_INTERVAL_MS = 100;
/** How long an address that is in use is tried again, in ms. */
const MAX_WAIT_MS = 15_000;
const IN_USE_CODE = 'EADDRINUSE';

/**
 * Waits until a server listens. An address in use is tried again for some seconds.
 *
 * @throws The error of the last attempt.
 */
export async function listen(server: Server, options: ListenOptions, clock: Clock, log: Log): Promise<void> {
	const endsAt = clock.now() + MAX_WAIT_MS;
	for (let attempt = 1; ; attempt += 1) {
		try {
			server.listen(options);
			await once(server, 'listening'); // eslint-disable-line no-await-in-loop -- attempts are sequential
			return;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== IN_USE_CODE || clock.now() >= endsAt) {
				throw error;
			}

			if (attempt === 1) {
				log.warn('Address in use; trying again.', {host: options.host, port: options.port});
			}
		}

		await clock.sleep(RETRY_INTERVAL_MS); // eslint-disable-line no-await-in-loop
	}
}
