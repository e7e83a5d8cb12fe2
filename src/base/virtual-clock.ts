/**
 * A clock that moves only when told to, for tests, randomised runs and benches.
 */
import {Heap} from 'heap-js';
import {Clock, type Timer} from './clock.js';

type Pending = {
	at: number;
	sequence: number;
	action: () => void;
};

function compareByTime(a: Pending, b: Pending): number {
	return a.at - b.at || a.sequence - b.sequence;
}

/** Virtual time; timers fire in order of time, then of creation. */
export class VirtualClock extends Clock {
	/**
	 * @param startMs - The first value of `now`.
	 * @returns A clock that stands still until `advance` is called.
	 */
	static create(startMs = 0): VirtualClock {
		return new VirtualClock(startMs);
	}

	readonly #pending = new Heap<Pending>(compareByTime);
	#now: number;
	#wallOffset = 1_700_000_000_000;
	#sequence = 0;

	private constructor(startMs: number) {
		super();
		this.#now = startMs;
	}

	/** The number of timers that have not fired, cancelled ones included until their time comes. */
	get pendingCount(): number {
		return this.#pending.length;
	}

	now(): number {
		return this.#now;
	}

	wallNow(): number {
		return this.#wallOffset + this.#now;
	}

	/**
	 * Makes the wall clock jump while monotonic time goes on evenly.
	 *
	 * @param ms - Size of the jump; negative goes back.
	 */
	jumpWall(ms: number): void {
		this.#wallOffset += ms;
	}

	setTimer(ms: number, action: () => void): Timer {
		let isCancelled = false;
		this.#sequence += 1;
		this.#pending.push({
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
	 * Moves time forward and fires the timers that fall due, without letting promises settle between them.
	 *
	 * @param ms - How far to move.
	 */
	advance(ms: number): void {
		const end = this.#now + ms;
		while (this.#fireNext(end)) {
			// Each call fires one timer.
		}

		this.#now = end;
	}

	/**
	 * Moves time forward and lets promises settle after each timer, for code that awaits.
	 *
	 * @param ms - How far to move.
	 */
	async advanceAsync(ms: number): Promise<void> {
		const end = this.#now + ms;
		await settle();
		while (this.#fireNext(end)) {
			// eslint-disable-next-line no-await-in-loop
			await settle();
		}

		this.#now = end;
		await settle();
	}

	#fireNext(end: number): boolean {
		const next = this.#pending.peek();
		if (next === undefined || next.at > end) {
			return false;
		}

		this.#pending.pop();
		this.#now = next.at;
		next.action();
		return true;
	}
}

/** Lets promise callbacks that are ready run, chains of them included. */
async function settle(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
