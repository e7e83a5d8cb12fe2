/**
 * What a VM holds of the response to one request: the body that is collected, and what the caller has not read. All of it is
 * charged to the account of held bytes, and a caller that does not read is cut off.
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders, type ServerResponse} from 'node:http';
import {ByteCollector} from '../base/byte-collector.js';
import {type Holding, HoldingKind, type MemoryAccount} from '../base/memory-account.js';
import {UnreadBytes} from '../base/unread-bytes.js';
import {endToEndHeaders} from '../dispatch/hop-headers.js';

/** Maximum size of a response buffered before it is relayed, in bytes; a VM has some hundred MB for all requests. */
const MAX_BUFFERED_BYTES = 8_388_608;
/** Room that is asked for at a time for a response without a stated length, in bytes. */
const STEP_BYTES = 65_536;
/** Maximum size of what the caller of a stream has not read, in bytes; it must reach a slow caller within its time limit. */
const MAX_UNREAD_BYTES = 1_048_576;
/** Size of the parts in which a response is written, in bytes, so that its progress shows. */
const PART_BYTES = 262_144;

/** A completely received response of an upstream. */
export type BufferedResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** Reading of the response from the upstream. */
export type ResponseFlow = {
	pause(): void;
	resume(): void;
};

/** Who gets a response. */
export type DeliveryOptions = {
	readonly res: ServerResponse;
	readonly party: string;
	readonly rank: number;
	/** Longest time in which the caller may read nothing, in ms. */
	readonly maxUnreadMs: number;
	/** The caller did not read for too long; its connection is closed afterwards. */
	readonly onUnread: () => void;
};

/** Holds and sends the response to one request. */
export class ResponseDelivery {
	static create(account: MemoryAccount, options: DeliveryOptions): ResponseDelivery {
		return new ResponseDelivery(account, options);
	}

	readonly #res: ServerResponse;
	readonly #holding: Holding;
	#collected = ByteCollector.create();
	readonly #unread: UnreadBytes;
	/** Bytes of a complete response that the caller's connection took. */
	#passedBytes = 0;

	private constructor(account: MemoryAccount, {res, party, rank, maxUnreadMs, onUnread}: DeliveryOptions) {
		this.#res = res;
		this.#holding = account.open({
			kind: HoldingKind.Response,
			party,
			rank,
			idleMs: maxUnreadMs,
			progress: () => this.#passedBytes + this.#unread.passedBytes,
			onStalled() {
				onUnread();
				res.destroy();
			},
		});
		this.#unread = UnreadBytes.create(res, MAX_UNREAD_BYTES, () => this.#holding);
		res.once('close', () => {
			this.#holding.close();
		});
	}

	/**
	 * Asks for room for a response that is collected.
	 *
	 * @param statedBytes - Its length, `NaN` if it states none.
	 * @param flow - Paused until there is room.
	 */
	expect(statedBytes: number, flow: ResponseFlow): void {
		const isStated = statedBytes >= 0 && statedBytes <= MAX_BUFFERED_BYTES;
		this.#collected = ByteCollector.create(isStated ? statedBytes : 0);
		this.#awaitRoom(isStated ? statedBytes : STEP_BYTES, flow);
	}

	/** @returns False if the response exceeds its limit. */
	collect(chunk: Uint8Array, flow: ResponseFlow): boolean {
		if (this.#collected.length + chunk.length > MAX_BUFFERED_BYTES) {
			return false;
		}

		this.#collected.add(chunk);
		const {heldBytes} = this.#collected;
		if (heldBytes > this.#holding.bytes) {
			this.#holding.set(heldBytes);
			if (this.#holding.waiter === undefined) {
				this.#awaitRoom(heldBytes + STEP_BYTES, flow);
			}
		}

		return true;
	}

	/** Drops what was collected of a response that cannot be used. */
	clear(): void {
		this.#holding.cancelWait();
		this.#holding.set(0);
		this.#collected.clear();
	}

	/** @returns The collected body. It stays charged. */
	take(): Uint8Array {
		this.#holding.cancelWait();
		return this.#collected.take();
	}

	/** @returns Whether to read on: the caller takes the bytes, or there is room to hold them meanwhile. */
	write(bytes: Uint8Array): boolean {
		return this.#unread.write(bytes);
	}

	/** Ends a stream. */
	end(): void {
		this.#unread.end();
	}

	/** Sends a complete response. */
	send({status, headers, body}: BufferedResponse): void {
		const forwarded = endToEndHeaders(headers, ['content-length']);
		const hasBody = status !== 204 && status !== 304;
		this.#res.writeHead(status, hasBody ? {...forwarded, 'content-length': String(body.length)} : forwarded);
		if (!hasBody) {
			this.#res.end();
			return;
		}

		this.#holding.watch();
		this.#sendFrom(body, 0);
	}

	#sendFrom(body: Uint8Array, start: number): void {
		const end = start + PART_BYTES;
		if (end >= body.length) {
			this.#res.end(body.subarray(start));
		} else if (!this.#res.destroyed) {
			this.#res.write(Buffer.from(body.buffer, body.byteOffset + start, PART_BYTES), err => {
				if (!err) {
					this.#passedBytes = end;
					this.#sendFrom(body, end);
				}
			});
		}
	}

	#awaitRoom(totalBytes: number, flow: ResponseFlow): void {
		const hasRoom = this.#holding.grow(totalBytes, () => {
			flow.resume();
		});
		if (!hasRoom) {
			flow.pause();
		}
	}
}
