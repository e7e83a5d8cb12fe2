/**
 * The one clock type of the project. All times and durations are milliseconds.
 */

/** A pending timer. */
export type Timer = {
	/** Stops the timer; has no effect once it has fired. */
	cancel(): void;
};

/**
 * Source of time for every part. Decisions use `now`, which never goes back; `wallNow` is for
 * log lines, history and garbage collection only, since the wall clocks of VMs differ and jump.
 */
export abstract class Clock {
	/**
	 * Waits.
	 *
	 * @param ms - Duration in ms.
	 * @param signal - Ends the wait early; the promise then resolves at once.
	 */
	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				timer.cancel();
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = this.setTimer(ms, finish);
			signal?.addEventListener('abort', finish);
		});
	}

	/** Monotonic time in ms; comparable only inside one process. */
	abstract now(): number;

	/** Milliseconds since the Unix epoch, as this VM believes. */
	abstract wallNow(): number;

	/**
	 * Calls a function once.
	 *
	 * @param ms - Delay in ms.
	 * @param action - The function to call.
	 * @returns A handle that cancels the call.
	 */
	abstract setTimer(ms: number, action: () => void): Timer;
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
	static create(): SystemClock {
		return new SystemClock();
	}

	private constructor() {
		super();
	}

	now(): number {
		return performance.now();
	}

	wallNow(): number {
		return Date.now();
	}

	setTimer(ms: number, action: () => void): Timer {
		const handle = setTimeout(action, ms);
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	}
}
