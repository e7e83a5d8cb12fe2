/**
 * At-most-once records for requests with an idempotency key: the interface used by the request path.
 */
import {type SchedulerError} from '../base/errors.js';

/** Identifies a request with an idempotency key. */
export type ClaimRequest = {
	/** `<team>/<service>`. */
	readonly pool: string;
	/** `<team>/<customer>`; each customer has its own key space. */
	readonly customer: string;
	/** Value of the Idempotency-Key header. */
	readonly key: string;
	/** SHA-256 of method, path and body, in hex. */
	readonly digest: string;
	/** The caller declared that it has never sent this key before. */
	readonly isFirstAttempt: boolean;
	/** Whether the answer is kept for replay; otherwise only the dispatch is recorded. */
	readonly keepsAnswer: boolean;
};

/** A claim held by one attempt to run a request. */
export type Claim = {
	readonly rowKey: string;
	/** Token of the claim write, unique to this attempt. */
	readonly token: string;
	readonly request: ClaimRequest;
};

/** An answer kept for replay. */
export type RecordedAnswer = {
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/** Maximum size of an answer kept for replay, in bytes; the relay records no more. */
export const MAX_KEPT_ANSWER_BYTES = 1024 * 1024;

/** Result of acquiring a claim. */
export type ClaimDecision =
	/** Run the request; no other attempt has run it or will run it. */
	| {readonly kind: 'granted'; readonly claim: Claim}
	/** The request has already run; return the recorded answer. */
	| {readonly kind: 'replay'; readonly answer: RecordedAnswer}
	/** This attempt must not run the request. */
	| {readonly kind: 'refused'; readonly err: SchedulerError};

/** Grants each idempotency key to at most one attempt across all VMs. */
export abstract class Claims {
	abstract acquire(request: ClaimRequest): Promise<ClaimDecision>;

	/**
	 * Called synchronously right before the first byte is sent; afterwards the claim can never be released.
	 *
	 * @returns False if the claim is no longer held and the request must not be sent.
	 */
	abstract noteCommitted(claim: Claim): boolean;

	/** Releases the claim of a request that was never sent; retried in the background while the store is down. */
	abstract release(claim: Claim): Promise<void>;

	/** Marks a request that was sent but ended without a complete answer; its outcome stays unknown. */
	abstract abandon(claim: Claim): void;

	/** Records the completion of a claimed request; retried in the background while the store is down. */
	abstract complete(claim: Claim, answer: RecordedAnswer | undefined): Promise<void>;
}
