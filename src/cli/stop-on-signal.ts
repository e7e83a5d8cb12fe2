/**
 * Starts a graceful shutdown on SIGTERM and SIGINT.
 */
import process from 'node:process';
import {runInBackground} from '../base/background.js';
import {type Log} from '../base/log.js';
import {errorFields} from '../base/error-fields.js';

/** Dependencies of a command that stops on a signal. */
export type StopContext = {
	readonly log: Log;
	/** Ends the process. */
	readonly exit: (status: number) => Promise<void>;
	/** Requests a stop by other means than a signal. */
	readonly stopRequest?: AbortSignal;
};

/**
 * @param stop - Called once, on the first signal. The process exits with 0 when it resolves and with 1 when it rejects.
 */
export function stopOnSignal(stop: () => Promise<void>, {log, exit, stopRequest}: StopContext): void {
	let isStopping = false;
	const stopOnce = () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		runInBackground(log, 'stop', async () => {
			try {
				await stop();
			} catch (error) {
				log.error('The node cannot stop.', errorFields(error));
				await exit(1);
				return;
			}

			await exit(0);
		});
	};

	stopRequest?.addEventListener('abort', stopOnce, {once: true});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, stopOnce);
	}
}
