/**
 * The clock of one simulated process: it can be paused, as a VM can be, and ends with the process.
 */
import {Clock, type Timer} from '../src/base/clock.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';

/** A view of the shared virtual clock that one process sees. */
export class ProcessClock extends Clock {
	static create(base: VirtualClock): ProcessClock {
		return new ProcessClock(base);
	}

	readonly #base: VirtualClock;
	#isEnded = false;
	#isPaused = false;
	#held: Array<() => void> = [];
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

	/** Runs an event of this process now, after its pause, or never once it has ended. */
	run(event: () => void): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#isPaused) {
			this.#held.push(event);
		} else {
			event();
		}
	}

	/** Waits until the process may run; never resolves once it has ended. */
	async whenRunning(): Promise<void> {
		await new Promise<void>(resolve => {
			this.run(resolve);
		});
	}

	/** Stops all events of the process while time goes on. */
	pause(): void {
		this.#isPaused = true;
	}

	/** @returns Whether the process was paused at any time since then. */
	wasPausedSince(since: number): boolean {
		return this.#pausedUntil >= since;
	}

	/** Runs the events that fell due in the pause. */
	resume(): void {
		if (this.#isPaused) {
			this.#pausedUntil = this.now();
		}

		this.#isPaused = false;
		const held = this.#held;
		this.#held = [];
		for (const event of held) {
			this.run(event);
		}
	}

	/** The process is killed: nothing of it runs any more. */
	end(): void {
		this.#isEnded = true;
		this.#held = [];
	}
}
