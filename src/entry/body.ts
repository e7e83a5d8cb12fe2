/**
 * Reads request bodies, limiting the size of each body and the memory of all buffered bodies together.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {ByteCollector} from '../base/byte-collector.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {MessageReader} from '../base/message-reader.js';

/** Maximum size of all buffered bodies of a node; keeps the whole process under 256 MB. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Memory budget of request bodies, which stay buffered until their requests end. */
export class BodyBudget {
	static create(maxBytes = MAX_BUFFERED_BYTES): BodyBudget {
		return new BodyBudget(maxBytes);
	}

	readonly #maxBytes: number;
	#bufferedBytes = 0;

	private constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Number of bytes that are reserved now. */
	get bufferedBytes(): number {
		return this.#bufferedBytes;
	}

	/** @returns Whether the bytes were reserved; the caller must then `release` them. */
	reserve(bytes: number): boolean {
		if (this.#bufferedBytes + bytes > this.#maxBytes) {
			return false;
		}

		this.#bufferedBytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#bufferedBytes -= bytes;
	}
}

/** @returns The body size declared by a request: 0 without a body, `undefined` for chunked transfer. */
export function declaredLength(req: IncomingMessage): number | undefined {
	return req.headers['transfer-encoding'] === undefined ? Number(req.headers['content-length'] ?? 0) : undefined;
}

const bodyErrors = new WeakMap<IncomingMessage, SchedulerError>();

/** Records that the rest of a body cannot be received, for its current or later reader. */
export function reportBodyError(req: IncomingMessage, err: SchedulerError): void {
	bodyErrors.set(req, err);
	req.emit('error', err);
}

/** Sends 100 Continue to a caller that sent an `Expect` header (RFC 9110 section 10.1.1). */
export function sendContinue(res: ServerResponse): void {
	if (res.req.headers.expect !== undefined && !res.headersSent) {
		res.writeContinue();
	}
}

/**
 * Reads a complete body. On an error the request stream stays open, so that an error response can still be sent.
 *
 * @param res - The response of the request whose body is read.
 * @param limitBytes - Maximum size; a larger body is rejected without being buffered.
 * @param budget - Budget from which the bytes are reserved until the response closes.
 */
export async function readBody(res: ServerResponse, limitBytes: number, budget: BodyBudget): Promise<Result<Uint8Array, SchedulerError>> {
	const {req} = res;
	if ((declaredLength(req) ?? 0) > limitBytes) {
		return rejectTooLarge(limitBytes);
	}

	const bodyError = bodyErrors.get(req);
	if (bodyError !== undefined) {
		return Result.err(bodyError);
	}

	sendContinue(res);
	return bufferBody(res, limitBytes, budget);
}

/** Uses event listeners, because an async iterator would allocate several promises per request. */
async function bufferBody(res: ServerResponse, limitBytes: number, budget: BodyBudget): Promise<Result<Uint8Array, SchedulerError>> {
	const {req} = res;
	const body = ByteCollector.create();
	let reservedBytes = 0;
	return new Promise(resolve => {
		const settle = (result: Result<Uint8Array, SchedulerError>) => {
			reader.close();
			resolve(result);
		};

		const reader = MessageReader.start(req, {
			onBytes(bytes) {
				if (body.length + bytes.length > limitBytes) {
					settle(rejectTooLarge(limitBytes));
				} else if (budget.reserve(bytes.length)) {
					reservedBytes += bytes.length;
					body.add(bytes);
				} else {
					settle(Result.err(SchedulerError.create(ErrorKind.Overloaded, 'There is no memory for the body now.')));
				}
			},
			onEnd() {
				settle(ok(body.take()));
			},
		});
		req.once('error', err => {
			settle(Result.err(err instanceof SchedulerError ? err : SchedulerError.create(ErrorKind.RequestTimeout, 'The request body broke off.')));
		});
		res.once('close', () => {
			reader.close();
			budget.release(reservedBytes);
			if (!req.readableEnded) {
				settle(Result.err(SchedulerError.create(ErrorKind.RequestTimeout, 'The request body broke off.')));
			}
		});
	});
}

function rejectTooLarge(limitBytes: number): Result<Uint8Array, SchedulerError> {
	return Result.err(SchedulerError.create(ErrorKind.BodyTooLarge, `The body is over ${limitBytes} bytes.`));
}
