/**
 * Clock interface and the system clock. All times and durations are in milliseconds.
 */

/** Longest delay that the timers of Node.js count, in ms, about 25 days; they fire at once for a longer one. */
const MAX_DELAY_MS = 2_147_483_647;

/** A pending timer. */
export type Timer = {
	/** Cancels the timer; has no effect once it has fired. */
	cancel(): void;
};

/**
 * Time source of every component. Decisions use `now`, which is monotonic. `wallNow` is only for
 * log lines, history and garbage collection, because the wall clocks of VMs differ and can jump.
 */
export abstract class Clock {
	/**
	 * Resolves after a delay.
	 *
	 * @param ms - Delay in ms.
	 * @param signal - Ends the delay early: on abort the promise resolves immediately.
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

	/** Monotonic time in ms; comparable only within one process. */
	abstract now(): number;

	/** Milliseconds since the Unix epoch according to the wall clock of this VM. */
	abstract wallNow(): number;

	/**
	 * Calls a function once after a delay.
	 *
	 * @param ms - Delay in ms.
	 * @param action - Function to call.
	 * @returns A handle that cancels the timer.
	 */
	abstract setTimer(ms: number, action: () => void): Timer;
}

/** Clock backed by the operating system. Timers with a longer delay than about 25 days fire after that time. */
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
		const handle = setTimeout(action, Math.min(MAX_DELAY_MS, ms));
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	}
}
