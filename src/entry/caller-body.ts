/**
 * A caller's body that is passed on to an upstream while it arrives.
 */
import {type ServerResponse} from 'node:http';
import {StreamedBody} from '../upstream/exchange.js';
import {inviteBody} from './body.js';

/** The body of a request that declared its size; Node's parser holds the caller to it. */
export class CallerBody extends StreamedBody {
	/**
	 * @param res - The response of the request whose body is passed on.
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
		inviteBody(this.#res);
		// The connection stays open when the upstream stops reading, so that the answer can be sent.
		const {req} = this.#res;
		yield * req.iterator({destroyOnReturn: false}) as AsyncIterableIterator<Uint8Array>;
	}
}
