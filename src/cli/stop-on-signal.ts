/**
 * Turns SIGTERM and SIGINT into a planned stop.
 */
import process from 'node:process';

/**
 * @param stop - Called once, on the first signal. The process exits with 0 when it resolves, with 1 when it rejects.
 */
export function stopOnSignal(stop: () => Promise<void>): void {
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

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void handle();
		});
	}
}
