/**
 * Queries the status of a claim at the node that holds it.
 */

/** Status of the attempt that wrote a claim, as known by its holder. */
export const ClaimStatus = {
	/** The attempt is waiting or running, or its completion is not in the table yet. */
	Running: 'running',
	/** The attempt was cancelled before dispatch, which is final; its claim may be taken over. */
	NeverDispatched: 'never-dispatched',
	/** The attempt was dispatched and its completion is recorded. */
	Done: 'done',
	/** The holder has no record of the attempt, or the attempt ended with an unknown outcome. */
	NotKnown: 'not-known',
	/** The holder did not answer; it may have crashed. */
	Unreachable: 'unreachable',
} as const;

export type ClaimStatus = (typeof ClaimStatus)[keyof typeof ClaimStatus];

/** Reports the status of this node's own claims. */
export abstract class ClaimHolder {
	/** @param token - Token of the claim row. */
	abstract statusOf(token: string): ClaimStatus;
}

/** Client for the claim holders on other nodes. */
export abstract class ClaimPeers {
	/**
	 * Asks a holder for the status of one of its claims. The implementation sets the timeout.
	 *
	 * @param holder - Identity of the holder, as stored in the claim row.
	 * @param token - Token of the claim row.
	 * @returns The status, or `unreachable` if the holder did not answer.
	 */
	abstract ask(holder: string, token: string): Promise<ClaimStatus>;
}

/** Connects holders within one process, for tests and `redwingspool dev`. */
export class MemoryClaimPeers extends ClaimPeers {
	static create(): MemoryClaimPeers {
		return new MemoryClaimPeers();
	}

	readonly #holders = new Map<string, ClaimHolder>();

	private constructor() {
		super();
	}

	/** Makes a holder reachable. */
	add(id: string, holder: ClaimHolder): void {
		this.#holders.set(id, holder);
	}

	/** Makes a holder unreachable. */
	remove(id: string): void {
		this.#holders.delete(id);
	}

	async ask(holder: string, token: string): Promise<ClaimStatus> {
		return this.#holders.get(holder)?.statusOf(token) ?? ClaimStatus.Unreachable;
	}
}
