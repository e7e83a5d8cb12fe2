/**
 * Errors that no handler caught: those thrown in callbacks of timers and sockets, `error` events without a listener, and
 * rejected promises that nobody awaits.
 */
import process from 'node:process';
import {type Log} from './log.js';

/** Maximum length of a stack trace in a log line. */
const MAX_STACK_LENGTH = 2000;

/**
 * Logs each error that no handler caught, before anything else is done about it.
 *
 * @param afterLogging - Called after the log line was written.
 */
export function logUnhandledErrors(log: Log, afterLogging: () => void): void {
	process.on('uncaughtException', (error: unknown, origin) => {
		log.error('Unhandled error.', {err: String(error), origin, stack: describeStack(error)});
		afterLogging();
	});
}

export function describeStack(error: unknown): string | undefined {
	return error instanceof Error ? error.stack?.slice(0, MAX_STACK_LENGTH) : undefined;
}
