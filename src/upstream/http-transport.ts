/**
 * HTTP/1.1 transport for exchanges, using undici without pipelining. A response that an upstream writes once more on a kept
 * connection looks like the response to the next request, so that only upstreams that echo dispatch IDs keep connections.
 */
import {Pool, type Dispatcher, errors} from 'undici';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {
	Exchange, type ExchangeHandler, StreamedBody, type UpstreamHeaders, type UpstreamRequest,
} from './exchange.js';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 4000;
/** Header in which an upstream may echo the dispatch ID. */
const DISPATCH_ID_HEADER = 'dispatch-id';

/** Connection pool of one upstream. */
export class HttpTransport {
	/** @param url - Origin and optional path prefix of the upstream. */
	static create(url: string): HttpTransport {
		return new HttpTransport(new URL(url));
	}

	readonly #pool: Pool;
	readonly #pathPrefix: string;
	#echoesIds = false;

	private constructor(url: URL) {
		this.#pathPrefix = url.pathname === '/' ? '' : url.pathname.replace(/\/$/v, '');
		this.#pool = new Pool(url.origin, {
			pipelining: 1,
			keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
			connect: {timeout: CONNECT_TIMEOUT_MS},
		});
	}

	/** Starts an exchange whose events are passed to the handler. */
	send(req: UpstreamRequest, handler: ExchangeHandler): Exchange {
		const exchange = new HttpExchange(handler, headers => this.#isFor(req, headers));
		this.#pool.dispatch({
			method: req.method,
			path: this.#pathPrefix + req.path,
			// A Content-Length lets the upstream detect a truncated body.
			headers: req.body instanceof StreamedBody ? {...req.headers, 'content-length': String(req.body.length)} : req.headers,
			// Undici accepts any async iterable, although its types declare only streams.
			body: (req.body ?? null) as Uint8Array | undefined,
			headersTimeout: req.idleTimeoutMs,
			bodyTimeout: req.idleTimeoutMs,
			reset: !this.#echoesIds,
		}, exchange);
		return exchange;
	}

	/** Closes all connections immediately. */
	async destroy(): Promise<void> {
		await this.#pool.destroy();
	}

	/** @returns Whether a response may belong to the request; without an ID only if the upstream has echoed none yet. */
	#isFor({dispatchId, mayOmitId = false}: UpstreamRequest, headers: UpstreamHeaders): boolean {
		const echoedId = headers[DISPATCH_ID_HEADER]?.toString();
		if (echoedId === undefined) {
			return !this.#echoesIds || mayOmitId;
		}

		this.#echoesIds ||= echoedId === dispatchId;
		return true;
	}
}

/** Adapts undici's handler interface to `ExchangeHandler`. */
class HttpExchange extends Exchange implements Dispatcher.DispatchHandler {
	readonly #handler: ExchangeHandler;
	readonly #isForRequest: (headers: UpstreamHeaders) => boolean;
	#controller: Dispatcher.DispatchController | undefined;
	#wasSent = false;
	#isEnded = false;
	#isAborted = false;

	constructor(handler: ExchangeHandler, isForRequest: (headers: UpstreamHeaders) => boolean) {
		super();
		this.#handler = handler;
		this.#isForRequest = isForRequest;
	}

	resume(): void {
		this.#controller?.resume();
	}

	abort(): void {
		this.#isAborted = true;
		this.#controller?.abort(new errors.RequestAbortedError());
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isAborted || !this.#handler.onCommit()) {
			controller.abort(new errors.RequestAbortedError());
			return;
		}

		this.#wasSent = true;
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: UpstreamHeaders): void {
		// Informational responses (RFC 9110 section 15.2) precede the final response.
		if (status < 200) {
			return;
		}

		if (this.#isForRequest(headers)) {
			this.#handler.onHeaders(status, headers);
		} else {
			controller.abort(new errors.SocketError('response without the dispatch ID'));
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#isAborted && !this.#handler.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		this.#isEnded = true;
		this.#handler.onEnd();
	}

	onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#handler.onError(toSchedulerError(err, this.#wasSent, this.#isAborted), this.#wasSent);
	}
}

function toSchedulerError(err: Error, wasSent: boolean, isAborted: boolean): SchedulerError {
	if (!wasSent) {
		return SchedulerError.create(isAborted ? ErrorKind.Canceled : ErrorKind.NoUpstream);
	}

	const isTimeout = err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError;
	return SchedulerError.create(isTimeout ? ErrorKind.UpstreamTimeout : ErrorKind.UpstreamLost);
}
