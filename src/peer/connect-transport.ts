/**
 * Calls between nodes by connect-es over HTTP/2, authenticated by the shared key and optionally by mutual TLS.
 */
import {type DescMessage, type Message, toBinary} from '@bufbuild/protobuf';
import {
	Code, ConnectError, createClient, type Client, type Interceptor,
} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {LRUCache} from 'lru-cache';
import Result from 'true-myth/result';
import {
	type Authenticator, readAuthHeaders, writeAuthHeaders, type AuthFields,
} from './authentication.js';
import {PeerService} from './generated/redwingspool/peer/v1/peer_pb.js';
import {
	PeerErrorKind, PeerTransport, type PeerError, type PeerMethod, type PeerRequestInit, type PeerResponse,
} from './peer-transport.js';

/** Keys and certificates in PEM; all three or none. */
export type PeerTls = {
	readonly key: string;
	readonly cert: string;
	/** Authority that signs the certificates of all nodes. */
	readonly ca: string;
};

const MAX_CONNECTIONS = 512;
/** Gossip meets the same peer again after minutes at 360 nodes; idle connections cost memory on both sides. */
const IDLE_CONNECTION_MS = 60_000;
const MAX_MESSAGE_BYTES = 1_048_576;

type Peer = {
	readonly client: Client<typeof PeerService>;
	readonly sessions: Http2SessionManager;
	/** Session of the peer's process, learned from its last answer. */
	session: string;
};

/** The form used between processes. */
export class ConnectTransport extends PeerTransport {
	/**
	 * @param authenticator - Shared with this node's `PeerPart`.
	 * @param tls - Mutual TLS; without it the connections are plain.
	 */
	static create(authenticator: Authenticator, tls?: PeerTls): ConnectTransport {
		return new ConnectTransport(authenticator, tls);
	}

	readonly #authenticator: Authenticator;
	readonly #tls: PeerTls | undefined;
	readonly #peers = new LRUCache<string, Peer>({
		max: MAX_CONNECTIONS,
		dispose(peer) {
			peer.sessions.abort();
		},
	});

	private constructor(authenticator: Authenticator, tls: PeerTls | undefined) {
		super();
		this.#authenticator = authenticator;
		this.#tls = tls;
	}

	async call<Method extends PeerMethod>(address: string, method: Method, req: PeerRequestInit<Method>, timeoutMs: number): Promise<Result<PeerResponse<Method>, PeerError>> {
		const peer = this.#peer(address);
		const invoke = peer.client[method] as unknown as (req: PeerRequestInit<Method>, options: {timeoutMs: number}) => Promise<PeerResponse<Method>>;
		const knownSession = peer.session;
		try {
			return Result.ok(await invoke(req, {timeoutMs}));
		} catch (error) {
			// The peer's process is new to this one; its refusal named its session, and it has not acted.
			if (isUnauthenticated(error) && peer.session !== knownSession) {
				return this.#callAgain(async () => invoke(req, {timeoutMs}));
			}

			return Result.err(toPeerError(error));
		}
	}

	close(): void {
		this.#peers.clear();
	}

	async #callAgain<Value>(invoke: () => Promise<Value>): Promise<Result<Value, PeerError>> {
		try {
			return Result.ok(await invoke());
		} catch (error) {
			return Result.err(toPeerError(error));
		}
	}

	#peer(address: string): Peer {
		const known = this.#peers.get(address);
		if (known) {
			return known;
		}

		const baseUrl = `${this.#tls ? 'https' : 'http'}://${address}`;
		const sessions = new Http2SessionManager(baseUrl, {idleConnectionTimeoutMs: IDLE_CONNECTION_MS}, this.#tls && {...this.#tls, checkServerIdentity: () => undefined});
		const peer: Peer = {
			sessions,
			session: '',
			client: createClient(PeerService, createConnectTransport({
				httpVersion: '2',
				baseUrl,
				useBinaryFormat: true,
				sessionManager: sessions,
				readMaxBytes: MAX_MESSAGE_BYTES,
				interceptors: [this.#sign(() => peer)],
			})),
		};
		this.#peers.set(address, peer);
		return peer;
	}

	/** Signs requests and checks responses and refusals. */
	#sign(peerOf: () => Peer): Interceptor {
		return next => async req => {
			if (req.stream) {
				throw new ConnectError('The peer service has unary calls only.', Code.Unimplemented);
			}

			const peer = peerOf();
			const fields = this.#authenticator.nextRequest(peer.session);
			writeAuthHeaders(req.header, fields, this.#authenticator.sign('request', req.method.name, fields, toBinary(req.method.input, req.message)));
			try {
				const res = await next(req);
				if (res.stream) {
					throw new ConnectError('The peer service has unary calls only.', Code.Unimplemented);
				}

				this.#acceptAnswer(peer, {direction: 'response', method: req.method.name, fields}, res.header, encode(req.method.output, res.message));
				return res;
			} catch (error) {
				if (error instanceof ConnectError && error.metadata.has('redwingspool-mac')) {
					this.#acceptAnswer(peer, {direction: 'refusal', method: req.method.name, fields}, error.metadata, new Uint8Array());
				}

				throw error;
			}
		};
	}

	#acceptAnswer(peer: Peer, call: {direction: 'response' | 'refusal'; method: string; fields: AuthFields}, headers: Headers, body: Uint8Array): void {
		const answer = readAuthHeaders(headers);
		const failure = answer && this.#authenticator.checkAnswer(call.direction, call.method, call.fields, {...answer, body});
		if (!answer || failure) {
			throw new ConnectError(`The answer is not authentic: ${failure ?? 'missing'}.`, Code.PermissionDenied);
		}

		peer.session = answer.fields.session;
	}
}

function encode(schema: DescMessage, message: Message): Uint8Array {
	return toBinary(schema, message);
}

function isUnauthenticated(err: unknown): boolean {
	return err instanceof ConnectError && err.code === Code.Unauthenticated;
}

function toPeerError(err: unknown): PeerError {
	const {code, rawMessage} = ConnectError.from(err);
	if (code === Code.Unauthenticated || code === Code.PermissionDenied) {
		return {kind: PeerErrorKind.Unauthenticated, detail: rawMessage};
	}

	return {kind: code === Code.Unimplemented ? PeerErrorKind.Unimplemented : PeerErrorKind.Unreachable, detail: rawMessage};
}
