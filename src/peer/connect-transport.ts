/**
 * Peer transport with connect-es over HTTP/2, authenticated by the shared key and optionally by mutual TLS.
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

/** Key and certificates for mutual TLS in PEM; all three are required. */
export type PeerTls = {
	readonly key: string;
	readonly cert: string;
	/** Certificate authority that signs the certificates of all nodes. */
	readonly ca: string;
};

const MAX_CONNECTIONS = 512;
/** At 360 nodes gossip contacts the same peer again only after minutes; idle connections use memory on both sides. */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;
const MAX_MESSAGE_BYTES = 1_048_576;

type PeerConnection = {
	readonly client: Client<typeof PeerService>;
	readonly http2Sessions: Http2SessionManager;
	/** Session ID of the peer's process from its last response; empty before the first one. */
	session: string;
};

/** The peer transport between processes. */
export class ConnectTransport extends PeerTransport {
	/**
	 * @param authenticator - The same authenticator as in this node's `PeerPart`.
	 * @param tls - Enables mutual TLS; without it the connections are not encrypted.
	 */
	static create(authenticator: Authenticator, tls?: PeerTls): ConnectTransport {
		return new ConnectTransport(authenticator, tls);
	}

	readonly #authenticator: Authenticator;
	readonly #tls: PeerTls | undefined;
	readonly #peers = new LRUCache<string, PeerConnection>({
		max: MAX_CONNECTIONS,
		dispose(peer) {
			peer.http2Sessions.abort();
		},
	});

	private constructor(authenticator: Authenticator, tls: PeerTls | undefined) {
		super();
		this.#authenticator = authenticator;
		this.#tls = tls;
	}

	async call<Method extends PeerMethod>(address: string, method: Method, req: PeerRequestInit<Method>, timeoutMs: number): Promise<Result<PeerResponse<Method>, PeerError>> {
		const peer = this.#tryGetPeer(address);
		if (peer === undefined) {
			return Result.err({kind: PeerErrorKind.Unreachable, detail: `not an address: ${address}`});
		}

		const invoke = peer.client[method] as unknown as (req: PeerRequestInit<Method>, options: {timeoutMs: number}) => Promise<PeerResponse<Method>>;
		const knownSession = peer.session;
		try {
			return Result.ok(await invoke(req, {timeoutMs}));
		} catch (error) {
			// The refusal provided the session ID of a process that is new to this one. The peer did not execute the call,
			// so it is safe to retry.
			if (isUnauthenticated(error) && peer.session !== knownSession) {
				return this.#retryOnce(async () => invoke(req, {timeoutMs}));
			}

			return Result.err(toPeerError(error));
		}
	}

	close(): void {
		this.#peers.clear();
	}

	async #retryOnce<Value>(invoke: () => Promise<Value>): Promise<Result<Value, PeerError>> {
		try {
			return Result.ok(await invoke());
		} catch (error) {
			return Result.err(toPeerError(error));
		}
	}

	/** @returns The connection, or `undefined` if the address is not usable, as the VM list may have any text as one. */
	#tryGetPeer(address: string): PeerConnection | undefined {
		return URL.canParse(this.#urlOf(address)) ? this.#getOrCreatePeer(address) : undefined;
	}

	#urlOf(address: string): string {
		return `${this.#tls ? 'https' : 'http'}://${address}`;
	}

	#getOrCreatePeer(address: string): PeerConnection {
		const existing = this.#peers.get(address);
		if (existing) {
			return existing;
		}

		const baseUrl = this.#urlOf(address);
		const http2Sessions = new Http2SessionManager(baseUrl, {idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS}, this.#tls && {...this.#tls, checkServerIdentity: () => undefined});
		const peer: PeerConnection = {
			http2Sessions,
			session: '',
			client: createClient(PeerService, createConnectTransport({
				httpVersion: '2',
				baseUrl,
				useBinaryFormat: true,
				sessionManager: http2Sessions,
				readMaxBytes: MAX_MESSAGE_BYTES,
				interceptors: [this.#createAuthInterceptor(() => peer)],
			})),
		};
		this.#peers.set(address, peer);
		return peer;
	}

	/** Signs requests and verifies responses and refusals. */
	#createAuthInterceptor(getPeer: () => PeerConnection): Interceptor {
		return next => async req => {
			if (req.stream) {
				throw new ConnectError('The peer service has unary calls only.', Code.Unimplemented);
			}

			const peer = getPeer();
			const fields = this.#authenticator.nextRequestFields(peer.session);
			writeAuthHeaders(req.header, fields, this.#authenticator.sign('request', req.method.name, fields, toBinary(req.method.input, req.message)));
			try {
				const res = await next(req);
				if (res.stream) {
					throw new ConnectError('The peer service has unary calls only.', Code.Unimplemented);
				}

				this.#verifyResponse(peer, {direction: 'response', method: req.method.name, fields}, res.header, encode(req.method.output, res.message));
				return res;
			} catch (error) {
				if (error instanceof ConnectError && error.metadata.has('redwingspool-mac')) {
					this.#verifyResponse(peer, {direction: 'refusal', method: req.method.name, fields}, error.metadata, new Uint8Array());
				}

				throw error;
			}
		};
	}

	#verifyResponse(peer: PeerConnection, call: {direction: 'response' | 'refusal'; method: string; fields: AuthFields}, headers: Headers, body: Uint8Array): void {
		const response = readAuthHeaders(headers);
		const failure = response && this.#authenticator.verifyResponse(call.direction, call.method, call.fields, {...response, body});
		if (!response || failure) {
			throw new ConnectError(`The response is not authentic: ${failure ?? 'missing'}.`, Code.PermissionDenied);
		}

		peer.session = response.fields.session;
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
