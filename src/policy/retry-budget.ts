/**
 * Bounds retries to a share of the requests, so that a failing service does not multiply its own load.
 */
import {LRUCache} from 'lru-cache';
import {type Clock} from '../base/clock.js';

const RETRIES_PER_REQUEST = 0.1;
const MIN_RETRIES_PER_MS = 0.001;
/** Retries that can be saved up: those of 10 s at the least rate. */
const MAX_SAVED_RETRIES = 10;
const MAX_BUCKETS = 20_000;

type Bucket = {
	retries: number;
	lastRequestAt: number;
};

/** One token bucket for each customer and service: 10% of its requests, and at least one retry a second. */
export class RetryBudget {
	static create(clock: Clock): RetryBudget {
		return new RetryBudget(clock);
	}

	readonly #clock: Clock;
	readonly #buckets = new LRUCache<string, Bucket>({max: MAX_BUCKETS});

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** A request arrived (not a retry). */
	noteRequest(customer: string, pool: string): void {
		const bucket = this.#bucket(customer, pool);
		const now = this.#clock.now();
		// The greater of the two rates, not their sum: below 10 requests/s the least rate applies.
		const earned = Math.max(RETRIES_PER_REQUEST, (now - bucket.lastRequestAt) * MIN_RETRIES_PER_MS);
		bucket.retries = Math.min(MAX_SAVED_RETRIES, bucket.retries + earned);
		bucket.lastRequestAt = now;
	}

	/** @returns Whether a retry may be sent; it is then spent. */
	spend(customer: string, pool: string): boolean {
		const bucket = this.#bucket(customer, pool);
		if (bucket.retries < 1) {
			return false;
		}

		bucket.retries -= 1;
		return true;
	}

	#bucket(customer: string, pool: string): Bucket {
		const id = `${customer} ${pool}`;
		let bucket = this.#buckets.get(id);
		if (bucket === undefined) {
			bucket = {retries: MAX_SAVED_RETRIES, lastRequestAt: this.#clock.now()};
			this.#buckets.set(id, bucket);
		}

		return bucket;
	}
}
