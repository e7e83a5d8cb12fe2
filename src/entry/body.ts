/**
 * Reads request bodies within a limit of size, and within a bound on the memory of all bodies together.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';

/** Bytes of bodies that a node keeps in memory at a time; with the rest of the process this stays under 256 MB. */
const MAX_KEPT_BYTES = 64 * 1024 * 1024;

/** Counts the bytes of all bodies that are kept until their requests end. */
export class BodyBudget {
	static create(maxBytes = MAX_KEPT_BYTES): BodyBudget {
		return new BodyBudget(maxBytes);
	}

	readonly #maxBytes: number;
	#keptBytes = 0;

	private constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Bytes that are kept now. */
	get keptBytes(): number {
		return this.#keptBytes;
	}

	/** @returns Whether the bytes may be kept; the caller then owes a `release`. */
	take(bytes: number): boolean {
		if (this.#keptBytes + bytes > this.#maxBytes) {
			return false;
		}

		this.#keptBytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#keptBytes -= bytes;
	}
}

/** The size that a request declares for its body, 0 without a body, `undefined` when it is not declared. */
export function declaredLength(req: IncomingMessage): number | undefined {
	return req.headers['transfer-encoding'] === undefined ? Number(req.headers['content-length'] ?? 0) : undefined;
}

const faults = new WeakMap<IncomingMessage, SchedulerError>();

/** Records that the rest of a body cannot arrive, for whoever reads it now or later. */
export function noteBodyFault(req: IncomingMessage, err: SchedulerError): void {
	faults.set(req, err);
	req.emit('error', err);
}

/** Tells a caller that waits with its body (RFC 9110 section 10.1.1) to send it. */
export function inviteBody(res: ServerResponse): void {
	if (res.req.headers.expect !== undefined && !res.headersSent) {
		res.writeContinue();
	}
}

/**
 * Reads a whole body. The request stream is left open on a refusal, so that the answer can still be sent.
 *
 * @param res - The response of the request whose body is read.
 * @param limitBytes - Greatest size; a larger body is refused without being kept.
 * @param budget - Pays for the bytes until the response closes.
 */
export async function readBody(res: ServerResponse, limitBytes: number, budget: BodyBudget): Promise<Result<Uint8Array, SchedulerError>> {
	const {req} = res;
	if ((declaredLength(req) ?? 0) > limitBytes) {
		return refuseTooLarge(limitBytes);
	}

	const fault = faults.get(req);
	if (fault !== undefined) {
		return Result.err(fault);
	}

	inviteBody(res);
	return collect(res, limitBytes, budget);
}

/** Listeners in place of an async iterator, which costs several promises for each request. */
async function collect(res: ServerResponse, limitBytes: number, budget: BodyBudget): Promise<Result<Uint8Array, SchedulerError>> {
	const {req} = res;
	const chunks: Uint8Array[] = [];
	let size = 0;
	return new Promise(resolve => {
		const settle = (result: Result<Uint8Array, SchedulerError>) => {
			req.off('data', take);
			resolve(result);
		};

		const take = (chunk: Uint8Array) => {
			if (size + chunk.byteLength > limitBytes) {
				settle(refuseTooLarge(limitBytes));
			} else if (budget.take(chunk.byteLength)) {
				size += chunk.byteLength;
				chunks.push(chunk);
			} else {
				settle(Result.err(SchedulerError.create(ErrorKind.Overloaded, 'There is no memory for the body now.')));
			}
		};

		req.on('data', take);
		req.once('end', () => {
			settle(ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
		});
		req.once('error', err => {
			settle(Result.err(err instanceof SchedulerError ? err : SchedulerError.create(ErrorKind.RequestTimeout, 'The request body broke off.')));
		});
		res.once('close', () => {
			req.off('data', take);
			budget.release(size);
			if (!req.readableEnded) {
				settle(Result.err(SchedulerError.create(ErrorKind.RequestTimeout, 'The request body broke off.')));
			}
		});
	});
}

function refuseTooLarge(limitBytes: number): Result<Uint8Array, SchedulerError> {
	return Result.err(SchedulerError.create(ErrorKind.BodyTooLarge, `The body is over ${limitBytes} bytes.`));
}
