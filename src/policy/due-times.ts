/**
 * Times at which waiting work needs attention, behind a single timer.
 */
import {Heap} from 'heap-js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Waiting} from './waiting.js';

/** Longer timers overflow the 32 bits of Node.js and fire at once. */
const MAX_TIMER_MS = 60_000;

type Due = {
	readonly at: number;
	readonly waiting: Waiting;
};

/** Due times of one pool. Times in ms of the monotonic clock. */
export class DueTimes {
	/** @param handle - Called for work that is due; returns when it is due again, `undefined` for never. */
	static create(clock: Clock, handle: (waiting: Waiting, now: number) => number | undefined): DueTimes {
		return new DueTimes(clock, handle);
	}

	readonly #clock: Clock;
	readonly #handle: (waiting: Waiting, now: number) => number | undefined;
	readonly #dues = new Heap<Due>((a, b) => a.at - b.at);
	#timer: Timer | undefined;
	#timerAt = Number.POSITIVE_INFINITY;

	private constructor(clock: Clock, handle: (waiting: Waiting, now: number) => number | undefined) {
		this.#clock = clock;
		this.#handle = handle;
	}

	add(at: number, waiting: Waiting): void {
		this.#dues.push({at, waiting});
		this.#setTimer();
	}

	#setTimer(): void {
		const next = this.#dues.peek();
		if (next === undefined || (this.#timer !== undefined && this.#timerAt <= next.at)) {
			return;
		}

		this.#timer?.cancel();
		this.#timerAt = next.at;
		const wait = Math.max(0, next.at - this.#clock.now());
		this.#timer = this.#clock.setTimer(Math.min(MAX_TIMER_MS, wait), () => {
			this.#timer = undefined;
			this.#handleDues();
		});
	}

	#handleDues(): void {
		const now = this.#clock.now();
		for (let due = this.#dues.peek(); due !== undefined && due.at <= now; due = this.#dues.peek()) {
			this.#dues.pop();
			const at = this.#handle(due.waiting, now);
			if (at !== undefined) {
				this.#dues.push({at, waiting: due.waiting});
			}
		}

		this.#setTimer();
	}
}
