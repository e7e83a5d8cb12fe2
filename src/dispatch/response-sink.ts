/**
 * Where the answer to one caller goes.
 */
import {type Ran, type SchedulerError} from '../base/errors.js';

/** Headers of an answer, names in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Receives an answer piece by piece, with back pressure. */
export abstract class ResponseSink {
	/** Whether `start` was called, after which an error can no longer change the status. */
	abstract get hasStarted(): boolean;

	/** Whether the caller closed the connection before its answer ended. */
	abstract get isCallerDisconnected(): boolean;

	/** Calls the function once when the caller closes the connection before its answer has ended. */
	abstract onCallerDisconnect(listener: () => void): void;

	/** Sends status and headers. */
	abstract start(status: number, headers: ResponseHeaders): void;

	/**
	 * Sends a part of the body.
	 *
	 * @returns False when the caller is slow; wait for `onDrain` before the next part.
	 */
	abstract write(chunk: Uint8Array): boolean;

	/** Calls the function once when the caller has caught up. */
	abstract onDrain(resume: () => void): void;

	/** Ends the answer. */
	abstract end(): void;

	/** Answers with an error, or breaks off an answer that has started so that the caller notices. */
	abstract fail(err: SchedulerError, ran: Ran): void;
}
