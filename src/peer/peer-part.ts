/**
 * HTTP/2 server of the peer service, on its own port.
 */
import {
	createServer, createSecureServer, type Http2Server, type ServerHttp2Session,
} from 'node:http2';
import {type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {toBinary} from '@bufbuild/protobuf';
import {
	Code, ConnectError, type ConnectRouter, type Interceptor, type ServiceImpl,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type Clock} from '../base/clock.js';
import {listen} from '../base/listening.js';
import {type Log} from '../base/log.js';
import {Part} from '../supervisor/part.js';
import {
	AuthFailure, type Authenticator, readAuthHeaders, writeAuthHeaders,
} from './authentication.js';
import {type PeerTls} from './connect-transport.js';
import {PeerService} from './generated/redwingspool/peer/v1/peer_pb.js';
import {type PeerHandlers, type PeerMethod} from './peer-transport.js';

const MAX_MESSAGE_BYTES = 1_048_576;

/** Options of a `PeerPart`. */
export type PeerPartOptions = {
	readonly host: string;
	/** 0 lets the operating system choose a port. */
	readonly port: number;
	readonly authenticator: Authenticator;
	readonly tls?: PeerTls;
	readonly handlers: PeerHandlers;
	readonly clock: Clock;
	readonly log: Log;
};

/** Serves the peer service. */
export class PeerPart extends Part {
	static create(options: PeerPartOptions): PeerPart {
		return new PeerPart(options);
	}

	readonly #options: PeerPartOptions;
	readonly #sessions = new Set<ServerHttp2Session>();
	#server: Http2Server | undefined;
	#stopping = new AbortController();
	#address = '';

	private constructor(options: PeerPartOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'peer';
	}

	/** `host:port` for peers; empty before the first start. */
	get address(): string {
		return this.#address;
	}

	/** Waits until the address is available or the part is stopped. */
	async start(): Promise<void> {
		const {host, port, tls, clock, log} = this.#options;
		const stopping = new AbortController();
		this.#stopping = stopping;
		const handler = connectNodeAdapter({
			routes: (router: ConnectRouter) => router.service(PeerService, createServiceImpl(this.#options.handlers)),
			interceptors: [createAuthInterceptor(this.#options.authenticator)],
			readMaxBytes: MAX_MESSAGE_BYTES,
			grpc: false,
			grpcWeb: false,
		});
		const server = tls
			? createSecureServer({...tls, requestCert: true, rejectUnauthorized: true}, handler)
			: createServer(handler);
		server.on('session', session => {
			this.#sessions.add(session);
			session.on('close', () => this.#sessions.delete(session));
		});
		// After a restart the server listens on the same port, because peers know its address.
		const knownPort = this.#address === '' ? port : Number(this.#address.split(':').at(-1));
		if (!await listen(server, {host, port: knownPort}, {clock, log, signal: stopping.signal})) {
			return;
		}

		this.#server = server;
		this.#address = `${host}:${(server.address() as AddressInfo).port}`;
	}

	/** Ends a start that waits for the address; a server that listens goes on. */
	override async drain(): Promise<void> {
		this.#stopping.abort();
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		const server = this.#server;
		this.#server = undefined;
		if (!server) {
			return;
		}

		const closed = once(server, 'close');
		server.close();
		for (const session of this.#sessions) {
			session.destroy();
		}

		await closed;
	}
}

/** Looks up the handler at each call, because a node adds handlers after its server listens. */
function createServiceImpl(handlers: PeerHandlers): Partial<ServiceImpl<typeof PeerService>> {
	const methods = Object.keys(PeerService.method) as PeerMethod[];
	return Object.fromEntries(methods.map(method => [method, (req: never) => {
		const handler = handlers[method] as ((req: never) => Record<string, unknown>) | undefined;
		if (handler === undefined) {
			throw new ConnectError(`There is no handler for ${method}.`, Code.Unimplemented);
		}

		return handler(req);
	}]));
}

/** Rejects requests that are not authentic and signs responses. */
function createAuthInterceptor(authenticator: Authenticator): Interceptor {
	return next => async req => {
		if (req.stream) {
			throw new ConnectError('The peer service has unary calls only.', Code.Unimplemented);
		}

		const credentials = readAuthHeaders(req.header);
		const failure = credentials
			? authenticator.verifyRequest(req.method.name, credentials.fields, toBinary(req.method.input, req.message), credentials.mac)
			: AuthFailure.Missing;
		if (!credentials || failure) {
			throw createRefusal(authenticator, req.method.name, failure ?? AuthFailure.Missing, credentials?.fields);
		}

		const res = await next(req);
		if (!res.stream) {
			const fields = authenticator.responseFields(credentials.fields);
			writeAuthHeaders(res.header, fields, authenticator.sign('response', req.method.name, fields, toBinary(req.method.output, res.message)));
		}

		return res;
	};
}

/** Creates the error for a rejected request. It contains this process's session ID only if the sender has the key. */
function createRefusal(authenticator: Authenticator, method: string, failure: AuthFailure, request: Parameters<Authenticator['responseFields']>[0] | undefined): ConnectError {
	const err = new ConnectError(`The request is not authentic: ${failure}.`, Code.Unauthenticated);
	if (failure === AuthFailure.OtherSession && request) {
		const fields = authenticator.responseFields(request);
		writeAuthHeaders(err.metadata, fields, authenticator.sign('refusal', method, fields, new Uint8Array()));
	}

	return err;
}
