/**
 * Limits of the HTTP server for callers, and answers to what its parser refuses.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {ErrorKind, ranOf, SchedulerError} from '../base/errors.js';
import {type Metrics} from '../base/metrics.js';
import {noteBodyFault} from './body.js';
import {ErrorFormat, formatError} from './error-body.js';

/** Limits that tests shorten. */
export type HttpLimits = {
	/** Greatest size of a request's line and headers together. */
	readonly maxHeaderBytes: number;
	/** Longest time for the headers to arrive. */
	readonly headersTimeoutMs: number;
	/** Longest time for the whole request to arrive. */
	readonly requestTimeoutMs: number;
};

export const defaultHttpLimits: HttpLimits = {
	maxHeaderBytes: 16 * 1024,
	headersTimeoutMs: 10_000,
	requestTimeoutMs: 60_000,
};

const FINAL_ANSWER_TIMEOUT_MS = 1000;
const TIMEOUT_CHECK_MS = 500;

type ClientError = Error & {code?: string; rawPacket?: unknown};

/** @returns Options of Node's HTTP server. */
export function toServerOptions(limits: HttpLimits): Record<string, unknown> {
	return {
		maxHeaderSize: limits.maxHeaderBytes,
		headersTimeout: limits.headersTimeoutMs,
		requestTimeout: limits.requestTimeoutMs,
		connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_MS, limits.headersTimeoutMs),
		// Node answers a missing Host header without a body; `findAmbiguity` answers it as a problem.
		requireHostHeader: false,
	};
}

/** @returns What makes a request ambiguous although Node's parser accepted it. */
export function findAmbiguity(req: IncomingMessage): SchedulerError | undefined {
	// RFC 9112 section 3.2 demands the header.
	if (req.headers.host === undefined && req.httpVersion === '1.1') {
		return SchedulerError.create(ErrorKind.MalformedRequest, 'Host: expected a value.');
	}

	// Where the body of any other coding ends is open to interpretation.
	if ((req.headers['transfer-encoding'] ?? 'chunked').toLowerCase() !== 'chunked') {
		return SchedulerError.create(ErrorKind.MalformedRequest, 'Transfer-Encoding: only chunked is supported.');
	}

	return undefined;
}

const ignore = (): void => undefined;

/** Answers what Node's HTTP parser refuses. */
export class ClientErrors {
	/** @param metrics - Where the errors are counted. */
	static create(metrics: Metrics | undefined): ClientErrors {
		return new ClientErrors(metrics);
	}

	readonly #current = new WeakMap<Duplex, ServerResponse>();

	readonly #metrics: Metrics | undefined;

	private constructor(metrics: Metrics | undefined) {
		this.#metrics = metrics;
	}

	/** Follows the requests of a server; call before other listeners are added. */
	attach(server: Server): void {
		// Node drops headers over a count without notice; their size is bounded already.
		server.maxHeadersCount = 0;
		server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
			this.#current.set(req.socket, res);
			// A body that breaks off while nobody reads it must not end the process.
			req.on('error', ignore);
			res.once('close', () => {
				if (this.#current.get(req.socket) === res) {
					this.#current.delete(req.socket);
				}
			});
		});
		// The body is asked for when it is read, so that a refusal is the only answer.
		server.on('checkContinue', (req, res) => server.emit('request', req, res));
		server.on('checkExpectation', (_req, res: ServerResponse) => {
			this.#refuse(res.socket!, SchedulerError.create(ErrorKind.MalformedRequest, 'Expect: only 100-continue is supported.'), true);
		});
		server.on('connect', (_req, socket: Duplex) => {
			socket.on('error', ignore);
			this.#refuse(socket, SchedulerError.create(ErrorKind.MethodNotAllowed), false, {allow: ''});
		});
	}

	/** Handles the server's event `clientError`. */
	readonly handle = (err: ClientError, socket: Duplex): void => {
		const res = this.#current.get(socket);
		if (res !== undefined && !res.req.complete) {
			// The body is at fault; whoever reads it answers.
			res.shouldKeepAlive = false;
			noteBodyFault(res.req, toSchedulerError(err));
			return;
		}

		// An error answer now would be taken for the answer to the request that is still running.
		if (res !== undefined || !socket.writable || err.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		this.#refuse(socket, toSchedulerError(err), mayBeKeyed(err));
	};

	#refuse(socket: Duplex, err: SchedulerError, isKeyed: boolean, headers: Readonly<Record<string, string>> = {}): void {
		this.#metrics?.countError(err.kind);
		writeRaw(socket, err, isKeyed, headers);
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

/** Whether the unreadable request may have carried an idempotency key; only a head that is there from its start shows. */
function mayBeKeyed(err: ClientError): boolean {
	const packet = err.rawPacket instanceof Uint8Array ? Buffer.from(err.rawPacket).toString('latin1') : '';
	return !/^[A-Z]+ [^\r\n]*\r\n/v.test(packet) || /idempotency-key/iv.test(packet);
}

function writeRaw(socket: Duplex, err: SchedulerError, isKeyed: boolean, extraHeaders: Readonly<Record<string, string>>): void {
	const ran = ranOf(err.kind, {isKeyed, holdsClaim: false, isFirstAttempt: false});
	const {status, headers, body} = formatError(err, ran, ErrorFormat.Problem);
	const lines = Object.entries({
		...headers, ...extraHeaders, 'content-length': Buffer.byteLength(body), connection: 'close',
	});
	const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
	socket.end(`HTTP/1.1 ${status} Refused\r\n${head}\r\n${body}`);
	// What still arrives is discarded for a moment, as a reset connection could overtake the answer.
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, FINAL_ANSWER_TIMEOUT_MS);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
