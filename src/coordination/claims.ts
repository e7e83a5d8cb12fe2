/**
 * At-most-once records of requests that carry an idempotency key, as the request path sees them.
 */
import {type SchedulerError} from '../base/errors.js';

/** What identifies a keyed request. */
export type ClaimRequest = {
	/** `<team>/<service>`. */
	readonly pool: string;
	/** `<team>/<customer>`; keys of different customers never meet. */
	readonly customer: string;
	/** Value of the Idempotency-Key header. */
	readonly key: string;
	/** SHA-256 in hex of method, path and body. */
	readonly digest: string;
	/** The caller declared that it never sent this key before. */
	readonly isFirstAttempt: boolean;
	/** Whether the answer is kept for replay; notes keep only the fact of their dispatch. */
	readonly keepsAnswer: boolean;
};

/** A claim that this attempt holds. */
export type Claim = {
	readonly rowKey: string;
	/** Token of the write, unique to this attempt. */
	readonly token: string;
	readonly request: ClaimRequest;
};

/** An answer kept for replay. */
export type RecordedAnswer = {
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/** Largest answer that is kept for replay, in bytes; the relay records no more. */
export const MAX_KEPT_ANSWER_BYTES = 1024 * 1024;

/** What may be done with a keyed request. */
export type ClaimDecision =
	/** Run it; no other attempt can have run it or will. */
	| {readonly kind: 'granted'; readonly claim: Claim}
	/** It ran; this is its answer. */
	| {readonly kind: 'replay'; readonly answer: RecordedAnswer}
	/** It must not be run by this attempt. */
	| {readonly kind: 'refused'; readonly err: SchedulerError};

/** Grants each key to one attempt, over all VMs. */
export abstract class Claims {
	abstract acquire(request: ClaimRequest): Promise<ClaimDecision>;

	/**
	 * Called synchronously right before the first byte leaves; afterwards the claim can never be released.
	 *
	 * @returns False when the claim is no longer held and the request must not be sent.
	 */
	abstract noteCommitted(claim: Claim): boolean;

	/** Gives up a claim whose request was never sent; retried in the background while the store is down. */
	abstract release(claim: Claim): Promise<void>;

	/** Notes that a request that was sent ended without a complete answer; its outcome stays unknown. */
	abstract abandon(claim: Claim): void;

	/** Records the end of a claimed request; retried in the background while the store is down. */
	abstract complete(claim: Claim, answer: RecordedAnswer | undefined): Promise<void>;
}
