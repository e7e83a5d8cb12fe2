/**
 * What each customer may still send. Answers a customer that sends many times its usual: it is held to its quota over
 * all VMs, and nobody else is refused for it.
 */
import {type Customer, type Quota} from '../gateway/routing-table.js';
import {STANDALONE_INITIAL_FILL, STANDALONE_SHARE, SUCCESSOR_INITIAL_FILL} from './scope.js';
import {OverageWindow} from './overage-window.js';

const MS_PER_SECOND = 1000;

/** How far a customer may go beyond its quota before the deployment objects. */
export type QuotaTolerance = {
	/** Part of what the quota allows in a window. */
	readonly ratio: number;
	/** Tokens, or requests, on top. */
	readonly slack: number;
	/** In any span of this length. */
	readonly windowMs: number;
};

/**
 * Parts of the tolerance that are used: serving a request that is still tolerated is better for its caller than refusing
 * it. The rest covers what VMs grant while the allocator changes.
 */
const USED_TOLERANCE_RATIO = 0.7;
const USED_SLACK_RATIO = 0.55;
/** Changes of the allocator in one window that the rest covers; one of them stands for requests above a lone VM's part. */
const ALLOCATOR_CHANGES_PER_WINDOW = 3;

type Bucket = {
	quota: Quota;
	/** What the customer was promised. */
	tokens: number;
	refilledAt: number;
	readonly overage: OverageWindow;
};

/**
 * A token bucket for each customer with a quota, and what it was granted beyond it: a request that fits the quota is
 * never refused because others beyond it were served before. Times in ms of the caller's monotonic clock.
 */
export class Quotas {
	static create(tolerance: QuotaTolerance): Quotas {
		return new Quotas(tolerance);
	}

	readonly #tolerance: QuotaTolerance;
	readonly #buckets = new Map<string, Bucket>();
	/** The part of the quotas that this process may grant: 1 for an allocator of all VMs. */
	#share = 1;
	/** What the buckets of customers hold that were there before this process, as a part of their bursts. */
	#initialFill = 1;
	/** It knows the customers; ones that it hears of later are new. */
	#knowsCustomers = false;

	private constructor(tolerance: QuotaTolerance) {
		this.#tolerance = tolerance;
	}

	/**
	 * Takes the customers of a new configuration; what was spent stays spent.
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
	 * @param share - The part of each quota that this process may grant from now on.
	 * @param initialFill - What the buckets hold at first, as a part of their bursts.
	 */
	restart(share: number, initialFill: number, now: number): void {
		this.#share = share;
		this.#initialFill = initialFill;
		for (const bucket of this.#buckets.values()) {
			this.#resetBucket(bucket, now);
		}
	}

	/** @param share - The part of the quotas that this process may grant from now on; what it granted stays granted. */
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
	 * Spends from a customer's quota.
	 *
	 * @param mayExceedQuota - Whether the request may go beyond the quota, as nobody else waits for the place.
	 * @returns 0 when it was spent, else the ms until there may be enough.
	 */
	spend(customer: string | undefined, cost: number, mayExceedQuota: boolean, now: number): number {
		const bucket = customer === undefined ? undefined : this.#buckets.get(customer);
		if (bucket === undefined) {
			return 0;
		}

		this.#refill(bucket, now);
		const share = this.#grantableShare(bucket.quota);
		// A request above the whole burst passes a full bucket, or it would never run.
		const needed = Math.min(cost, bucket.quota.burst * share);
		if (bucket.tokens >= needed) {
			bucket.tokens -= cost;
			return 0;
		}

		if (mayExceedQuota && bucket.overage.used(now) + cost <= this.#overageLimit(bucket.quota)) {
			bucket.overage.noteGrant(cost, now);
			return 0;
		}

		return Math.max(1, (needed - bucket.tokens) * MS_PER_SECOND / (bucket.quota.perSecond * share));
	}

	/** Gives back what a request that did not run has spent. */
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
			// Another process may just have granted all that is tolerated.
			bucket.overage.noteGrant(this.#overageLimit(bucket.quota), now);
		}
	}

	/** What a customer may be granted in a window beside what its bucket is filled with meanwhile. */
	#overageLimit(quota: Quota): number {
		const {ratio, slack, windowMs} = this.#tolerance;
		const {perSecond, burst} = quota;
		const quotaInWindow = (perSecond * windowMs / MS_PER_SECOND) + burst;
		return (burst + (quotaInWindow * USED_TOLERANCE_RATIO * ratio) + (slack * USED_SLACK_RATIO)) * this.#grantableShare(quota);
	}

	/**
	 * The part of a quota that this process may grant. VMs out of touch with the allocator share what it leaves of the
	 * tolerance and its successors do not need: it goes on with the whole quota.
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
