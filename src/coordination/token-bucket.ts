/**
 * A token bucket on the monotonic clock.
 */
import {type Clock} from '../base/clock.js';

/** Limits a rate, with bursts up to a bound. */
export class TokenBucket {
	/**
	 * @param ratePerSecond - Tokens that flow in.
	 * @param burst - Greatest number of tokens, and their number at the start.
	 */
	static create(clock: Clock, ratePerSecond: number, burst: number): TokenBucket {
		return new TokenBucket(clock, ratePerSecond, burst);
	}

	readonly #clock: Clock;
	readonly #ratePerSecond: number;
	readonly #burst: number;
	#tokens: number;
	#updatedAt: number;

	private constructor(clock: Clock, ratePerSecond: number, burst: number) {
		this.#clock = clock;
		this.#ratePerSecond = ratePerSecond;
		this.#burst = burst;
		this.#tokens = burst;
		this.#updatedAt = clock.now();
	}

	/** @returns Whether the tokens were there and have been taken; more than the burst are taken from a full bucket. */
	take(count: number): boolean {
		const now = this.#clock.now();
		this.#tokens = Math.min(this.#burst, this.#tokens + ((now - this.#updatedAt) * this.#ratePerSecond / 1000));
		this.#updatedAt = now;
		if (this.#tokens < Math.min(count, this.#burst)) {
			return false;
		}

		this.#tokens -= count;
		return true;
	}
}
