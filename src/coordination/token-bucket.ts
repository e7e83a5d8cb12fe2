/**
 * A token bucket on the monotonic clock.
 */
import {type Clock} from '../base/clock.js';

/** Limits a rate and allows bursts of a bounded size. */
export class TokenBucket {
	/**
	 * @param ratePerSecond - Tokens added per second.
	 * @param burst - Capacity of the bucket, which is full at the start.
	 */
	static create(clock: Clock, ratePerSecond: number, burst: number): TokenBucket {
		return new TokenBucket(clock, ratePerSecond, burst);
	}

	readonly #clock: Clock;
	readonly #ratePerSecond: number;
	readonly #burst: number;
	#tokens: number;
	#refilledAt: number;

	private constructor(clock: Clock, ratePerSecond: number, burst: number) {
		this.#clock = clock;
		this.#ratePerSecond = ratePerSecond;
		this.#burst = burst;
		this.#tokens = burst;
		this.#refilledAt = clock.now();
	}

	/** @returns Whether the tokens were taken. A count above the burst needs a full bucket and overdraws it. */
	tryTake(count: number): boolean {
		const now = this.#clock.now();
		this.#tokens = Math.min(this.#burst, this.#tokens + ((now - this.#refilledAt) * this.#ratePerSecond / 1000));
		this.#refilledAt = now;
		if (this.#tokens < Math.min(count, this.#burst)) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}
}
