/**
 * One request to an upstream and its answer, over any protocol.
 */
import {type SchedulerError} from '../base/errors.js';

/** A body that is passed on while it arrives. It is read once, when the first attempt is sent. */
export abstract class StreamedBody {
	/** Size that was declared for the body. */
	abstract get length(): number;

	/** Whether any part was read, after which no further attempt can send it. */
	abstract get wasRead(): boolean;

	abstract [Symbol.asyncIterator](): AsyncIterator<Uint8Array>;
}

/** A request as it is sent to an upstream. */
export type UpstreamRequest = {
	readonly dispatchId: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array | StreamedBody | undefined;
	/** Longest wait for the answer's headers, and between two parts of its body, in ms. */
	readonly idleTimeoutMs: number;
};

/** Headers of an upstream's answer, names in lower case. */
export type UpstreamHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Receives the events of an exchange. `onError` or `onEnd` comes last, once. */
export abstract class ExchangeHandler {
	/**
	 * The connection stands and the first byte is about to leave.
	 *
	 * @returns False to send nothing; `onError` follows.
	 */
	abstract onCommit(): boolean;

	abstract onHeaders(status: number, headers: UpstreamHeaders): void;

	/** @returns False to pause until `resume` is called on the exchange. */
	abstract onData(chunk: Uint8Array): boolean;

	abstract onEnd(): void;

	/** @param wasSent - Whether any byte may have left. */
	abstract onError(err: SchedulerError, wasSent: boolean): void;
}

/** Control over a running exchange. */
export abstract class Exchange {
	/** Continues after `onData` returned false. */
	abstract resume(): void;

	/** Ends the exchange and destroys its connection, so that nothing late can reach another request. */
	abstract abort(): void;
}
