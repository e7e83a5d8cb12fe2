/**
 * Streams a caller's request body to an upstream while it is being received.
 */
import {type ServerResponse} from 'node:http';
import {StreamedBody} from '../upstream/exchange.js';
import {sendContinue} from './body.js';

/** The streamed body of a request with Content-Length, which Node's parser enforces. */
export class CallerBody extends StreamedBody {
	/**
	 * @param res - The response of the request whose body is streamed.
	 * @param length - The declared size in bytes.
	 */
	static create(res: ServerResponse, length: number): CallerBody {
		return new CallerBody(res, length);
	}

	readonly length: number;
	readonly #res: ServerResponse;
	#wasRead = false;

	private constructor(res: ServerResponse, length: number) {
		super();
		this.#res = res;
		this.length = length;
	}

	get wasRead(): boolean {
		return this.#wasRead;
	}

	async * [Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
		this.#wasRead = true;
		sendContinue(this.#res);
		// Keeps the connection open if the upstream stops reading, so that a response can still be sent.
		const {req} = this.#res;
		yield * req.iterator({destroyOnReturn: false}) as AsyncIterableIterator<Uint8Array>;
	}
}
