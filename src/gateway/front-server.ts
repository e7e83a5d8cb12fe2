/**
 * The HTTP server for callers: reads requests within their limits, resolves route and customer, and starts forwarding.
 * A bare `node:http` server, as it starts within 50 ms on a small VM and adds least to each event of a stream.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {errorAnswers, ErrorKind} from '../base/errors.js';
import {type Random} from '../base/random.js';
import {type CallHead} from './call-codec.js';
import {Forwarding, type ForwardingContext} from './forwarding.js';
import {writeOwnAnswer} from './own-answer.js';
import {
	type CallerLimits, type Customer, pickTarget, type PoolSettings, type Quota, type Route, type RoutingTable,
} from './routing-table.js';

/** Bytes of headers that are read at most; the configuration's own limit is checked below it. */
const MAX_HEADER_BYTES = 65_536;
/** Idle connections are kept this much longer than callers are told, in ms, so that none is closed under a request. */
const KEEP_ALIVE_MARGIN_MS = 2000;
/** Ranks of routes are below this; the rank of the customer goes before them. */
const RANKS_PER_CUSTOMER_RANK = 10;
/** Part of the largest answer that is expected where the caller gives no estimate. */
const EXPECTED_OUTPUT_SHARE = 0.5;
const LAST_RANK = RANKS_PER_CUSTOMER_RANK - 1;
const statusLines: Readonly<Record<number, string>> = {
	400: '400 Bad Request', 408: '408 Request Timeout', 431: '431 Request Header Fields Too Large',
};

/** How a stopping server treats new requests. Times in ms of the VM's monotonic clock. */
export type Stopping = {
	/** Until then every request is served. */
	readonly acceptsUntil: number;
	/** Later ones are served if their route's time-out ends before this time. */
	readonly endsAt: number;
};

/** The server. */
export class FrontServer {
	static create(context: ForwardingContext, random: Random): FrontServer {
		return new FrontServer(context, random);
	}

	readonly #context: ForwardingContext;
	readonly #random: Random;
	readonly #server: Server;
	#inFlight = 0;
	#stopping: Stopping | undefined;

