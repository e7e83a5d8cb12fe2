/**
 * Enforces the customers' quotas over all VMs. A customer that sends many times its usual load is limited to its quota,
 * and no other customer is refused because of it.
 */
import {type Customer, type Quota} from '../gateway/routing-table.js';
import {STANDALONE_INITIAL_FILL, STANDALONE_SHARE, SUCCESSOR_INITIAL_FILL} from './scope.js';
import {OverageWindow} from './overage-window.js';
import {type Restore} from './unchanged-state.js';

const MS_PER_SECOND = 1000;
/** Longest time that a customer is told to wait for its quota, in ms. */
const MAX_WAIT_MS = 60_000;

/** How far the deployment allows a customer to exceed its quota. */
export type QuotaTolerance = {
	/** Allowed overage, as a fraction of what the quota allows in a window. */
	readonly ratio: number;
	/** Allowed overage in addition to that, in tokens or requests. */
	readonly slack: number;
	/** Length of the window; the limits apply to any span of this length. */
	readonly windowMs: number;
};

/**
 * Fractions of the tolerance that are used for overage: serving a request within the tolerance is better for its caller
 * than refusing it. The rest covers what VMs grant while the allocator changes.
 */
const USED_TOLERANCE_RATIO = 0.7;
const USED_SLACK_RATIO = 0.55;
/**
 * Changes of the allocator within one window that the rest covers. One of them accounts for requests that cost more than a
 * standalone VM's share.
 */
const ALLOCATOR_CHANGES_PER_WINDOW = 3;

/** State of a customer's quota, in tokens or requests. */
export type QuotaState = {
	readonly perSecond: number;
	readonly burst: number;
	/** What is left of it; negative after a request that costs more than the burst. */
	readonly left: number;
	/** Share of the quota that this process may grant. */
	readonly share: number;
};

type Bucket = {
	quota: Quota;
	/** Tokens left of the customer's quota; negative after a request that costs more than the burst. */
	tokens: number;
	refilledAt: number;
	readonly overage: OverageWindow;
};

/**
 * A token bucket per customer with a quota. Grants beyond the quota are counted separately, so that a request within the
 * quota is never refused because requests beyond it were served before. Times in ms of the caller's monotonic clock.
 */
export class Quotas {
	static create(tolerance: QuotaTolerance): Quotas {
		return new Quotas(tolerance);
	}

	readonly #tolerance: QuotaTolerance;
	readonly #buckets = new Map<string, Bucket>();
	/** Share of the quotas that this process may grant; 1 for the allocator of all VMs. */
	#share = 1;
	/** Initial fill level, as a fraction of the burst, of the buckets of customers that existed before this process. */
	#initialFill = 1;
	/** Whether the customers have been set once; customers added later are new and start with a full bucket. */
	#knowsCustomers = false;

	private constructor(tolerance: QuotaTolerance) {
		this.#tolerance = tolerance;
	}

