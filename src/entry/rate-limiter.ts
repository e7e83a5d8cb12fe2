/**
 * Limits the request rate of each customer on this node.
 */
import {LRUCache} from 'lru-cache';
import Result, {ok} from 'true-myth/result';
import {type Unit, Unit as unit} from 'true-myth/unit';
import {type Clock} from '../base/clock.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Customer} from '../config/deployment.js';

const MAX_CUSTOMERS = 20_000;
const MS_PER_SECOND = 1000;

type Bucket = {
	tokens: number;
	refilledAt: number;
};

/** Keeps a token bucket per customer, with a capacity of one second's requests. */
export class RateLimiter {
	static create(clock: Clock): RateLimiter {
		return new RateLimiter(clock);
	}

	readonly #clock: Clock;
	readonly #buckets = new LRUCache<string, Bucket>({max: MAX_CUSTOMERS});

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes a token for a request; the error carries the time until the next token is available. */
	take(customer: Customer): Result<Unit, SchedulerError> {
		const rate = customer.settings.requestsPerSecond;
		if (rate === undefined) {
			return ok(unit);
		}

		const capacity = Math.max(1, rate);
		const now = this.#clock.now();
		const bucket = this.#buckets.get(customer.id) ?? {tokens: capacity, refilledAt: now};
		bucket.tokens = Math.min(capacity, bucket.tokens + ((now - bucket.refilledAt) * rate / MS_PER_SECOND));
		bucket.refilledAt = now;
		this.#buckets.set(customer.id, bucket);
		if (bucket.tokens < 1) {
			return Result.err(SchedulerError.create(ErrorKind.RateLimited, undefined, (1 - bucket.tokens) * MS_PER_SECOND / rate));
		}

		bucket.tokens -= 1;
		return ok(unit);
	}
}
