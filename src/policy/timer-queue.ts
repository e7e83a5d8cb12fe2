/**
 * Priority queue of due times for waiting work, driven by a single timer.
 */
import {Heap} from 'heap-js';
import {type Clock, type Timer} from '../base/clock.js';
import {type WaitingWork} from './waiting-work.js';

/** Bounds timer delays, as delays beyond 32 bits overflow in Node.js and fire immediately. */
const MAX_TIMER_MS = 60_000;

type TimerEntry = {
	readonly at: number;
	readonly waiting: WaitingWork;
};

/** Timer queue of one pool. Times are milliseconds of the monotonic clock. */
export class TimerQueue {
	/** @param handle - Called for due work; returns its next due time, or `undefined` to remove it. */
	static create(clock: Clock, handle: (waiting: WaitingWork, now: number) => number | undefined): TimerQueue {
		return new TimerQueue(clock, handle);
	}

	readonly #clock: Clock;
	readonly #handle: (waiting: WaitingWork, now: number) => number | undefined;
	readonly #entries = new Heap<TimerEntry>((a, b) => a.at - b.at);
	#timer: Timer | undefined;
	#timerAt = Number.POSITIVE_INFINITY;

	private constructor(clock: Clock, handle: (waiting: WaitingWork, now: number) => number | undefined) {
		this.#clock = clock;
		this.#handle = handle;
	}

	add(at: number, waiting: WaitingWork): void {
		this.#entries.push({at, waiting});
		this.#setTimer();
	}

	#setTimer(): void {
		const next = this.#entries.peek();
		if (next === undefined || (this.#timer !== undefined && this.#timerAt <= next.at)) {
			return;
		}

		this.#timer?.cancel();
		this.#timerAt = next.at;
		const delayMs = Math.max(0, next.at - this.#clock.now());
		this.#timer = this.#clock.setTimer(Math.min(MAX_TIMER_MS, delayMs), () => {
			this.#timer = undefined;
			this.#runDueEntries();
		});
	}

	#runDueEntries(): void {
		const now = this.#clock.now();
		for (let entry = this.#entries.peek(); entry !== undefined && entry.at <= now; entry = this.#entries.peek()) {
			this.#entries.pop();
			const at = this.#handle(entry.waiting, now);
			if (at !== undefined) {
				this.#entries.push({at, waiting: entry.waiting});
			}
		}

		this.#setTimer();
	}
}
