/**
 * The life of one request inside a node: waiting, committed, ended. Guards what the caller may be told.
 */
import {randomUUID} from 'node:crypto';
import {
	type KeyKnowledge, Ran, ranOf, type SchedulerError,
} from '../base/errors.js';
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Where a request stands. */
export const RequestPhase = {
	/** No byte has left for an upstream. */
	Waiting: 'waiting',
	/** The first byte is leaving or has left. */
	Committed: 'committed',
	/** Answered. */
	Ended: 'ended',
} as const;

export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** What a ticket is made of. */
export type RequestLifecycleOptions = {
	readonly invariants: Invariants;
	readonly key: KeyKnowledge;
	/** Idempotent work may be committed again after a failed attempt. */
	readonly isIdempotent: boolean;
};

/** One request from its arrival to its answer. */
export class RequestLifecycle {
	static create(options: RequestLifecycleOptions): RequestLifecycle {
		return new RequestLifecycle(options);
	}

	/** Unguessable (122 random bits, drawn in batches by Node); upstreams that can echo it do. */
	readonly id = randomUUID().replaceAll('-', '');
	readonly isIdempotent: boolean;
	readonly #invariants: Invariants;
	#key: KeyKnowledge;
	#phase: RequestPhase = RequestPhase.Waiting;
	#commits = 0;

	private constructor(options: RequestLifecycleOptions) {
		this.#invariants = options.invariants;
		this.#key = options.key;
		this.isIdempotent = options.isIdempotent;
	}

	get phase(): RequestPhase {
		return this.#phase;
	}

	/** Whether any byte ever left for an upstream. */
	get wasCommitted(): boolean {
		return this.#commits > 0;
	}

	/** Records that this attempt holds the claim of its idempotency key. */
	noteClaimHeld(): void {
		this.#key = {...this.#key, holdsClaim: true};
	}

	/**
	 * Called right before the first byte leaves for an upstream.
	 *
	 * @returns False when the request must not be sent: it was answered, or it was sent before and is not idempotent.
	 */
	commit(): boolean {
		if (this.#phase === RequestPhase.Ended) {
			return false;
		}

		const isAllowed = this.#commits === 0 || this.isIdempotent;
		if (!this.#invariants.check(PromiseId.DispatchedOnce, isAllowed, 'A request was to be dispatched again.')) {
			return false;
		}

		this.#phase = RequestPhase.Committed;
		this.#commits += 1;
		return true;
	}

	/** Ends the ticket with an answer of the upstream. */
	finish(): void {
		this.#phase = RequestPhase.Ended;
	}

	/**
	 * Ends the ticket with an error.
	 *
	 * @returns What the caller may be told about the execution; never `no` once a byte has left.
	 */
	fail(err: SchedulerError): Ran {
		this.#phase = RequestPhase.Ended;
		const ran = ranOf(err.kind, this.#key);
		const isTrue = ran !== Ran.No || this.#commits === 0;
		return this.#invariants.check(PromiseId.NotRunIsTrue, isTrue, () => `${err.kind} would say that a dispatched request did not run.`)
			? ran
			: Ran.Unknown;
	}
}
