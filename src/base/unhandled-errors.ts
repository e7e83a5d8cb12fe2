/**
 * Errors that no handler caught: those thrown in callbacks of timers and sockets, `error` events without a listener, and
 * rejected promises that nobody awaits.
 */
import process from 'node:process';
import {errorFields} from './error-fields.js';
import {type Log} from './log.js';

/**
 * Logs each error that no handler caught, and lets the process go on: the error concerns the callback or promise in which it
 * occurred, and an end would cut all requests of the process.
 *
 * @param onError - Called after each log line.
 */
export function logUnhandledErrors(log: Log, onError: () => void): void {
	process.on('uncaughtException', (error: unknown, origin) => {
		log.error('Unhandled error; the process goes on.', {...errorFields(error), origin});
		onError();
	});
}
