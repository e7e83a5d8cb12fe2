/**
 * Turns SIGTERM and SIGINT into a planned stop.
 */
import process from 'node:process';

/**
 * @param stop - Called once, on the first signal. The process exits with 0 when it resolves, with 1 when it rejects.
 * @param request - A request to stop that comes another way than by a signal.
 */
export function stopOnSignal(stop: () => Promise<void>, request?: AbortSignal): void {
	let isStopping = false;
	const handle = async () => {
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

	request?.addEventListener('abort', () => {
		void handle();
	}, {once: true});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void handle();
		});
	}
}
