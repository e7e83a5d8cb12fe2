/**
 * Writes an answer to a caller's HTTP connection.
 */
import {type OutgoingHttpHeaders, type ServerResponse} from 'node:http';
import {type Ran, type SchedulerError} from '../base/errors.js';
import {type ResponseHeaders, ResponseSink} from '../dispatch/response-sink.js';
import {ErrorFormat, formatError} from './error-body.js';
import {sendError} from './send-error.js';

/** How long a slow caller may take to read the event that ends a broken stream. */
const LAST_EVENT_TIMEOUT_MS = 5000;

/** An answer over HTTP/1.1. */
export class HttpSink extends ResponseSink {
	/**
	 * @param res - The response of Node's HTTP server.
	 * @param errorFormat - Body format of errors on this route.
	 */
	static create(res: ServerResponse, errorFormat: ErrorFormat): HttpSink {
		return new HttpSink(res, errorFormat);
	}

	readonly #res: ServerResponse;
	readonly #errorFormat: ErrorFormat;
	#isEventStream = false;

	private constructor(res: ServerResponse, errorFormat: ErrorFormat) {
		super();
		this.#res = res;
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
			// Headers of a stream go out before its first token; those of other answers together with their body.
			this.#res.flushHeaders();
		}
	}

	write(chunk: Uint8Array): boolean {
		return this.#res.write(chunk);
	}

	onDrain(resume: () => void): void {
		this.#res.once('drain', resume);
	}

	end(): void {
		this.#res.end();
	}

	fail(err: SchedulerError, ran: Ran): void {
		if (this.hasStarted) {
			this.#breakOff(err, ran);
			return;
		}

		sendError(this.#res, err, ran, this.#errorFormat);
	}

	/** Ends an answer that has started: a destroyed connection cannot be taken for a whole answer. */
	#breakOff(err: SchedulerError, ran: Ran): void {
		const res = this.#res;
		if (!this.#isEventStream || res.destroyed) {
			res.destroy();
			return;
		}

		res.socket?.setTimeout(LAST_EVENT_TIMEOUT_MS, () => {
			res.destroy();
		});
		// The empty line ends an event that broke off in the middle.
		const {body} = formatError(err, ran, ErrorFormat.Completions);
		res.write(`\n\nevent: error\ndata: ${body}\n\n`, () => {
			res.destroy();
		});
	}
}
