/**
 * In-memory state of this node's attempts to run requests with an idempotency key. Checks promise P5.
 */
import {LRUCache} from 'lru-cache';
import {type Invariants, PromiseId} from '../base/invariant.js';
import {ClaimStatus} from './claim-peers.js';

/** Phases of a live attempt. A cancelled attempt is not live and never becomes live again. */
const Phase = {
	/** The claim row may or may not have been written. */
	Acquiring: 'acquiring',
	/** The claim row holds this attempt's token. */
	Held: 'held',
	/** The first byte is being sent or has been sent. */
	Committed: 'committed',
} as const;

type Phase = (typeof Phase)[keyof typeof Phase];

/** Number of ended attempts kept, about 1 MB. An evicted attempt is reported as `not-known`, which is safe. */
const MAX_ENDED_ATTEMPTS = 10_000;

/** Attempts by token. The number of live attempts equals the number of keyed requests in flight. */
export class ClaimAttempts {
	static create(invariants: Invariants): ClaimAttempts {
		return new ClaimAttempts(invariants);
	}

	readonly #invariants: Invariants;
	readonly #live = new Map<string, Phase>();
	readonly #ended = new LRUCache<string, ClaimStatus>({max: MAX_ENDED_ATTEMPTS});

	private constructor(invariants: Invariants) {
		this.#invariants = invariants;
	}

	get liveCount(): number {
		return this.#live.size;
	}

	/** Registers an attempt before its claim is written. */
	begin(token: string): void {
		this.#live.set(token, Phase.Acquiring);
	}

	/** Records that the claim row was observed to hold the attempt's token. */
	markHeld(token: string): void {
		this.#live.set(token, Phase.Held);
	}

	/** @returns Whether the request may be sent, that is, the claim is held and this is its only dispatch. */
	commit(token: string): boolean {
		const phase = this.#live.get(token);
		const isHeld = this.#invariants.check(PromiseId.BookingOnce, phase === Phase.Held, () =>
			`Tried to send a request with a claim in phase ${phase ?? 'ended'}.`);
		if (isHeld) {
			this.#live.set(token, Phase.Committed);
		}

		return isHeld;
	}

	/** @returns Whether the attempt was cancelled; a committed attempt cannot be. */
	cancel(token: string): boolean {
		const isUnsent = this.#invariants.check(PromiseId.BookingOnce, this.#live.get(token) !== Phase.Committed, 'Tried to release a claim after dispatch.');
		if (isUnsent) {
			this.#end(token, ClaimStatus.NeverDispatched);
		}

		return isUnsent;
	}

	/** Records that the completion of a dispatched attempt is stored in the table. */
	markDone(token: string): void {
		this.#end(token, ClaimStatus.Done);
	}

	/** Removes a dispatched attempt whose completion will not be recorded. */
	forget(token: string): void {
		this.#live.delete(token);
	}

	statusOf(token: string): ClaimStatus {
		return this.#live.has(token) ? ClaimStatus.Running : this.#ended.get(token) ?? ClaimStatus.NotKnown;
	}

	#end(token: string, status: ClaimStatus): void {
		this.#live.delete(token);
		this.#ended.set(token, status);
	}
}
