/**
 * Collects the bytes of a message whose peer decides how small the pieces are that it sends.
 */
import {Buffer} from 'node:buffer';

/** Sizes of the blocks that pieces are copied into, in bytes. Each block is as large as what is held already, within these bounds. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 262_144;

/**
 * Holds at most twice the collected bytes and one block, in a number of objects that grows with the bytes and not with the
 * pieces. Pieces are copied, because a piece can be a view of a network buffer many times its size.
 */
export class ByteCollector {
	/** @param expectedBytes - Stated length of the message, if it is known: it is then collected in one block, without a copy at its end. */
	static create(expectedBytes = 0): ByteCollector {
		return new ByteCollector(expectedBytes);
	}

	readonly #expectedBytes: number;

	readonly #fullBlocks: Uint8Array[] = [];
	#block: Uint8Array = Buffer.alloc(0);
	/** Number of bytes in the last block. */
	#used = 0;
	#length = 0;

	private constructor(expectedBytes: number) {
		this.#expectedBytes = expectedBytes;
	}

	/** Number of collected bytes. */
	get length(): number {
		return this.#length;
	}

	/** Number of bytes of all blocks. */
	get heldBytes(): number {
		return this.#length - this.#used + this.#block.length;
	}

	/** Number of blocks. */
	get blockCount(): number {
		return this.#fullBlocks.length + (this.#block.length === 0 ? 0 : 1);
	}

	add(piece: Uint8Array): void {
		for (let from = 0; from < piece.length;) {
			if (this.#used === this.#block.length) {
				this.#addBlock(piece.length - from);
			}

			const part = piece.subarray(from, from + this.#block.length - this.#used);
			this.#block.set(part, this.#used);
			this.#used += part.length;
			this.#length += part.length;
			from += part.length;
		}
	}

	/** @returns All collected bytes; the collector is empty afterwards. */
	take(): Uint8Array {
		const last = this.#block.subarray(0, this.#used);
		const bytes = this.#fullBlocks.length === 0 ? last : Buffer.concat([...this.#fullBlocks, last], this.#length);
		this.clear();
		return bytes;
	}

	clear(): void {
		this.#fullBlocks.length = 0;
		this.#block = Buffer.alloc(0);
		this.#used = 0;
		this.#length = 0;
	}

	#addBlock(pieceBytes: number): void {
		if (this.#block.length > 0) {
			this.#fullBlocks.push(this.#block);
		}

		const isFirst = this.#length === 0 && this.#expectedBytes > 0;
		const size = isFirst ? this.#expectedBytes : Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#length, pieceBytes));
		// Not from the buffer pool, of which a small block would retain a larger part.
		this.#block = Buffer.allocUnsafeSlow(size);
		this.#used = 0;
	}
}

/** @returns The text that UTF-8 bytes encode. */
export function decodeText(bytes: Uint8Array): string {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
}
