/**
 * Lifecycle of one request in a node: waiting, committed, ended. Checks that a request is not dispatched twice and that
 * the execution status reported to the caller is correct.
 */
import {randomUUID} from 'node:crypto';
import {
	type KeyKnowledge, Ran, ranOf, type SchedulerError,
} from '../base/errors.js';
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Phase in the lifecycle of a request. */
export const RequestPhase = {
	/** No byte has been sent to an upstream. */
	Waiting: 'waiting',
	/** The first byte is being or has been sent to an upstream. */
	Committed: 'committed',
	/** The request ended with a response or an error. */
	Ended: 'ended',
} as const;

export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** Properties of a request that determine which transitions and errors are allowed. */
export type RequestLifecycleOptions = {
	readonly invariants: Invariants;
	readonly key: KeyKnowledge;
	/** Whether the request may be committed again after a failed attempt. */
	readonly isIdempotent: boolean;
};

/** Tracks a request from arrival to response. */
export class RequestLifecycle {
	static create(options: RequestLifecycleOptions): RequestLifecycle {
		return new RequestLifecycle(options);
	}

	/** Dispatch ID, unguessable (122 random bits, generated in batches by Node.js) and echoed by upstreams that support it. */
	readonly id = randomUUID().replaceAll('-', '');
	readonly isIdempotent: boolean;
	readonly #invariants: Invariants;
	#key: KeyKnowledge;
	#phase: RequestPhase = RequestPhase.Waiting;
	#commitCount = 0;

	private constructor(options: RequestLifecycleOptions) {
		this.#invariants = options.invariants;
		this.#key = options.key;
		this.isIdempotent = options.isIdempotent;
	}

	get phase(): RequestPhase {
		return this.#phase;
	}

	/** Whether any byte may have been sent to an upstream in any attempt. */
	get wasCommitted(): boolean {
		return this.#commitCount > 0;
	}

	/** Records that this request holds the claim of its idempotency key. */
	markClaimHeld(): void {
		this.#key = {...this.#key, holdsClaim: true};
	}

	/**
	 * Called immediately before the first byte is sent to an upstream.
	 *
	 * @returns False if the request must not be sent, because it has ended, or was sent before and is not idempotent.
	 */
	commit(): boolean {
		if (this.#phase === RequestPhase.Ended) {
			return false;
		}

		const isAllowed = this.#commitCount === 0 || this.isIdempotent;
		if (!this.#invariants.check(PromiseId.DispatchedOnce, isAllowed, 'A request that is not idempotent would have been dispatched again.')) {
			return false;
		}

		this.#phase = RequestPhase.Committed;
		this.#commitCount += 1;
		return true;
	}

	/** Ends the request with a response of the upstream. */
	finish(): void {
		this.#phase = RequestPhase.Ended;
	}

	/**
	 * Ends the request with an error.
	 *
	 * @returns Execution status to report to the caller; never `no` after the request was committed.
	 */
	fail(err: SchedulerError): Ran {
		this.#phase = RequestPhase.Ended;
		const ran = ranOf(err.kind, this.#key);
		const isTrue = ran !== Ran.No || this.#commitCount === 0;
		return this.#invariants.check(PromiseId.NotRunIsTrue, isTrue, () => `${err.kind} would have reported a dispatched request as not run.`)
			? ran
			: Ran.Unknown;
	}
}