	/**
	 * Applies the customers of a new configuration; tokens already spent are not restored.
	 */
	setCustomers(customers: readonly Customer[], now: number): void {
		const names = new Set(customers.map(customer => customer.name));
		for (const name of this.#buckets.keys()) {
			if (!names.has(name)) {
				this.#buckets.delete(name);
			}
		}

		for (const {name, quota} of customers) {
			const bucket = this.#buckets.get(name);
			if (quota === undefined) {
				this.#buckets.delete(name);
			} else if (bucket === undefined) {
				const added: Bucket = {
					quota, tokens: quota.burst * this.#grantableShare(quota), refilledAt: now, overage: OverageWindow.create(this.#tolerance.windowMs),
				};
				this.#buckets.set(name, added);
				if (!this.#knowsCustomers) {
					this.#resetBucket(added, now);
				}
			} else {
				this.#refill(bucket, now);
				bucket.quota = quota;
				bucket.tokens = Math.min(bucket.tokens, quota.burst * this.#grantableShare(quota));
			}
		}

		this.#knowsCustomers = true;
	}

	/**
	 * @param share - Share of each quota that this process may grant from now on.
	 * @param initialFill - Initial fill level of the buckets, as a fraction of their burst.
	 */
	restart(share: number, initialFill: number, now: number): void {
		this.#share = share;
		this.#initialFill = initialFill;
		for (const bucket of this.#buckets.values()) {
			this.#resetBucket(bucket, now);
		}
	}

	/** @param share - Share of the quotas that this process may grant from now on; earlier grants are not revoked. */
	setShare(share: number, now: number): void {
		for (const bucket of this.#buckets.values()) {
			this.#refill(bucket, now);
		}

		this.#share = share;
		for (const bucket of this.#buckets.values()) {
			bucket.tokens = Math.min(bucket.tokens, bucket.quota.burst * this.#grantableShare(bucket.quota));
		}
	}

	/**
	 * Charges a request to its customer's quota.
	 *
	 * @param mayExceedQuota - Whether the request may exceed the quota because no other request waits for the place.
	 * @returns 0 if the request was charged, otherwise the time in ms until the quota may suffice.
	 */
	spend(customer: string | undefined, cost: number, mayExceedQuota: boolean, now: number): number {
		const bucket = customer === undefined ? undefined : this.#buckets.get(customer);
		if (bucket === undefined) {
			return 0;
		}

		this.#refill(bucket, now);
		const share = this.#grantableShare(bucket.quota);
		// A request that costs more than the burst passes if the bucket is full; otherwise it would never run.
		const needed = Math.min(cost, bucket.quota.burst * share);
		if (bucket.tokens >= needed) {
			bucket.tokens -= cost;
			return 0;
		}

		if (mayExceedQuota && bucket.overage.used(now) + cost <= this.#overageLimit(bucket.quota)) {
			bucket.overage.noteGrant(cost, now);
			return 0;
		}

		// Nothing may be granted while the share is 0, so the time would be infinite.
		return Math.min(MAX_WAIT_MS, Math.max(1, (needed - bucket.tokens) * MS_PER_SECOND / (bucket.quota.perSecond * share)));
	}

	/** @returns A function that restores the current state of a customer's quota, after an evaluation that must change nothing. */
	snapshot(customer: string | undefined): Restore {
		const bucket = customer === undefined ? undefined : this.#buckets.get(customer);
		if (bucket === undefined) {
			return () => undefined;
		}

		const {tokens, refilledAt} = bucket;
		const restoreOverage = bucket.overage.snapshot();
		return () => {
			bucket.tokens = tokens;
			bucket.refilledAt = refilledAt;
			restoreOverage();
		};
	}

	/** @returns State of a customer's quota at a time; `undefined` if it has none. Refills the bucket like any decision. */
	stateOf(customer: string | undefined, now: number): QuotaState | undefined {
		const bucket = customer === undefined ? undefined : this.#buckets.get(customer);
		if (bucket === undefined) {
			return undefined;
		}

		this.#refill(bucket, now);
		const {quota, tokens} = bucket;
		return {
			perSecond: quota.perSecond, burst: quota.burst, left: tokens, share: this.#grantableShare(quota),
		};
	}

	/** Refunds the cost of a request that did not run. */
	refund(customer: string | undefined, cost: number): void {
		const bucket = customer === undefined ? undefined : this.#buckets.get(customer);
		if (bucket !== undefined) {
			bucket.tokens = Math.min(bucket.quota.burst * this.#grantableShare(bucket.quota), bucket.tokens + cost);
		}
	}

	#resetBucket(bucket: Bucket, now: number): void {
		bucket.tokens = bucket.quota.burst * this.#grantableShare(bucket.quota) * this.#initialFill;
		bucket.refilledAt = now;
		if (this.#initialFill < 1) {
			// Another process may have just granted all of the tolerated overage.
			bucket.overage.noteGrant(this.#overageLimit(bucket.quota), now);
		}
	}

	/** @returns What a customer may be granted in a window, excluding the tokens refilled during that window. */
	#overageLimit(quota: Quota): number {
		const {ratio, slack, windowMs} = this.#tolerance;
		const {perSecond, burst} = quota;
		const quotaInWindow = (perSecond * windowMs / MS_PER_SECOND) + burst;
		return (burst + (quotaInWindow * USED_TOLERANCE_RATIO * ratio) + (slack * USED_SLACK_RATIO)) * this.#grantableShare(quota);
	}

	/**
	 * Share of a quota that this process may grant. The allocator keeps granting the whole quota, so VMs without a link to
	 * it share the part of the tolerance that neither the allocator nor its successors use.
	 */
	#grantableShare({perSecond, burst}: Quota): number {
		if (this.#share === 1) {
			return 1;
		}

		const {ratio, slack, windowMs} = this.#tolerance;
		const refillInWindow = perSecond * windowMs / MS_PER_SECOND;
		const unusedTolerance = ((refillInWindow + burst) * (1 - USED_TOLERANCE_RATIO) * ratio) + (slack * (1 - USED_SLACK_RATIO)) - (ALLOCATOR_CHANGES_PER_WINDOW * SUCCESSOR_INITIAL_FILL * burst);
		const standaloneTotal = STANDALONE_SHARE * (refillInWindow + (STANDALONE_INITIAL_FILL * burst));
		return this.#share * Math.min(1, Math.max(0, unusedTolerance) / standaloneTotal);
	}

	#refill(bucket: Bucket, now: number): void {
		const {quota, refilledAt} = bucket;
		const share = this.#grantableShare(quota);
		bucket.tokens = Math.min(quota.burst * share, bucket.tokens + ((now - refilledAt) * quota.perSecond * share / MS_PER_SECOND));
		bucket.refilledAt = now;
		bucket.overage.noteLevel(bucket.tokens, now);
	}
}
