/**
 * Calls between nodes, independent of how they travel.
 */
import {type MessageInitShape, type MessageShape} from '@bufbuild/protobuf';
import {type Result} from 'true-myth/result';
import {type PeerService} from './generated/redwingspool/peer/v1/peer_pb.js';

type Methods = (typeof PeerService)['method'];

/** Name of a call of the peer service. */
export type PeerMethod = keyof Methods;

export type PeerRequest<Method extends PeerMethod> = MessageShape<Methods[Method]['input']>;
export type PeerRequestInit<Method extends PeerMethod> = MessageInitShape<Methods[Method]['input']>;
export type PeerResponse<Method extends PeerMethod> = MessageShape<Methods[Method]['output']>;
export type PeerResponseInit<Method extends PeerMethod> = MessageInitShape<Methods[Method]['output']>;

/** Why a call brought no answer. */
export const PeerErrorKind = {
	/** No connection, no answer in time, or a failure of the peer. */
	Unreachable: 'unreachable',
	/** The peer or its answer could not be authenticated. */
	Unauthenticated: 'unauthenticated',
	/** The peer has no handler for this call. */
	Unimplemented: 'unimplemented',
} as const;

export type PeerErrorKind = (typeof PeerErrorKind)[keyof typeof PeerErrorKind];

/** A call that brought no answer; the peer may have acted on it. */
export type PeerError = {
	readonly kind: PeerErrorKind;
	readonly detail: string;
};

/** What a node does with the calls of its peers. Calls without a handler are answered `unimplemented`. */
export type PeerHandlers = {
	readonly [Method in PeerMethod]?: (req: PeerRequest<Method>) => PeerResponseInit<Method> | Promise<PeerResponseInit<Method>>;
};

/** Sends calls to peers. Never retries. */
export abstract class PeerTransport {
	/**
	 * @param address - `host:port` of the peer's service.
	 * @param method - The call.
	 * @param req - Its message.
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
