/**
 * The connections over which the parts of one answer reach its relay.
 */
import {ErrorKind, Ran, SchedulerError} from '../base/errors.js';
import {ExchangeHandler, type UpstreamHeaders} from '../upstream/exchange.js';
import {type Relay} from './relay.js';

const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;
const ERROR_STATUS = 500;
/** The offset of the first byte of a resumed answer, where the engine states it. */
export const OFFSET_HEADER = 'stream-offset';

/** The connection that the request was sent over. */
export class FirstLeg extends ExchangeHandler {
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
		this.#relay.begin(status, headers);
	}

	onData(chunk: Uint8Array): boolean {
		const offset = this.#offset;
		this.#offset += chunk.byteLength;
		return this.#relay.deliver(offset, chunk);
	}

	onEnd(): void {
		this.#relay.end();
	}

	onError(err: SchedulerError, wasSent: boolean): void {
		this.#relay.lose(err, wasSent);
	}
}

/** A connection that continues the answer; nothing is committed again. */
export class ResumedLeg extends ExchangeHandler {
	readonly #relay: Relay;
	#offset: number;
	#isRefused = false;

	constructor(relay: Relay, offset: number) {
		super();
		this.#relay = relay;
		this.#offset = offset;
	}

	onCommit(): boolean {
		return true;
	}

	onHeaders(status: number, headers: UpstreamHeaders): void {
		// An engine that resumes streams must echo the dispatch ID, as a resumed answer has no other tie to its request.
		const isContinued = status === OK_STATUS && headers['dispatch-id'] !== undefined;
		if (!isContinued) {
			this.#isRefused = true;
			if (status >= NOT_FOUND_STATUS && status < ERROR_STATUS) {
				this.#relay.refuseResume();
			}

			return;
		}

		const stated = Number(headers[OFFSET_HEADER] ?? this.#offset);
		this.#offset = Number.isSafeInteger(stated) && stated >= 0 ? stated : Number.POSITIVE_INFINITY;
		this.#relay.begin(status, headers);
	}

	onData(chunk: Uint8Array): boolean {
		if (this.#isRefused) {
			return true;
		}

		const offset = this.#offset;
		this.#offset += chunk.byteLength;
		return this.#relay.deliver(offset, chunk);
	}

	onEnd(): void {
		if (this.#isRefused) {
			this.#relay.lose(SchedulerError.create(ErrorKind.UpstreamLost), true);
		} else {
			this.#relay.end();
		}
	}

	onError(err: SchedulerError): void {
		// The request itself was sent before, so that a refused connection must not read as "not run".
		this.#relay.lose(err.answer.ran === Ran.No ? SchedulerError.create(ErrorKind.UpstreamLost) : err, true);
	}
}
