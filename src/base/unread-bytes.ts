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
	/**
	 * @param maxBytes - Maximum size of what is held for the caller.
	 * @param openHolding - Called once the caller is slow for the first time: most never are.
	 */
	static create(res: ServerResponse, maxBytes: number, openHolding: () => Holding): UnreadBytes {
		return new UnreadBytes(res, maxBytes, openHolding);
	}

	readonly #res: ServerResponse;
	readonly #openHolding: () => Holding;
	#opened: Holding | undefined;
	readonly #maxBytes: number;
	/** Writes that follow once the connection takes more. They are passed on a few at a time, so that progress shows. */
	#queue: Uint8Array[] = [];
	#queuedBytes = 0;
	#passedBytes = 0;
	/** The connection takes no more for now. */
	#isFull = false;
	#isEnded = false;

	private constructor(res: ServerResponse, maxBytes: number, openHolding: () => Holding) {
		this.#res = res;
		this.#openHolding = openHolding;
		this.#maxBytes = maxBytes;
	}

	/** Number of bytes that the connection took while its caller was slow. */
	get passedBytes(): number {
		return this.#passedBytes;
	}

	/** @returns Whether to read on: the caller takes the bytes, or there is room to hold them meanwhile. */
	write(bytes: Uint8Array): boolean {
		if (this.#isFull) {
			this.#queue.push(bytes);
			this.#queuedBytes += bytes.length;
		} else if (this.#pass(bytes)) {
			return true;
		} else {
			this.#holding.watch();
		}

		const heldBytes = this.#heldBytes;
		if (heldBytes < this.#maxBytes && this.#holding.tryGrow(heldBytes)) {
			return true;
		}

		this.#holding.set(heldBytes);
		return false;
	}

	/** Ends the response behind what is held. */
	end(): void {
		this.#isEnded = true;
		if (this.#queue.length === 0) {
			this.#res.end();
		}
	}

	get #holding(): Holding {
		this.#opened ??= this.#openHolding();
		return this.#opened;
	}

	get #heldBytes(): number {
		return this.#res.writableLength + this.#queuedBytes + (this.#queue.length * WRITE_BYTES);
	}

	/** @returns Whether the connection takes more. */
	#pass(bytes: Uint8Array): boolean {
		this.#isFull = !this.#res.write(bytes);
		if (this.#isFull) {
			this.#res.once('drain', () => {
				this.#passedBytes += bytes.length;
				this.#passQueue();
			});
		}

		return !this.#isFull;
	}

	#passQueue(): void {
		this.#isFull = false;
		let count = 0;
		while (count < this.#queue.length && !this.#isFull) {
			const bytes = this.#queue[count]!;
			this.#queuedBytes -= bytes.length;
			count += 1;
			this.#pass(bytes);
		}

		this.#queue = this.#queue.slice(count);
		if (this.#isFull) {
			this.#holding.set(this.#heldBytes);
			return;
		}

		this.#holding.unwatch();
		this.#holding.set(0);
		if (this.#isEnded) {
			this.#res.end();
		}
	}
}
