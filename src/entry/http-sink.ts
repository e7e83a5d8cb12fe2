/**
 * Writes a response to a caller's HTTP connection.
 */
import {type OutgoingHttpHeaders, type ServerResponse} from 'node:http';
import {type Ran, type SchedulerError} from '../base/errors.js';
import {type ResponseHeaders, ResponseSink} from '../dispatch/response-sink.js';
import {
	HoldingKind, type HoldingOptions, type MemoryAccount,
} from '../base/memory-account.js';
import {UnreadBytes} from '../base/unread-bytes.js';
import {ErrorFormat, formatError} from './error-body.js';
import {sendError} from './send-error.js';

/** Time in which a slow caller must read the error event that ends an incomplete stream. */
const ERROR_EVENT_TIMEOUT_MS = 5000;

/** Maximum size of what one caller has not read, in bytes; so large that most responses leave their upstream at once. */
const MAX_UNREAD_BYTES = 8_388_608;

/** Who reads a response, and the account that what is not read is charged to. */
export type Reader = Pick<HoldingOptions, 'party' | 'rank' | 'idleMs'> & {
	readonly account: MemoryAccount;
};

/** Answer sink that writes to an HTTP/1.1 response. */
export class HttpSink extends ResponseSink {
	/**
	 * @param res - The response of Node's HTTP server.
	 * @param errorFormat - Format of error bodies on this route.
	 * @param reader - The caller, who may read slowly.
	 */
	static create(res: ServerResponse, errorFormat: ErrorFormat, reader: Reader): HttpSink {
		return new HttpSink(res, errorFormat, reader);
	}

	readonly #res: ServerResponse;
	readonly #errorFormat: ErrorFormat;
	readonly #unread: UnreadBytes;
	#isEventStream = false;

	private constructor(res: ServerResponse, errorFormat: ErrorFormat, {account, ...owner}: Reader) {
		super();
		this.#res = res;
		this.#unread = UnreadBytes.create(res, MAX_UNREAD_BYTES, () => {
			const holding = account.open({
				...owner,
				kind: HoldingKind.Response,
				progress: () => this.#unread.passedBytes,
				onStalled() {
					res.destroy();
				},
			});
			res.once('close', () => {
				holding.close();
			});
			return holding;
		});
		this.#errorFormat = errorFormat;
	}

	get hasStarted(): boolean {
		return this.#res.headersSent;
	}

	get isCallerDisconnected(): boolean {
		return this.#res.closed && !this.#res.writableFinished;
	}

	onCallerDisconnect(listener: () => void): void {
		this.#res.once('close', () => {
			if (!this.#res.writableFinished) {
				listener();
			}
		});
	}

	start(status: number, headers: ResponseHeaders): void {
		const contentType = headers['content-type'];
		this.#isEventStream = typeof contentType === 'string' && contentType.startsWith('text/event-stream');
		this.#res.writeHead(status, headers as OutgoingHttpHeaders);
		if (this.#isEventStream) {
			// The headers of a stream are sent before its first token; those of other responses together with the body.
			this.#res.flushHeaders();
		}
	}

	write(chunk: Uint8Array): boolean {
		return this.#unread.write(chunk);
	}

	onDrain(resume: () => void): void {
		this.#res.once('drain', resume);
	}

	end(): void {
		this.#unread.end();
	}

	fail(err: SchedulerError, ran: Ran): void {
		if (this.hasStarted) {
			this.#abortResponse(err, ran);
			return;
		}

		sendError(this.#res, err, ran, this.#errorFormat);
	}

	/**
	 * Ends a response that has started, event streams with an error event. The connection is destroyed, so that the caller
	 * cannot mistake the response for a complete one.
	 */
	#abortResponse(err: SchedulerError, ran: Ran): void {
		const res = this.#res;
		if (!this.#isEventStream || res.destroyed) {
			res.destroy();
			return;
		}

		res.socket?.setTimeout(ERROR_EVENT_TIMEOUT_MS, () => {
			res.destroy();
		});
		// The empty line terminates an incomplete event.
		const {body} = formatError(err, ran, ErrorFormat.Completions);
		res.write(`\n\nevent: error\ndata: ${body}\n\n`, () => {
			res.destroy();
		});
	}
}
