/**
 * What this node remembers of its own attempts to run keyed requests. Guards promise P5.
 */
import {LRUCache} from 'lru-cache';
import {type Invariants, PromiseId} from '../base/invariant.js';
import {ClaimStatus} from './claim-peers.js';

/** Phases of a live attempt; an attempt that was given up never leaves that state. */
const Phase = {
	/** The claim row may or may not be written. */
	Acquiring: 'acquiring',
	/** The claim row holds this attempt's token. */
	Held: 'held',
	/** The first byte is leaving or has left. */
	Committed: 'committed',
} as const;

type Phase = (typeof Phase)[keyof typeof Phase];

/** Ended attempts that are remembered, about 1 MB; a forgotten one is answered `not-known`, which is safe. */
const MAX_ENDED = 10_000;

/** Attempts by token. Live ones are as many as keyed requests in flight. */
export class ClaimAttempts {
	static create(invariants: Invariants): ClaimAttempts {
		return new ClaimAttempts(invariants);
	}

	readonly #invariants: Invariants;
	readonly #live = new Map<string, Phase>();
	readonly #ended = new LRUCache<string, ClaimStatus>({max: MAX_ENDED});

	private constructor(invariants: Invariants) {
		this.#invariants = invariants;
	}

	get liveCount(): number {
		return this.#live.size;
	}

	/** Starts an attempt, before its claim is written. */
	begin(token: string): void {
		this.#live.set(token, Phase.Acquiring);
	}

	/** Notes that the claim row was seen to hold the attempt's token. */
	hold(token: string): void {
		this.#live.set(token, Phase.Held);
	}

	/** @returns Whether the request may be sent: the claim is held, and this is its only dispatch. */
	commit(token: string): boolean {
		const phase = this.#live.get(token);
		const isHeld = this.#invariants.check(PromiseId.BookingOnce, phase === Phase.Held, () =>
			`A request was to be sent with a claim in phase ${phase ?? 'ended'}.`);
		if (isHeld) {
			this.#live.set(token, Phase.Committed);
		}

		return isHeld;
	}

	/** @returns Whether the attempt was given up; one that was committed cannot be. */
	giveUp(token: string): boolean {
		const isUnsent = this.#invariants.check(PromiseId.BookingOnce, this.#live.get(token) !== Phase.Committed, 'A claim was to be released after dispatch.');
		if (isUnsent) {
			this.#end(token, ClaimStatus.NeverDispatched);
		}

		return isUnsent;
	}

	/** Notes that the end of a dispatched attempt is recorded in the table. */
	finish(token: string): void {
		this.#end(token, ClaimStatus.Done);
	}

	/** Forgets a dispatched attempt whose end will not be recorded. */
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
