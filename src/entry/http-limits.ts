/**
 * Limits of the HTTP server for callers, and error responses to requests that its parser rejects.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {ErrorKind, ranOf, SchedulerError} from '../base/errors.js';
import {type Metrics} from '../base/metrics.js';
import {reportBodyError} from './body.js';
import {ErrorFormat, formatError} from './error-body.js';

/** Limits of the HTTP server; tests use shorter ones. */
export type HttpLimits = {
	/** Maximum total size of request line and headers. */
	readonly maxHeaderBytes: number;
	/** Time within which the headers must arrive. */
	readonly headersTimeoutMs: number;
	/** Time within which the complete request must arrive. */
	readonly requestTimeoutMs: number;
	/** Maximum number of connections; `MAX_CONNECTIONS` by default. */
	readonly maxConnections?: number;
};

/** Maximum number of connections; with unfinished heads they take about 50 MB. */
export const MAX_CONNECTIONS = 2000;

export const defaultHttpLimits: HttpLimits = {
	maxHeaderBytes: 16 * 1024,
	headersTimeoutMs: 10_000,
	requestTimeoutMs: 60_000,
};

const FINAL_RESPONSE_TIMEOUT_MS = 1000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;

type ClientError = Error & {code?: string; rawPacket?: unknown};

/** @returns The limits as options of Node's HTTP server. */
export function toServerOptions(limits: HttpLimits): Record<string, unknown> {
	return {
		maxHeaderSize: limits.maxHeaderBytes,
		headersTimeout: limits.headersTimeoutMs,
		requestTimeout: limits.requestTimeoutMs,
		connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, limits.headersTimeoutMs),
		// Node rejects a missing Host header without a body; `findAmbiguity` rejects it with problem details instead.
		requireHostHeader: false,
	};
}

/** @returns The error of an ambiguous request that Node's parser accepts, if it is one. */
export function findAmbiguity(req: IncomingMessage): SchedulerError | undefined {
	// RFC 9112 section 3.2 requires the header.
	if (req.headers.host === undefined && req.httpVersion === '1.1') {
		return SchedulerError.create(ErrorKind.MalformedRequest, 'Host: expected a value.');
	}

	// Servers may disagree on where a body with any other transfer coding ends.
	if ((req.headers['transfer-encoding'] ?? 'chunked').toLowerCase() !== 'chunked') {
		return SchedulerError.create(ErrorKind.MalformedRequest, 'Transfer-Encoding: only chunked is supported.');
	}

	return undefined;
}

const ignoreError = (): void => undefined;

/** Sends error responses to requests that Node's HTTP parser rejects. */
export class ClientErrorHandler {
	/** @param metrics - Counts the errors. */
	static create(metrics: Metrics | undefined): ClientErrorHandler {
		return new ClientErrorHandler(metrics);
	}

	readonly #openResponses = new WeakMap<Duplex, ServerResponse>();

	readonly #metrics: Metrics | undefined;

	private constructor(metrics: Metrics | undefined) {
		this.#metrics = metrics;
	}

	/** Tracks the requests of a server; must be called before other listeners are added. */
	attach(server: Server): void {
		// Node silently drops headers beyond this count; their total size is limited instead.
		server.maxHeadersCount = 0;
		server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
			this.#openResponses.set(req.socket, res);
			// Without a listener, a body that is interrupted while it is not being read would end the process.
			req.on('error', ignoreError);
			res.once('close', () => {
				if (this.#openResponses.get(req.socket) === res) {
					this.#openResponses.delete(req.socket);
				}
			});
		});
		// 100 Continue is sent only when the body is read, so that a rejected request gets just the error response.
		server.on('checkContinue', (req, res) => server.emit('request', req, res));
		server.on('checkExpectation', (_req, res: ServerResponse) => {
			this.#reject(res.socket!, SchedulerError.create(ErrorKind.MalformedRequest, 'Expect: only 100-continue is supported.'), true);
		});
		server.on('connect', (_req, socket: Duplex) => {
			socket.on('error', ignoreError);
			this.#reject(socket, SchedulerError.create(ErrorKind.MethodNotAllowed), false, {allow: ''});
		});
	}

	/** Handles the server's `clientError` event. */
	readonly handle = (err: ClientError, socket: Duplex): void => {
		const res = this.#openResponses.get(socket);
		if (res !== undefined && !res.req.complete) {
			// The error is in the body; its reader sends the error response.
			res.shouldKeepAlive = false;
			reportBodyError(res.req, toSchedulerError(err));
			return;
		}

		// The caller would take an error response for the response to the request that is still running.
		if (res !== undefined || !socket.writable || err.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		this.#reject(socket, toSchedulerError(err), mayHaveIdempotencyKey(err));
	};

	#reject(socket: Duplex, err: SchedulerError, isKeyed: boolean, headers: Readonly<Record<string, string>> = {}): void {
		this.#metrics?.countError(err.kind);
		writeRawResponse(socket, err, isKeyed, headers);
	}
}

function toSchedulerError(err: ClientError): SchedulerError {
	if (err.code === 'HPE_HEADER_OVERFLOW') {
		return SchedulerError.create(ErrorKind.HeaderTooLarge);
	}

	if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		return SchedulerError.create(ErrorKind.RequestTimeout);
	}

	return SchedulerError.create(ErrorKind.MalformedRequest, 'The request is not valid HTTP.');
}

/**
 * Whether a rejected request may have had an idempotency key. It can be ruled out only if the packet contains the whole
 * head, from the request line to the empty line, and no such header.
 */
function mayHaveIdempotencyKey(err: ClientError): boolean {
	const packet = err.rawPacket instanceof Uint8Array ? Buffer.from(err.rawPacket).toString('latin1') : '';
	return !/^[A-Z]+ [^\r\n]*\r\n(?:[^\r\n]+\r\n)*\r\n/v.test(packet) || /idempotency-key/iv.test(packet);
}

function writeRawResponse(socket: Duplex, err: SchedulerError, isKeyed: boolean, extraHeaders: Readonly<Record<string, string>>): void {
	const ran = ranOf(err.kind, {isKeyed, holdsClaim: false, isFirstAttempt: false});
	const {status, headers, body} = formatError(err, ran, ErrorFormat.Problem);
	const headerEntries = Object.entries({
		...headers, ...extraHeaders, 'content-length': Buffer.byteLength(body), connection: 'close',
	});
	const head = headerEntries.map(([name, value]) => `${name}: ${value}\r\n`).join('');
	socket.end(`HTTP/1.1 ${status} Refused\r\n${head}\r\n${body}`);
	// Incoming data is discarded for a short time, because a connection reset could overtake the response.
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, FINAL_RESPONSE_TIMEOUT_MS);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
