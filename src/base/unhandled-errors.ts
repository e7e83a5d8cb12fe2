/**
 * Errors that no handler caught: those thrown in callbacks of timers and sockets, `error` events without a listener, and
 * rejected promises that nobody awaits.
 */
import process from 'node:process';
import {type Log} from './log.js';

/** Maximum length of a stack trace in a log line. */
const MAX_STACK_LENGTH = 2000;

/**
 * Logs each error that no handler caught, and lets the process go on: the error concerns the callback or promise in which it
 * occurred, and an end would cut all requests of the process.
 *
 * @param onError - Called after each log line.
 */
export function logUnhandledErrors(log: Log, onError: () => void): void {
	process.on('uncaughtException', (error: unknown, origin) => {
		log.error('Unhandled error; the process goes on.', {err: String(error), origin, stack: describeStack(error)});
		onError();
	});
}

/** @returns The stack trace in a length that suits a log line; `undefined` if something else than an error was thrown. */
export function describeStack(error: unknown): string | undefined {
	return error instanceof Error ? error.stack?.slice(0, MAX_STACK_LENGTH) : undefined;
}
