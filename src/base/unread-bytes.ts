/**
 * What a caller has not read of a response that is relayed as it arrives: held within the account, so that the upstream can
 * be read on meanwhile.
 */
import {type ServerResponse} from 'node:http';
import {type Holding} from './memory-account.js';

/** What one write that has not been passed on takes besides its bytes, in bytes. */
const WRITE_BYTES = 1024;

/** Writes one response. */
export class UnreadBytes {
	/** @param maxBytes - Maximum size of what is held for the caller. */
	static create(res: ServerResponse, holding: Holding, maxBytes: number): UnreadBytes {
		return new UnreadBytes(res, holding, maxBytes);
	}

	readonly #res: ServerResponse;
	readonly #holding: Holding;
	readonly #maxBytes: number;
	/** Number of writes since the caller last took everything. */
	#writeCount = 0;

	private constructor(res: ServerResponse, holding: Holding, maxBytes: number) {
		this.#res = res;
		this.#holding = holding;
		this.#maxBytes = maxBytes;
	}

	/** @returns Whether to read on: the caller takes the bytes, or there is room to hold them meanwhile. */
	write(bytes: Uint8Array): boolean {
		if (this.#res.write(bytes)) {
			return true;
		}

		this.#writeCount += 1;
		if (this.#writeCount === 1) {
			this.#holding.watch();
			this.#res.once('drain', () => {
				this.#writeCount = 0;
				this.#holding.unwatch();
				this.#holding.set(0);
			});
		}

		const heldBytes = this.#res.writableLength + (this.#writeCount * WRITE_BYTES);
		if (heldBytes < this.#maxBytes && this.#holding.tryGrow(heldBytes)) {
			return true;
		}

		this.#holding.set(heldBytes);
		return false;
	}
}
