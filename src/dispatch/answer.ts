/**
 * The position in one answer: which bytes the caller has, whichever connection they came over.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Tracks the bytes of one answer that were delivered, so that none is missing or repeated. */
export class Answer {
	/**
	 * @param dispatchId - The dispatch that the answer must belong to.
	 * @param invariants - Where promise P3 is asserted.
	 */
	static create(dispatchId: string, invariants: Invariants): Answer {
		return new Answer(dispatchId, invariants);
	}

	readonly #dispatchId: string;
	readonly #invariants: Invariants;
	#delivered = 0;
	#isBound = false;

	private constructor(dispatchId: string, invariants: Invariants) {
		this.#dispatchId = dispatchId;
		this.#invariants = invariants;
	}

	/** Bytes of the body that were delivered; the offset to resume at. */
	get delivered(): number {
		return this.#delivered;
	}

	/**
	 * Binds a connection's answer to the dispatch.
	 *
	 * @param echoedId - The dispatch ID that the upstream echoed, if it echoes.
	 * @returns False when the answer belongs to another dispatch; nothing of it may be delivered.
	 */
	bind(echoedId: string | undefined): boolean {
		this.#isBound = echoedId === undefined || echoedId === this.#dispatchId;
		return this.#isBound;
	}

	/**
	 * Takes a part of the body.
	 *
	 * @param offset - Where in the body the part starts, by the upstream's account.
	 * @returns The bytes that the caller does not have yet, possibly none; `undefined` when bytes before them are missing.
	 */
	accept(offset: number, chunk: Uint8Array): Uint8Array | undefined {
		if (offset > this.#delivered) {
			return undefined;
		}

		const overlap = Math.min(this.#delivered - offset, chunk.byteLength);
		const fresh = chunk.subarray(overlap);
		const isContiguous = this.#isBound && (fresh.byteLength === 0 || offset + overlap === this.#delivered);
		if (!this.#invariants.check(PromiseId.WholeAnswer, isContiguous, 'A part of an answer was to be delivered out of place.')) {
			return undefined;
		}

		this.#delivered += fresh.byteLength;
		return fresh;
	}
}
