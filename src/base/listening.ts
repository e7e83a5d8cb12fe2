/**
 * Listening on an address that may not be available yet: the process that is being replaced may still have it, or a
 * connection of another process whose port the system chose.
 */
import {once} from 'node:events';
import {type ListenOptions, type Server} from 'node:net';
import {type Clock} from './clock.js';
import {type Log} from './log.js';

/** Time between two attempts, in ms. */
const RETRY_INTERVAL_MS = 100;
/** Time between two log lines about the same address, in ms. */
const LOG_INTERVAL_MS = 10_000;
/** Time between two log lines about connections that cannot be accepted, in ms. */
const ACCEPT_LOG_INTERVAL_MS = 1000;

/** Dependencies of a listening server. */
export type ListenContext = {
	readonly clock: Clock;
	readonly log: Log;
	/** Ends the attempts. */
	readonly signal?: AbortSignal | undefined;
};

/**
 * Waits until a server listens. An address that is not available is tried again without limit, as it may become available
 * at any time. Afterwards, a connection that cannot be accepted is logged.
 *
 * @returns Whether the server listens; false if the attempts were ended.
 * @throws Errors that are not the system's, such as a server that listens already.
 */
export async function listen(server: Server, options: ListenOptions, {clock, log, signal}: ListenContext): Promise<boolean> {
	const startedAt = clock.now();
	let loggedAt = Number.NEGATIVE_INFINITY;
	while (signal?.aborted !== true) {
		try {
			server.listen(options);
			await once(server, 'listening'); // eslint-disable-line no-await-in-loop -- attempts are sequential
			logAcceptErrors(server, clock, log);
			if (loggedAt > startedAt) {
				log.info('Address available; listening.', {host: options.host, port: options.port, afterMs: Math.round(clock.now() - startedAt)});
			}

			return true;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).syscall === undefined) {
				throw error;
			}

			if (clock.now() - loggedAt >= LOG_INTERVAL_MS) {
				loggedAt = clock.now();
				log.warn('Address not available; trying again.', {host: options.host, port: options.port, err: String(error)});
			}
		}

		await clock.sleep(RETRY_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
	}

	return false;
}

function logAcceptErrors(server: Server, clock: Clock, log: Log): void {
	let loggedAt = Number.NEGATIVE_INFINITY;
	let count = 0;
	server.on('error', err => {
		count += 1;
		if (clock.now() - loggedAt >= ACCEPT_LOG_INTERVAL_MS) {
			loggedAt = clock.now();
			log.error('Connections cannot be accepted.', {err: err.message, count});
			count = 0;
		}
	});
}
