/**
 * Adapter for plain services over HTTP/1.1.
 */
import {PlainService} from './engine.js';
import {type Exchange, type ExchangeHandler, type UpstreamRequest} from './exchange.js';
import {HttpTransport} from './http-transport.js';

/** Client of one plain service over HTTP. */
export class HttpPlainService extends PlainService {
	/** @param url - Origin and optional path prefix of the service. */
	static create(url: string): HttpPlainService {
		return new HttpPlainService(HttpTransport.create(url));
	}

	readonly #transport: HttpTransport;

	private constructor(transport: HttpTransport) {
		super();
		this.#transport = transport;
	}

	send(req: UpstreamRequest, handler: ExchangeHandler): Exchange {
		return this.#transport.send(req, handler);
	}

	async destroy(): Promise<void> {
		await this.#transport.destroy();
	}
}
