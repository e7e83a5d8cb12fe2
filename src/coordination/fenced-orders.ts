/**
 * Orders to one upstream with fencing numbers, sent under a lease.
 *
 * An upstream that checks fencing numbers refuses the orders of an earlier holder itself. If the upstream ignores them,
 * a new holder waits until no order of an earlier holder can be in flight, and then periodically reasserts its target,
 * so that a late order of a paused holder is reverted within one period.
 */
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {type EngineOrder, type OrderOutcome} from '../upstream/engine.js';
import {type Lease} from './lease.js';
import {withTimeoutOrUndefined} from './timeout.js';

export type OrderTarget = EngineOrder['target'];

/** The operations of an upstream that orders need; implemented by an adapter of `Engine`. */
export abstract class OrderReceiver {
	/** @param deadlineMs - Time after the call, in ms, beyond which the order must not take effect. */
	abstract order(order: EngineOrder, deadlineMs: number): Promise<Result<OrderOutcome, unknown>>;

	/** @returns The current target state of the upstream. */
	abstract readTarget(): Promise<Result<OrderTarget, unknown>>;
}

/** Options of `FencedOrders`. */
export type FencedOrdersOptions = {
	readonly clock: Clock;
	readonly lease: Lease;
	readonly receiver: OrderReceiver;
	/** Whether the upstream refuses stale fencing numbers, according to its settings. */
	readonly checksFencing: boolean;
};

/** Reasons why an order was not confirmed. */
export const OrderFailure = {
	/** The lease is not held. */
	NotHeld: 'not-held',
	/** Orders of an earlier holder may still be in flight. */
	Settling: 'settling',
	/** A later holder has already sent orders. */
	Fenced: 'fenced',
	/** No answer in time; the order may have taken effect. */
	NoAnswer: 'no-answer',
} as const;

export type OrderFailure = (typeof OrderFailure)[keyof typeof OrderFailure];

const ORDER_DEADLINE_MS = 1000;
/** Added to the ttl to cover the deadline of the last order and a pause of its sender between check and send. */
const SETTLE_MARGIN_MS = 5000;
const REASSERT_INTERVAL_MS = 10_000;

/** Sends orders to one upstream while the lease is held. */
export class FencedOrders {
	static create(options: FencedOrdersOptions): FencedOrders {
		return new FencedOrders(options);
	}

	readonly #options: FencedOrdersOptions;
	#fencingNumber = 0;
	/** Time on this process's clock at which the current fencing number was first observed. */
	#heldSince = 0;
	#sequence = 0;
	#lastAssertedAt = 0;

	private constructor(options: FencedOrdersOptions) {
		this.#options = options;
	}

	/** Time until the first order may be sent, in ms; `undefined` while the lease is not held. */
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

	/** Whether the target must be reasserted; only needed for upstreams that ignore fencing numbers. */
	get isReassertDue(): boolean {
		const {clock, checksFencing} = this.#options;
		return !checksFencing && clock.now() - this.#lastAssertedAt >= REASSERT_INTERVAL_MS;
	}

	/** Sends a target state to the upstream. */
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
		this.#lastAssertedAt = clock.now();
		// No await between the lease check in `waitMs` and this call, so the lease is still held.
		const pending = receiver.order({fencingNumber: this.#fencingNumber, sequence: this.#sequence, target}, ORDER_DEADLINE_MS);
		const result = await withTimeoutOrUndefined(clock, pending, ORDER_DEADLINE_MS);
		if (result === undefined || result.isErr) {
			return Result.err(OrderFailure.NoAnswer);
		}

		if (result.value === 'stale-fencing-number') {
			lease.invalidate();
			return Result.err(OrderFailure.Fenced);
		}

		return ok(result.value);
	}

	/** Reads the upstream's current target and sends the given target if they differ. */
	async reassert(target: OrderTarget): Promise<Result<OrderOutcome, OrderFailure>> {
		const {clock, receiver} = this.#options;
		this.#lastAssertedAt = clock.now();
		const read = await withTimeoutOrUndefined(clock, receiver.readTarget(), ORDER_DEADLINE_MS);
		if (read?.isOk && isSameTarget(read.value, target)) {
			return ok('accepted');
		}

		return this.order(target);
	}
}

/** @returns Whether two targets are equal, regardless of the order of models and adapters. */
export function isSameTarget(left: OrderTarget, right: OrderTarget): boolean {
	return left.role === right.role && isSameSet(left.models, right.models) && isSameSet(left.adapters, right.adapters);
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
	const items = new Set(left);
	return items.size === new Set(right).size && right.every(item => items.has(item));
}
