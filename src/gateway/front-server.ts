/**
 * The HTTP server for callers: reads requests within their limits, resolves route and customer, and starts forwarding.
 * Uses `node:http` directly: it starts within 50 ms on a small VM and adds the least overhead to each stream event.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket, Server as TcpServer} from 'node:net';
import {errorAnswers, ErrorKind, Ran} from '../base/errors.js';
import {runInBackground} from '../base/background.js';
import {ConnectionLimit} from '../base/connection-limit.js';
import {listen} from '../base/listening.js';
import {RequestEnd} from '../base/metrics.js';
import {type Random} from '../base/random.js';
import {promptPartFeature} from '../policy/features.js';
import {
	combinedRank, expectedOutputEvents, quotaCost, requestFingerprint,
} from './call-attributes.js';
import {type CallHead} from './call-codec.js';
import {type Caller, findCaller} from './caller-lookup.js';
import {CallerConnections} from './caller-connections.js';
import {Forwarding, type ForwardingContext} from './forwarding.js';
import {writeErrorResponse} from './error-response.js';
import {LingeringClose} from './lingering-close.js';
import {hasBody, readBody} from './request-body.js';
import {type LedgerEntry} from './request-ledger.js';
import {type PlannedStop} from './planned-stop.js';
import {requestDeadline} from './request-deadline.js';
import {
	type CallerLimits, pickTarget, type PoolSettings, type RoutingTable,
} from './routing-table.js';

/** Maximum bytes of request headers that are read; the configured limit is meant to be lower. */
const MAX_HEADER_BYTES = 65_536;
/** Maximum bytes of a body that are read before there is a configuration; the request is refused anyway. */
const MAX_UNCONFIGURED_BODY_BYTES = 65_536;
/** Longest time without progress of such a body, in ms. */
const UNCONFIGURED_IDLE_MS = 15_000;
/** Stated length up to which the body of a refused request is discarded, so that its connection can go on, in bytes. */
const MAX_DISCARDED_BYTES = 65_536;
/** Refusals that the head of a request alone calls for. */
const headRefusals: ReadonlySet<ErrorKind> = new Set([ErrorKind.MalformedRequest, ErrorKind.NotFound, ErrorKind.Unauthenticated]);
/** Rank of requests whose route and customer are not known. */
const UNKNOWN_RANK = Number.MAX_SAFE_INTEGER;
/** How much longer idle connections stay open than callers are told, in ms: none should close as a request arrives. */
const KEEP_ALIVE_MARGIN_MS = 2000;
/** The caller closed the connection inside a request. */
const INCOMPLETE_REQUEST_CODE = 'HPE_INVALID_EOF_STATE';
/** The head of a request was not complete within its limit. */
const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const statusLines: Readonly<Record<number, string>> = {
	400: '400 Bad Request', 405: '405 Method Not Allowed', 408: '408 Request Timeout', 431: '431 Request Header Fields Too Large',
};

/** A request that is refused without its complete body. */
type Refusal = {
	readonly refusal: ErrorKind;
};

/** HTTP server for callers' requests. */
export class FrontServer {
	/** @param maxConnections - Maximum number of callers' connections. */
	static create(context: ForwardingContext, random: Random, maxConnections: number): FrontServer {
		return new FrontServer(context, random, maxConnections);
	}

	readonly #context: ForwardingContext;
	readonly #random: Random;
	readonly #server: Server;
	readonly #closing: LingeringClose;
	readonly #connections: CallerConnections;
	readonly #connectionLimit: ConnectionLimit;
	/** Ends the reading of each request whose body is not complete yet. */
	readonly #unread = new Set<() => void>();
	/** Responses that have not been sent completely. */
	readonly #open = new Set<ServerResponse>();
	/** Aborted once the server no longer listens or tries to. */
	readonly #listening = new AbortController();
	#stop: PlannedStop | undefined;

