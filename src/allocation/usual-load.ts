/**
 * The load that callers usually offer to a pool, without the requests that they send again.
 */
import {type Restore} from './unchanged-state.js';

/** Time constant of the average, in ms; several times longer than a load peak of 2 to 6 s. */
const AVERAGE_TIME_MS = 20_000;
/** The average is corrected for the time that it has not seen, but for no shorter time than this, in ms. */
const MIN_SEEN_MS = 1000;

/** An exponentially weighted average of the offered load. Times in ms of the caller's monotonic clock. */
export class UsualLoad {
	static create(): UsualLoad {
		return new UsualLoad();
	}

	#value = 0;
	#updatedAt = 0;
	#startedAt: number | undefined;

	private constructor() {
		// Instances come from `create`.
	}

	/** @returns A function that restores the current state, after an evaluation that must change nothing. */
	snapshot(): Restore {
		const value = this.#value;
		const updatedAt = this.#updatedAt;
		const startedAt = this.#startedAt;
		return () => {
			this.#value = value;
			this.#updatedAt = updatedAt;
			this.#startedAt = startedAt;
		};
	}

	/** Records a request with its expected service time. */
	note(serviceMs: number, now: number): void {
		this.#startedAt ??= now;
		this.#value = this.#valueAt(now) + (serviceMs / AVERAGE_TIME_MS);
		this.#updatedAt = now;
	}

	/** @returns Number of slots that the usual load keeps busy. */
	slots(now: number): number {
		const seenMs = Math.max(MIN_SEEN_MS, now - (this.#startedAt ?? now));
		return this.#valueAt(now) / (1 - Math.exp(-seenMs / AVERAGE_TIME_MS));
	}

	#valueAt(now: number): number {
		return this.#value * Math.exp((this.#updatedAt - now) / AVERAGE_TIME_MS);
	}
}
