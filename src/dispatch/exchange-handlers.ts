/**
 * Exchange handlers that forward the events of initial and resumed connections to a relay.
 */
import {ErrorKind, Ran, SchedulerError} from '../base/errors.js';
import {ExchangeHandler, type UpstreamHeaders} from '../upstream/exchange.js';
import {type Relay} from './relay.js';

const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;
const ERROR_STATUS = 500;
/** Header in which an engine may state the body offset at which a resumed response starts. */
export const OFFSET_HEADER = 'stream-offset';

/** Handles the connection on which the request is sent. */
export class InitialExchangeHandler extends ExchangeHandler {
	readonly #relay: Relay;
	#offset = 0;

	constructor(relay: Relay) {
		super();
		this.#relay = relay;
	}

	onCommit(): boolean {
		return this.#relay.commit();
	}

	onHeaders(status: number, headers: UpstreamHeaders): void {
		this.#relay.handleHeaders(status, headers);
	}

	onData(chunk: Uint8Array): boolean {
		const offset = this.#offset;
		this.#offset += chunk.byteLength;
		return this.#relay.handleData(offset, chunk);
	}

	onEnd(): void {
		this.#relay.handleEnd();
	}

	onError(err: SchedulerError, wasSent: boolean): void {
		this.#relay.handleError(err, wasSent);
	}
}

/** Handles a connection that resumes a response. The request is not committed again. */
export class ResumedExchangeHandler extends ExchangeHandler {
	readonly #relay: Relay;
	#offset: number;
	#isRejected = false;

	constructor(relay: Relay, offset: number) {
		super();
		this.#relay = relay;
		this.#offset = offset;
	}

	onCommit(): boolean {
		return true;
	}

	onHeaders(status: number, headers: UpstreamHeaders): void {
		// A resumed response must echo the dispatch ID, because nothing else ties it to its request.
		const isValidContinuation = status === OK_STATUS && headers['dispatch-id'] !== undefined;
		if (!isValidContinuation) {
			this.#isRejected = true;
			if (status >= NOT_FOUND_STATUS && status < ERROR_STATUS) {
				this.#relay.handleResumeRejected();
			}

			return;
		}

		const statedOffset = Number(headers[OFFSET_HEADER] ?? this.#offset);
		this.#offset = Number.isSafeInteger(statedOffset) && statedOffset >= 0 ? statedOffset : Number.POSITIVE_INFINITY;
		this.#relay.handleHeaders(status, headers);
	}

	onData(chunk: Uint8Array): boolean {
		if (this.#isRejected) {
			return true;
		}

		const offset = this.#offset;
		this.#offset += chunk.byteLength;
		return this.#relay.handleData(offset, chunk);
	}

	onEnd(): void {
		if (this.#isRejected) {
			this.#relay.handleError(SchedulerError.create(ErrorKind.UpstreamLost), true);
		} else {
			this.#relay.handleEnd();
		}
	}

	onError(err: SchedulerError): void {
		// The request was already sent on the initial connection, so a refused connection must not be reported as "not run".
		this.#relay.handleError(err.answer.ran === Ran.No ? SchedulerError.create(ErrorKind.UpstreamLost) : err, true);
	}
}
