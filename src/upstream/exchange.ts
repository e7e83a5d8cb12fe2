/**
 * Protocol-independent request/response exchange with an upstream.
 */
import {type SchedulerError} from '../base/errors.js';

/** A request body that is forwarded while it is received. It can be read only once, by the first attempt that is sent. */
export abstract class StreamedBody {
	/** Declared size of the body in bytes. */
	abstract get length(): number;

	/** Whether any of the body was read, after which no further attempt can send it. */
	abstract get wasRead(): boolean;

	abstract [Symbol.asyncIterator](): AsyncIterator<Uint8Array>;
}

/** A request to an upstream. */
export type UpstreamRequest = {
	readonly dispatchId: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array | StreamedBody | undefined;
	/** Timeout for the response headers and between two chunks of the response body, in ms. */
	readonly idleTimeoutMs: number;
	/** Whether the response may lack the dispatch ID although the upstream usually echoes it. */
	readonly mayOmitId?: boolean;
};

/** Headers of an upstream's response, with names in lower case. */
export type UpstreamHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Receives the events of an exchange. Either `onError` or `onEnd` is called exactly once, as the last event. */
export abstract class ExchangeHandler {
	/**
	 * Called when the connection is established, immediately before the first byte is sent.
	 *
	 * @returns False to abort without sending anything, after which `onError` is called.
	 */
	abstract onCommit(): boolean;

	abstract onHeaders(status: number, headers: UpstreamHeaders): void;

	/** @returns False to pause reading until `resume` is called on the exchange. */
	abstract onData(chunk: Uint8Array): boolean;

	abstract onEnd(): void;

	/** @param wasSent - Whether any byte of the request may have been sent. */
	abstract onError(err: SchedulerError, wasSent: boolean): void;
}

/** Handle of an exchange in progress. */
export abstract class Exchange {
	/** Resumes reading after `onData` returned false. */
	abstract resume(): void;

	/** Aborts the exchange and destroys its connection, so that late bytes cannot be read as the response to another request. */
	abstract abort(): void;
}
