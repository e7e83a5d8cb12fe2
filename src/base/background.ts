/**
 * Work that nobody awaits.
 */
import {errorFields} from './error-fields.js';

/** Where failures are logged; the library has no log of its own. */
export type FailureLog = {
	error(message: string, fields: Readonly<Record<string, string | undefined>>): void;
};

/**
 * Runs work in the background; a failure is logged and affects nothing else.
 *
 * @param task - What the work is for, for the log.
 */
export function runInBackground(log: FailureLog, task: string, work: () => Promise<unknown>): void {
	const run = async () => {
		try {
			await work();
		} catch (error) {
			log.error('Background work failed.', {task, ...errorFields(error)});
		}
	};

	void run(); // eslint-disable-line @typescript-eslint/no-floating-promises -- never rejects
}
