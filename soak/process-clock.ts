/**
 * Clock of one simulated process. Pausing it simulates a paused VM, and no event runs after the process has ended.
 */
import {Clock, type Timer} from '../src/base/clock.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';

/** The shared virtual clock as seen by one process. */
export class ProcessClock extends Clock {
	static create(base: VirtualClock): ProcessClock {
		return new ProcessClock(base);
	}

	readonly #base: VirtualClock;
	#isEnded = false;
	#isPaused = false;
	#deferred: Array<() => void> = [];
	#pausedUntil = Number.NEGATIVE_INFINITY;

	private constructor(base: VirtualClock) {
		super();
		this.#base = base;
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	get isPaused(): boolean {
		return this.#isPaused;
	}

	now(): number {
		return this.#base.now();
	}

	wallNow(): number {
		return this.#base.wallNow();
	}

	setTimer(ms: number, action: () => void): Timer {
		let isCanceled = false;
		const timer = this.#base.setTimer(ms, () => {
			this.run(() => {
				if (!isCanceled) {
					action();
				}
			});
		});
		return {
			cancel() {
				isCanceled = true;
				timer.cancel();
			},
		};
	}

	/** Runs an event of this process immediately, or after its pause, or never if the process has ended. */
	run(event: () => void): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#isPaused) {
			this.#deferred.push(event);
		} else {
			event();
		}
	}

	/** Waits until the process is not paused; never resolves if it has ended. */
	async whenRunning(): Promise<void> {
		await new Promise<void>(resolve => {
			this.run(resolve);
		});
	}

	/** Defers all events of the process while time advances. */
	pause(): void {
		this.#isPaused = true;
	}

	/** @returns Whether a pause of the process ended at or after that time. */
	wasPausedSince(since: number): boolean {
		return this.#pausedUntil >= since;
	}

	/** Runs the events that became due during the pause. */
	resume(): void {
		if (this.#isPaused) {
			this.#pausedUntil = this.now();
		}

		this.#isPaused = false;
		const deferred = this.#deferred;
		this.#deferred = [];
		for (const event of deferred) {
			this.run(event);
		}
	}

	/** Ends the process; none of its events run afterwards. */
	end(): void {
		this.#isEnded = true;
		this.#deferred = [];
	}
}