	private constructor(context: ForwardingContext, random: Random) {
		this.#context = context;
		this.#random = random;
		this.#server = createServer({maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, connectionsCheckingInterval: 1000}, (req, res) => {
			void this.#serve(req, res);
		});
		this.#server.on('clientError', (err, socket) => {
			this.#refuseMalformed(err, socket as Socket);
		});
		context.state.listen({
			onTable: table => {
				this.#setLimits(table.configuration.limits);
			},
		});
	}

	/** Requests that are not answered yet. */
	get inFlight(): number {
		return this.#inFlight;
	}

	async listen(host: string, port: number): Promise<void> {
		this.#server.listen({host, port, backlog: 4096});
		await once(this.#server, 'listening');
	}

	/** Closes each connection after its next answer, and refuses requests that would outlive the process. */
	beginStop(stopping: Stopping): void {
		this.#stopping = stopping;
	}

	/** Takes no further connection and closes idle ones; requests in flight are served. */
	closeListener(): void {
		this.#server.close();
	}

	/** Closes all connections. */
	destroy(): void {
		this.#server.closeAllConnections();
	}

	#setLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.requestTimeout = 0;
		this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
	}

	async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, state, codec} = this.#context;
		const arrivedAt = clock.now();
		this.#inFlight += 1;
		res.once('close', () => {
			this.#inFlight -= 1;
		});
		if (this.#stopping !== undefined) {
			res.setHeader('connection', 'close');
		}

		const {table} = state;
		const body = await readBody(req, table?.configuration.limits.maxBodyBytes ?? 0);
		const head = codec.decode(req);
		if (body === 'aborted') {
			return;
		}

		if (body === 'too-large') {
			this.#answer(res, head, table === undefined ? ErrorKind.NotReady : ErrorKind.BodyTooLarge);
			return;
		}

		if (table === undefined) {
			this.#answer(res, head, ErrorKind.NotReady);
			return;
		}

		const found = this.#resolve(table, req, head);
		if (typeof found === 'string') {
			this.#answer(res, head, found);
			return;
		}

		const {route, customer, pool} = found;
		if (this.#stopping !== undefined && arrivedAt > this.#stopping.acceptsUntil && arrivedAt + route.timeoutMs > this.#stopping.endsAt) {
			this.#answer(res, head, ErrorKind.Draining);
			return;
		}

		Forwarding.start(this.#context, {
			req,
			res,
			head: head!,
			route,
			pool: pool.name,
			customer: customer?.name,
			rank: rankOf(route, customer),
			quotaCost: quotaCost(customer?.quota, head!),
			outputEvents: expectedEvents(head!, pool),
			body,
			fingerprint: fingerprintOf(req, customer, body),
			arrivedAt,
		});
	}

	#resolve(table: RoutingTable, req: IncomingMessage, head: CallHead | undefined): {route: Route; customer: Customer | undefined; pool: PoolSettings} | ErrorKind {
		if (head === undefined) {
			return ErrorKind.MalformedRequest;
		}

		const route = table.routeOf(head.host, req.url!);
		if (route === undefined) {
			return ErrorKind.NotFound;
		}

		const customer = head.apiKey === undefined ? undefined : table.customerOf(head.apiKey);
		if (table.configuration.hasCustomers && !route.isPublic && customer === undefined) {
			return ErrorKind.Unauthenticated;
		}

		const target = pickTarget(route.targets, this.#random.next());
		const pool = target === undefined ? undefined : table.pool(target.pool);
		return pool === undefined ? ErrorKind.NoUpstream : {route, customer, pool};
	}

	#answer(res: ServerResponse, head: CallHead | undefined, kind: ErrorKind): void {
		const {codec, metrics, log} = this.#context;
		metrics.countError(kind);
		log.info('Request not accepted.', {request: head?.id, kind, status: errorAnswers[kind].status});
		writeOwnAnswer(res, codec, head, kind);
	}

	#refuseMalformed(err: Error, socket: Socket): void {
		const {code} = err as NodeJS.ErrnoException;
		if (code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const status = code === 'HPE_HEADER_OVERFLOW' ? 431 : (code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400);
		this.#context.log.info('Malformed request.', {code, status});
		socket.end(`HTTP/1.1 ${statusLines[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}
}

/** @returns The body; `undefined` for a request without one. */
async function readBody(req: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined | 'too-large' | 'aborted'> {
	const hasBody = req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined;
	if (!hasBody) {
		req.resume();
		return undefined;
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		req.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length <= maxBytes) {
				chunks.push(chunk);
			}
		});
		req.once('end', () => {
			resolve(length > maxBytes ? 'too-large' : Buffer.concat(chunks));
		});
		req.once('close', () => {
			if (!req.complete) {
				resolve('aborted');
			}
		});
		req.once('error', () => {
			resolve('aborted');
		});
	});
}

/** @returns One rank for both: that of the customer goes before that of the route. */
function rankOf(route: Route, customer: Customer | undefined): number {
	return ((customer?.rank ?? 0) * RANKS_PER_CUSTOMER_RANK) + Math.min(LAST_RANK, route.rank);
}

function quotaCost(quota: Quota | undefined, {generation}: CallHead): number {
	if (quota === undefined) {
		return 0;
	}

	if (!quota.isInTokens) {
		return 1;
	}

	return generation === undefined ? quota.plainTokens : generation.promptTokens + generation.maxOutputTokens;
}

function expectedEvents({generation}: CallHead, pool: PoolSettings): number {
	if (generation === undefined || !pool.isEngine) {
		return 0;
	}

	const tokens = generation.expectedOutputTokens ?? (generation.maxOutputTokens * EXPECTED_OUTPUT_SHARE);
	return tokens / pool.tokensPerEvent;
}

/** Requests that a crash is blamed on together: same path, customer and body. */
function fingerprintOf(req: IncomingMessage, customer: Customer | undefined, body: Uint8Array | undefined): string {
	const hash = createHash('sha256').update(`${req.method!} ${req.url!}\n${customer?.name ?? ''}\n`);
	return hash.update(body ?? '').digest('base64').slice(0, 16);
}
