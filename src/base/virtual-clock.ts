/**
 * A clock that is advanced manually, for tests, randomised runs and benchmarks.
 */
import {Heap} from 'heap-js';
import {Clock, type Timer} from './clock.js';

type PendingTimer = {
	at: number;
	sequence: number;
	action: () => void;
};

function compareByTime(a: PendingTimer, b: PendingTimer): number {
	return a.at - b.at || a.sequence - b.sequence;
}

/** Virtual clock. Timers fire in order of due time, then of creation. */
export class VirtualClock extends Clock {
	/**
	 * @param startMs - Initial value of `now`.
	 * @returns A clock that stands still until it is advanced.
	 */
	static create(startMs = 0): VirtualClock {
		return new VirtualClock(startMs);
	}

	readonly #pendingTimers = new Heap<PendingTimer>(compareByTime);
	#now: number;
	#wallOffset = 1_700_000_000_000;
	#sequence = 0;

	private constructor(startMs: number) {
		super();
		this.#now = startMs;
	}

	/** Number of timers that have not fired; cancelled timers count until they are due. */
	get pendingCount(): number {
		return this.#pendingTimers.length;
	}

	now(): number {
		return this.#now;
	}

	wallNow(): number {
		return this.#wallOffset + this.#now;
	}

	/**
	 * Shifts the wall clock without affecting monotonic time.
	 *
	 * @param ms - Offset in ms; negative values move the wall clock back.
	 */
	jumpWall(ms: number): void {
		this.#wallOffset += ms;
	}

	setTimer(ms: number, action: () => void): Timer {
		let isCancelled = false;
		this.#sequence += 1;
		this.#pendingTimers.push({
			at: this.#now + Math.max(0, ms),
			sequence: this.#sequence,
			action() {
				if (!isCancelled) {
					action();
				}
			},
		});
		return {
			cancel() {
				isCancelled = true;
			},
		};
	}

	/**
	 * Advances time and fires the timers that become due, without letting promises settle between them.
	 *
	 * @param ms - Duration to advance by, in ms.
	 */
	advance(ms: number): void {
		const end = this.#now + ms;
		while (this.#fireNextTimer(end)) {
			// Each call fires one timer.
		}

		this.#now = end;
	}

	/**
	 * Advances time and lets promises settle after each timer, for asynchronous code.
	 *
	 * @param ms - Duration to advance by, in ms.
	 */
	async advanceAsync(ms: number): Promise<void> {
		const end = this.#now + ms;
		await flushPromises();
		while (this.#fireNextTimer(end)) {
			// eslint-disable-next-line no-await-in-loop
			await flushPromises();
		}

		this.#now = end;
		await flushPromises();
	}

	#fireNextTimer(end: number): boolean {
		const next = this.#pendingTimers.peek();
		if (next === undefined || next.at > end) {
			return false;
		}

		this.#pendingTimers.pop();
		this.#now = next.at;
		next.action();
		return true;
	}
}

/** Runs all pending promise callbacks, including those that they queue in turn. */
async function flushPromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
