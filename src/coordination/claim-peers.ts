/**
 * Questions about a claim to the node that holds it.
 */

/** What the holder of a claim knows about the attempt that wrote it. */
export const ClaimStatus = {
	/** The attempt waits or runs, or its end is not in the table yet. */
	Running: 'running',
	/** The attempt was given up before dispatch, for good; its claim may be taken over. */
	NeverDispatched: 'never-dispatched',
	/** The attempt was dispatched and its end is recorded. */
	Done: 'done',
	/** The holder has no memory of the attempt, or it ended with an unknown outcome. */
	NotKnown: 'not-known',
	/** The holder did not answer; it may have died. */
	Unreachable: 'unreachable',
} as const;

export type ClaimStatus = (typeof ClaimStatus)[keyof typeof ClaimStatus];

/** Answers questions about this node's own claims. */
export abstract class ClaimHolder {
	/** @param token - Token of the claim row. */
	abstract statusOf(token: string): ClaimStatus;
}

/** Reaches the other nodes. */
export abstract class ClaimPeers {
	/**
	 * Asks a holder about one of its claims, within a time limit of the implementation.
	 *
	 * @param holder - Identity of the node, as it is in the claim row.
	 * @param token - Token of the claim row.
	 * @returns `unreachable` where the holder did not answer.
	 */
	abstract ask(holder: string, token: string): Promise<ClaimStatus>;
}

/** Nodes of one process, for tests and `redwingspool dev`. */
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
