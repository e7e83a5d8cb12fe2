/**
 * Numbered orders to one upstream under a lease.
 *
 * An upstream that checks fencing numbers refuses the orders of an earlier holder by itself. For one that ignores them, a
 * new holder waits until no order of an earlier one can be under way, and then asserts its target again and again, so
 * that a late order of a paused holder is undone within one period.
 */
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {type EngineOrder, type OrderOutcome} from '../upstream/engine.js';
import {type Lease} from './lease.js';
import {withTimeoutOrUndefined} from './timeout.js';

export type OrderTarget = EngineOrder['target'];

/** What an order needs of an upstream; an adapter of `Engine` implements it. */
export abstract class OrderReceiver {
	/** @param deadlineMs - The order must not take effect later than this after the call. */
	abstract order(order: EngineOrder, deadlineMs: number): Promise<Result<OrderOutcome, unknown>>;

	/** @returns The target state that the upstream follows now. */
	abstract readBack(): Promise<Result<OrderTarget, unknown>>;
}

/** What orders to one upstream work with. */
export type FencedOrdersOptions = {
	readonly clock: Clock;
	readonly lease: Lease;
	readonly receiver: OrderReceiver;
	/** Whether the upstream refuses old fencing numbers, from its settings. */
	readonly checksFencing: boolean;
};

/** Why an order was not taken. */
export const OrderFailure = {
	/** The lease is not held. */
	NotHeld: 'not-held',
	/** Orders of an earlier holder may still be under way. */
	Settling: 'settling',
	/** A later holder gave orders already. */
	Fenced: 'fenced',
	/** No answer in time; the order may have been taken. */
	NoAnswer: 'no-answer',
} as const;

export type OrderFailure = (typeof OrderFailure)[keyof typeof OrderFailure];

const ORDER_DEADLINE_MS = 1000;
/** Beyond the ttl, for the deadline of the last order and a pause of its sender between check and send. */
const SETTLE_MARGIN_MS = 5000;
const REASSERT_MS = 10_000;

/** Orders to one upstream. */
export class FencedOrders {
	static create(options: FencedOrdersOptions): FencedOrders {
		return new FencedOrders(options);
	}

	readonly #options: FencedOrdersOptions;
	#fencingNumber = 0;
	/** When this holding was first seen, on this process's clock. */
	#heldSince = 0;
	#sequence = 0;
	#assertedAt = 0;

	private constructor(options: FencedOrdersOptions) {
		this.#options = options;
	}

	/** When the upstream may be given its first order, in ms from now; `undefined` while the lease is not held. */
	get waitMs(): number | undefined {
		const {clock, lease, checksFencing} = this.#options;
		const {fencingNumber} = lease;
		if (fencingNumber === undefined) {
			return undefined;
		}

		if (fencingNumber !== this.#fencingNumber) {
			this.#fencingNumber = fencingNumber;
			this.#heldSince = clock.now();
			this.#sequence = 0;
		}

		const settleMs = checksFencing ? 0 : lease.times.ttlMs + SETTLE_MARGIN_MS;
		return Math.max(0, this.#heldSince + settleMs - clock.now());
	}

	/** Whether the target is to be asserted again; only upstreams that ignore fencing numbers need it. */
	get isReassertDue(): boolean {
		const {clock, checksFencing} = this.#options;
		return !checksFencing && clock.now() - this.#assertedAt >= REASSERT_MS;
	}

	/** Sends a target state. */
	async order(target: OrderTarget): Promise<Result<OrderOutcome, OrderFailure>> {
		const {clock, lease, receiver} = this.#options;
		const {waitMs} = this;
		if (waitMs === undefined) {
			return Result.err(OrderFailure.NotHeld);
		}

		if (waitMs > 0) {
			return Result.err(OrderFailure.Settling);
		}

		this.#sequence += 1;
		this.#assertedAt = clock.now();
		// The check of the lease in `waitMs` and this call are in one synchronous step.
		const sent = receiver.order({fencingNumber: this.#fencingNumber, sequence: this.#sequence, target}, ORDER_DEADLINE_MS);
		const result = await withTimeoutOrUndefined(clock, sent, ORDER_DEADLINE_MS);
		if (result === undefined || result.isErr) {
			return Result.err(OrderFailure.NoAnswer);
		}

		if (result.value === 'stale-fencing-number') {
			lease.invalidate();
			return Result.err(OrderFailure.Fenced);
		}

		return ok(result.value);
	}

	/** Reads the upstream's target and sends it again where it differs. */
	async reassert(target: OrderTarget): Promise<Result<OrderOutcome, OrderFailure>> {
		const {clock, receiver} = this.#options;
		this.#assertedAt = clock.now();
		const read = await withTimeoutOrUndefined(clock, receiver.readBack(), ORDER_DEADLINE_MS);
		if (read?.isOk && isSameTarget(read.value, target)) {
			return ok('accepted');
		}

		return this.order(target);
	}
}

/** @returns Whether two targets are equal; the order of models and adapters has no meaning. */
export function isSameTarget(left: OrderTarget, right: OrderTarget): boolean {
	return left.role === right.role && isSameSet(left.models, right.models) && isSameSet(left.adapters, right.adapters);
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	const items = new Set(left);
	return items.size === new Set(right).size && right.every(item => items.has(item));
}
