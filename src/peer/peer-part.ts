/**
 * Serves the peer service on a port of its own.
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
import {Part} from '../supervisor/part.js';
import {
	AuthFailure, type Authenticator, readAuthHeaders, writeAuthHeaders,
} from './authentication.js';
import {type PeerTls} from './connect-transport.js';
import {PeerService} from './generated/redwingspool/peer/v1/peer_pb.js';
import {type PeerHandlers, type PeerMethod} from './peer-transport.js';

const MAX_MESSAGE_BYTES = 1_048_576;

/** What the part is made of. */
export type PeerPartOptions = {
	readonly host: string;
	/** 0 lets the operating system choose. */
	readonly port: number;
	readonly authenticator: Authenticator;
	readonly tls?: PeerTls;
	readonly handlers: PeerHandlers;
};

/** The server of the peer service. */
export class PeerPart extends Part {
	static create(options: PeerPartOptions): PeerPart {
		return new PeerPart(options);
	}

	readonly #options: PeerPartOptions;
	readonly #sessions = new Set<ServerHttp2Session>();
	#server: Http2Server | undefined;
	#address = '';

	private constructor(options: PeerPartOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'peer';
	}

	/** `host:port` for peers, once started. */
	get address(): string {
		return this.#address;
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		const {host, port, tls} = this.#options;
		const handler = connectNodeAdapter({
			routes: (router: ConnectRouter) => router.service(PeerService, toService(this.#options.handlers)),
			interceptors: [authenticate(this.#options.authenticator)],
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
		// A restart on the same port keeps the address that peers know.
		server.listen(this.#address === '' ? port : Number(this.#address.split(':').at(-1)), host);
		await once(server, 'listening');
		server.on('error', onFailure);
		this.#server = server;
		this.#address = `${host}:${(server.address() as AddressInfo).port}`;
	}

	async stop(): Promise<void> {
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

/** Looks handlers up at each call, as a node adds them after its server listens. */
function toService(handlers: PeerHandlers): Partial<ServiceImpl<typeof PeerService>> {
	const methods = Object.keys(PeerService.method) as PeerMethod[];
	return Object.fromEntries(methods.map(method => [method, (req: never) => {
		const handler = handlers[method] as ((req: never) => Record<string, unknown>) | undefined;
		if (handler === undefined) {
			throw new ConnectError(`There is no handler for ${method}.`, Code.Unimplemented);
		}

		return handler(req);
	}]));
}

/** Refuses requests that are not authentic, and signs responses. */
function authenticate(authenticator: Authenticator): Interceptor {
	return next => async req => {
		if (req.stream) {
			throw new ConnectError('The peer service has unary calls only.', Code.Unimplemented);
		}

		const given = readAuthHeaders(req.header);
		const failure = given
			? authenticator.checkRequest(req.method.name, given.fields, toBinary(req.method.input, req.message), given.mac)
			: AuthFailure.Missing;
		if (!given || failure) {
			throw refusal(authenticator, req.method.name, failure ?? AuthFailure.Missing, given?.fields);
		}

		const res = await next(req);
		if (!res.stream) {
			const fields = authenticator.response(given.fields);
			writeAuthHeaders(res.header, fields, authenticator.sign('response', req.method.name, fields, toBinary(req.method.output, res.message)));
		}

		return res;
	};
}

/** Only a sender that holds the key learns this process's session. */
function refusal(authenticator: Authenticator, method: string, failure: AuthFailure, request: Parameters<Authenticator['response']>[0] | undefined): ConnectError {
	const err = new ConnectError(`The request is not authentic: ${failure}.`, Code.Unauthenticated);
	if (failure === AuthFailure.OtherSession && request) {
		const fields = authenticator.response(request);
		writeAuthHeaders(err.metadata, fields, authenticator.sign('refusal', method, fields, new Uint8Array()));
	}

	return err;
}
