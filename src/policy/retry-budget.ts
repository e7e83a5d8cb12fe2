/**
 * Limits retries to a fraction of the requests, so that retries do not amplify the load on a failing service.
 */
import {LRUCache} from 'lru-cache';
import {type Clock} from '../base/clock.js';

const RETRIES_PER_REQUEST = 0.1;
const MIN_RETRIES_PER_MS = 0.001;
/** Bucket capacity, which equals 10 s of refill at the minimum rate. */
const BUCKET_CAPACITY_RETRIES = 10;
const MAX_BUCKETS = 20_000;

type Bucket = {
	retries: number;
	lastRequestAt: number;
};

/** Token bucket per customer and service that allows retries for 10% of requests, and at least one retry per second. */
export class RetryBudget {
	static create(clock: Clock): RetryBudget {
		return new RetryBudget(clock);
	}

	readonly #clock: Clock;
	readonly #buckets = new LRUCache<string, Bucket>({max: MAX_BUCKETS});

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a request that is not a retry and refills the bucket. */
	noteRequest(customer: string, pool: string): void {
		const bucket = this.#getBucket(customer, pool);
		const now = this.#clock.now();
		// Refills at the greater of the two rates, not their sum: the minimum rate applies below 10 requests/s.
		const refill = Math.max(RETRIES_PER_REQUEST, (now - bucket.lastRequestAt) * MIN_RETRIES_PER_MS);
		bucket.retries = Math.min(BUCKET_CAPACITY_RETRIES, bucket.retries + refill);
		bucket.lastRequestAt = now;
	}

	/** @returns Whether a retry may be sent; if so, it is deducted from the budget. */
	spend(customer: string, pool: string): boolean {
		const bucket = this.#getBucket(customer, pool);
		if (bucket.retries < 1) {
			return false;
		}

		bucket.retries -= 1;
		return true;
	}

	#getBucket(customer: string, pool: string): Bucket {
		const id = `${customer} ${pool}`;
		let bucket = this.#buckets.get(id);
		if (bucket === undefined) {
			bucket = {retries: BUCKET_CAPACITY_RETRIES, lastRequestAt: this.#clock.now()};
			this.#buckets.set(id, bucket);
		}

		return bucket;
	}
}
