/**
 * Starts a graceful shutdown on SIGTERM and SIGINT.
 */
import process from 'node:process';

/**
 * @param stop - Called once, on the first signal. The process exits with 0 when it resolves and with 1 when it rejects.
 * @param stopRequest - Requests a stop by other means than a signal.
 */
export function stopOnSignal(stop: () => Promise<void>, stopRequest?: AbortSignal): void {
	let isStopping = false;
	const stopOnce = async () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		try {
			await stop();
			process.exit(0);
		} catch (error) {
			console.error((error as Error).message);
			process.exit(1);
		}
	};

	stopRequest?.addEventListener('abort', () => {
		void stopOnce();
	}, {once: true});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stopOnce();
		});
	}
}
