/**
 * Writes an answer to a caller's HTTP connection.
 */
import {type ServerResponse} from 'node:http';
import {type Ran, type SchedulerError} from '../base/errors.js';
import {type AnswerHeaders, AnswerSink} from '../dispatch/answer-sink.js';
import {type ErrorFormat, formatError} from './error-body.js';

/** An answer over HTTP/1.1. */
export class HttpSink extends AnswerSink {
	/**
	 * @param res - The response of Node's HTTP server.
	 * @param errorFormat - Body format of errors on this route.
	 */
	static create(res: ServerResponse, errorFormat: ErrorFormat): HttpSink {
		return new HttpSink(res, errorFormat);
	}

	readonly #res: ServerResponse;
	readonly #errorFormat: ErrorFormat;

	private constructor(res: ServerResponse, errorFormat: ErrorFormat) {
		super();
		this.#res = res;
		this.#errorFormat = errorFormat;
	}

	get hasStarted(): boolean {
		return this.#res.headersSent;
	}

	start(status: number, headers: AnswerHeaders): void {
		for (const [name, value] of Object.entries(headers)) {
			if (value !== undefined) {
				this.#res.setHeader(name, value);
			}
		}

		this.#res.writeHead(status);
		// Headers of a stream go out before its first token.
		this.#res.flushHeaders();
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
			// The status is sent; a destroyed connection is the only sign that a caller cannot take for a whole answer.
			this.#res.destroy();
			return;
		}

		const {status, headers, body} = formatError(err, ran, this.#errorFormat);
		this.#res.writeHead(status, headers);
		this.#res.end(body);
	}
}