	private constructor(context: ForwardingContext, random: Random, maxConnections: number) {
		this.#context = context;
		this.#random = random;
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, connectionsCheckingInterval: 1000}, (req, res) => {
			this.#serveInBackground(req, res);
		});
		// An expectation that is not understood is no reason to refuse a request.
		this.#server.on('checkExpectation', (req, res) => {
			this.#serveInBackground(req, res);
		});
		this.#closing = LingeringClose.create(context.clock);
		this.#connections = CallerConnections.create(this.#closing, context.log);
		this.#server.on('connection', socket => {
			this.#connections.attach(socket);
		});
		this.#connectionLimit = ConnectionLimit.create({
			clock: context.clock,
			log: context.log,
			maxConnections,
			onClosed() {
				context.metrics.countClosedConnection();
			},
		});
		this.#connectionLimit.attach(this.#server);
		this.#server.on('clientError', (err, socket) => {
			this.#rejectMalformed(err, socket as Socket);
		});
		this.#server.on('connect', (_req, socket) => {
			this.#rejectConnect(socket as Socket);
		});
		context.state.listen({
			onTable: table => {
				this.#setTimeouts(table.configuration.limits);
			},
		});
	}

	/** Number of requests that have not been answered yet. */
	get inFlight(): number {
		return this.#open.size;
	}

	/** Number of callers' connections. */
	get connectionCount(): number {
		return this.#connectionLimit.size;
	}

	/** Whether a response, or the end of a connection behind it, may not have reached its caller yet. */
	get isBusy(): boolean {
		return this.#open.size > 0 || this.#closing.size > 0;
	}

	/** Aborts exchanges with requests that a new verdict holds for, before they crash further upstreams. */
	abortQuarantined(): void {
		for (const forwarding of this.#context.running) {
			forwarding.abortIfQuarantined();
		}
	}

	/** @returns Whether callers can connect; false if the listener was closed meanwhile. */
	async listen(host: string, port: number): Promise<boolean> {
		const {clock, log} = this.#context;
		return listen(this.#server, {host, port, backlog: 4096}, {clock, log, signal: this.#listening.signal});
	}

	/** Closes each connection after its next response, and rejects requests that could outlive the process. */
	beginStop(stop: PlannedStop): void {
		this.#stop = stop;
		for (const res of this.#open) {
			if (!res.headersSent) {
				res.setHeader('connection', 'close');
			}
		}
	}

	/** Gives every request that is still open its final answer. */
	endRequests(): void {
		for (const endReading of this.#unread) {
			endReading();
		}

		for (const forwarding of this.#context.running) {
			forwarding.endByStop();
		}
	}

	/** Stops accepting connections; requests on those that are open are still served. */
	closeListener(): void {
		this.#listening.abort();
		// The HTTP server's own method also destroys idle connections, with the requests that have just been sent on them.
		TcpServer.prototype.close.call(this.#server);
	}

	/** Closes all connections. */
	destroy(): void {
		this.#context.ledger.noteClosing();
		this.#server.closeAllConnections();
	}

	#setTimeouts({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.requestTimeout = 0;
		this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
	}

	#serveInBackground(req: IncomingMessage, res: ServerResponse): void {
		runInBackground(this.#context.log, 'serving a request', async () => this.#serveInTurn(req, res));
	}

	async #serveInTurn(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, ledger, codec} = this.#context;
		const arrivedAt = clock.now();
		try {
			if (await this.#connections.waitForTurn(req, res)) {
				await this.#serve(req, res, arrivedAt);
			} else if (req.complete && !req.socket.readableEnded) {
				ledger.record(RequestEnd.Unserved, {request: codec.decode(req)?.id});
			}
		} catch (error) {
			this.#failRequest(res, error);
		}
	}

	#failRequest(res: ServerResponse, err: unknown): void {
		const {ledger} = this.#context;
		const entry = ledger.entryOf(res) ?? ledger.begin(res, undefined);
		ledger.noteDefect(entry.id, err);
		try {
			if (entry.decision === undefined && !res.headersSent) {
				this.#reject(res, entry, undefined, ErrorKind.Internal);
			}
		} catch (error) {
			ledger.noteDefect(entry.id, error);
		}

		if (entry.decision === undefined) {
			entry.decide(RequestEnd.Broken);
			res.destroy();
		}
	}

	async #serve(req: IncomingMessage, res: ServerResponse, arrivedAt: number): Promise<void> {
		const {state, codec, ledger} = this.#context;
		this.#open.add(res);
		res.once('close', () => {
			this.#open.delete(res);
		});
		if (this.#stop !== undefined) {
			res.setHeader('connection', 'close');
		}

		const limits = state.table?.configuration.limits;
		const head = codec.decode(req);
		const body = await this.#readBody(res, head, limits);
		if (body === 'aborted') {
			return;
		}

		// A body can take long to arrive: the request is handled by the configuration that is in force now.
		const {table} = state;
		const entry = ledger.begin(res, head?.id);
		if (typeof body === 'object' && 'refusal' in body) {
			this.#reject(res, entry, head, body.refusal);
			return;
		}

		if (body === 'stopped') {
			this.#reject(res, entry, head, ErrorKind.Draining);
			return;
		}

		if (body === 'too-large') {
			this.#reject(res, entry, head, limits === undefined ? ErrorKind.NotReady : ErrorKind.BodyTooLarge);
			return;
		}

		if (table === undefined) {
			this.#reject(res, entry, head, ErrorKind.NotReady);
			return;
		}

		const resolved = this.#resolve(table, req, head);
		if (typeof resolved === 'string') {
			this.#reject(res, entry, head, resolved);
			return;
		}

		const {route, customer, pool} = resolved;
		if (this.#stop?.take(route, requestDeadline(route, head!, arrivedAt)) === false) {
			this.#reject(res, entry, head, ErrorKind.Draining);
			return;
		}

		const fingerprint = requestFingerprint(req, customer, body);
		Forwarding.start(this.#context, {
			req,
			res,
			entry,
			head: head!,
			route,
			pool: pool.name,
			customer: customer?.name,
			rank: combinedRank(route, customer),
			quotaCost: quotaCost(customer?.quota, head!.generation),
			outputEvents: expectedOutputEvents(head!, pool),
			body,
			fingerprint,
			features: [fingerprint, ...head!.promptParts.map(id => promptPartFeature(id))],
			arrivedAt,
		});
	}

	/** Reads the body, unless the head of the request already tells why it is refused. */
	async #readBody(res: ServerResponse, head: CallHead | undefined, limits: CallerLimits | undefined): Promise<Uint8Array | undefined | 'too-large' | 'aborted' | 'stopped' | Refusal> {
		const {state: {table}, memory} = this.#context;
		const {req} = res;
		const maxBytes = limits?.maxBodyBytes ?? MAX_UNCONFIGURED_BODY_BYTES;
		const isAnnouncedTooLarge = Number(req.headers['content-length']) > maxBytes;
		const caller = table === undefined || isAnnouncedTooLarge || !hasBody(req) ? undefined : findCaller(table, req, head);
		if (typeof caller === 'string') {
			return {refusal: caller};
		}

		let endReading!: () => void;
		const stopped = new Promise<'stopped'>(resolve => {
			endReading = () => {
				resolve('stopped');
			};
		});
		this.#unread.add(endReading);
		const reading = readBody(res, memory, {
			maxBytes,
			party: caller?.customer?.name ?? req.socket.remoteAddress ?? '',
			rank: caller === undefined ? UNKNOWN_RANK : combinedRank(caller.route, caller.customer),
			idleMs: limits?.idleTimeoutMs ?? UNCONFIGURED_IDLE_MS,
		});
		const body = await Promise.race([reading, stopped]);
		this.#unread.delete(endReading);
		if (body === 'no-room' || body === 'stalled') {
			return {refusal: body === 'no-room' ? ErrorKind.Overloaded : ErrorKind.RequestTimeout};
		}

		return body;
	}

	#resolve(table: RoutingTable, req: IncomingMessage, head: CallHead | undefined): (Caller & {pool: PoolSettings}) | ErrorKind {
		const caller = findCaller(table, req, head);
		if (typeof caller === 'string') {
			return caller;
		}

		const target = pickTarget(caller.route.targets, this.#random.next());
		const pool = target === undefined ? undefined : table.pool(target.pool);
		return pool === undefined ? ErrorKind.NoUpstream : {...caller, pool};
	}

	#reject(res: ServerResponse, entry: LedgerEntry, head: CallHead | undefined, kind: ErrorKind): void {
		const {codec, metrics} = this.#context;
		const {ran, status} = errorAnswers[kind];
		metrics.countError(kind);
		const isDiscarded = headRefusals.has(kind) && Number(res.req.headers['content-length']) <= MAX_DISCARDED_BYTES;
		if (!res.req.complete && !res.headersSent && !isDiscarded) {
			// The rest of the body is not read.
			res.setHeader('connection', 'close');
		}

		writeErrorResponse(res, codec, head, kind);
		entry.decide(ran === Ran.No ? RequestEnd.Refused : RequestEnd.Failed, {kind, status});
	}

	#rejectMalformed(err: Error, socket: Socket): void {
		const {code} = err as NodeJS.ErrnoException;
		if (code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		if (code === HEAD_TIMEOUT_CODE && socket.bytesRead === 0) {
			// Nothing was asked, so there is nothing to answer.
			socket.destroySoon();
			return;
		}

		const status = code === 'HPE_HEADER_OVERFLOW' ? 431 : (code === HEAD_TIMEOUT_CODE ? 408 : 400);
		this.#rejectUnread(socket, status, code);
	}

	/** The HTTP server no longer follows a connection on which it has read CONNECT. */
	#rejectConnect(socket: Socket): void {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('end', () => {
			socket.end();
		});
		socket.resume();
		this.#rejectUnread(socket, 405, 'CONNECT');
	}

	#rejectUnread(socket: Socket, status: number, code: string | undefined): void {
		const isAnswered = this.#connections.reject(socket, `HTTP/1.1 ${statusLines[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		if (isAnswered && code !== INCOMPLETE_REQUEST_CODE) {
			this.#context.ledger.record(RequestEnd.Refused, {code, status});
		}
	}
}
