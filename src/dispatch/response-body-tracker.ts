/**
 * Delivery position in one response body across the original and resumed connections.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Tracks which bytes of a response body were delivered, so that none is lost or duplicated. */
export class ResponseBodyTracker {
	/**
	 * @param dispatchId - Dispatch that the response must belong to.
	 * @param invariants - Checks promise P3.
	 */
	static create(dispatchId: string, invariants: Invariants): ResponseBodyTracker {
		return new ResponseBodyTracker(dispatchId, invariants);
	}

	readonly #dispatchId: string;
	readonly #invariants: Invariants;
	#delivered = 0;
	#isBound = false;

	private constructor(dispatchId: string, invariants: Invariants) {
		this.#dispatchId = dispatchId;
		this.#invariants = invariants;
	}

	/** Number of body bytes delivered, which is also the offset to resume from. */
	get delivered(): number {
		return this.#delivered;
	}

	/**
	 * Binds the response on a connection to the dispatch.
	 *
	 * @param echoedId - The dispatch ID that the upstream echoed, if it echoes.
	 * @returns False when the response belongs to another dispatch; nothing of it may be delivered.
	 */
	bind(echoedId: string | undefined): boolean {
		this.#isBound = echoedId === undefined || echoedId === this.#dispatchId;
		return this.#isBound;
	}

	/**
	 * Accepts a chunk of the body and removes bytes that were already delivered.
	 *
	 * @param offset - Offset of the chunk in the body, as stated by the upstream.
	 * @returns The bytes that the caller does not have yet, possibly none; `undefined` when bytes before them are missing.
	 */
	accept(offset: number, chunk: Uint8Array): Uint8Array | undefined {
		if (offset > this.#delivered) {
			return undefined;
		}

		const overlap = Math.min(this.#delivered - offset, chunk.byteLength);
		const newBytes = chunk.subarray(overlap);
		const isContiguous = this.#isBound && (newBytes.byteLength === 0 || offset + overlap === this.#delivered);
		if (!this.#invariants.check(PromiseId.WholeAnswer, isContiguous, 'A chunk of a response would have been delivered at the wrong position.')) {
			return undefined;
		}

		this.#delivered += newBytes.byteLength;
		return newBytes;
	}
}
