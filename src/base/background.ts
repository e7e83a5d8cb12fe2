/**
 * Work that nobody awaits.
 */
import {type Log} from './log.js';
import {describeStack} from './unhandled-errors.js';

/**
 * Runs work in the background; a failure is logged and affects nothing else.
 *
 * @param task - What the work is for, for the log.
 */
export function runInBackground(log: Log, task: string, work: () => Promise<unknown>): void {
	const run = async () => {
		try {
			await work();
		} catch (error) {
			log.error('Background work failed.', {task, err: String(error), stack: describeStack(error)});
		}
	};

	void run(); // eslint-disable-line @typescript-eslint/no-floating-promises -- never rejects
}
