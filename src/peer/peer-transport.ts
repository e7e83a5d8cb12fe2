/**
 * Interface for calls between nodes, independent of the transport.
 */
import {type MessageInitShape, type MessageShape} from '@bufbuild/protobuf';
import {type Result} from 'true-myth/result';
import {type PeerService} from './generated/redwingspool/peer/v1/peer_pb.js';

type Methods = (typeof PeerService)['method'];

/** Name of an RPC method of the peer service. */
export type PeerMethod = keyof Methods;

export type PeerRequest<Method extends PeerMethod> = MessageShape<Methods[Method]['input']>;
export type PeerRequestInit<Method extends PeerMethod> = MessageInitShape<Methods[Method]['input']>;
export type PeerResponse<Method extends PeerMethod> = MessageShape<Methods[Method]['output']>;
export type PeerResponseInit<Method extends PeerMethod> = MessageInitShape<Methods[Method]['output']>;

/** Why a call failed. */
export const PeerErrorKind = {
	/** No connection, no response before the timeout, or a failure of the peer. */
	Unreachable: 'unreachable',
	/** The request or the response could not be authenticated. */
	Unauthenticated: 'unauthenticated',
	/** The peer has no handler for the method. */
	Unimplemented: 'unimplemented',
} as const;

export type PeerErrorKind = (typeof PeerErrorKind)[keyof typeof PeerErrorKind];

/** A call that failed. The peer may have executed it nevertheless. */
export type PeerError = {
	readonly kind: PeerErrorKind;
	readonly detail: string;
};

/** Handlers for the calls of peers. Calls without a handler fail as `Unimplemented`. */
export type PeerHandlers = {
	readonly [Method in PeerMethod]?: (req: PeerRequest<Method>) => PeerResponseInit<Method> | Promise<PeerResponseInit<Method>>;
};

/** Sends calls to peers. Never retries a call that the peer may have executed. */
export abstract class PeerTransport {
	/**
	 * @param address - `host:port` of the peer's service.
	 * @param method - Name of the RPC method.
	 * @param req - The request message.
	 * @param timeoutMs - The call fails as unreachable after this time.
	 */
	abstract call<Method extends PeerMethod>(
		address: string,
		method: Method,
		req: PeerRequestInit<Method>,
		timeoutMs: number,
	): Promise<Result<PeerResponse<Method>, PeerError>>;

	/** Closes all connections. */
	abstract close(): void;
}
