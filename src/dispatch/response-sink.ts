/**
 * Destination of the response to one caller.
 */
import {type Ran, type SchedulerError} from '../base/errors.js';

/** Response headers, with names in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Writes a response to the caller in chunks, with backpressure. */
export abstract class ResponseSink {
	/** Whether `start` was called, after which an error can no longer change the status. */
	abstract get hasStarted(): boolean;

	/** Whether the caller closed the connection before the response ended. */
	abstract get isCallerDisconnected(): boolean;

	/** Calls the function once if the caller closes the connection before the response has ended. */
	abstract onCallerDisconnect(listener: () => void): void;

	/** Sends status and headers. */
	abstract start(status: number, headers: ResponseHeaders): void;

	/**
	 * Sends a chunk of the body.
	 *
	 * @returns False when the caller is slow; wait for `onDrain` before the next chunk.
	 */
	abstract write(chunk: Uint8Array): boolean;

	/** Calls the function once when the caller has caught up. */
	abstract onDrain(resume: () => void): void;

	/** Ends the response. */
	abstract end(): void;

	/** Sends an error response, or aborts a response that has started, so that the caller detects the truncation. */
	abstract fail(err: SchedulerError, ran: Ran): void;
}
