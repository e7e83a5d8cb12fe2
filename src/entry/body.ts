/**
 * Reads request bodies, limiting the size of each body; the memory of all of them is limited by the account of held bytes.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type BodyOptions, readHeldBody, UnusableBody} from '../base/held-body.js';
import {type MemoryAccount} from '../base/memory-account.js';

/** Longest time without progress of a body, in ms; the time within which a complete request must arrive is as long. */
const BODY_IDLE_MS = 60_000;

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

/** Whose body is read, and its limit. */
export type BodyOwner = Pick<BodyOptions, 'party' | 'rank' | 'maxBytes'>;

/**
 * Reads a complete body. On an error the request stream stays open, so that an error response can still be sent.
 *
 * @param res - The response of the request whose body is read.
 * @param memory - Account that the bytes are charged to until the response closes.
 */
export async function readBody(res: ServerResponse, memory: MemoryAccount, owner: BodyOwner): Promise<Result<Uint8Array, SchedulerError>> {
	const {req} = res;
	const {maxBytes} = owner;
	if ((declaredLength(req) ?? 0) > maxBytes) {
		return rejectTooLarge(maxBytes);
	}

	const earlyError = bodyErrors.get(req);
	if (earlyError !== undefined) {
		return Result.err(earlyError);
	}

	sendContinue(res);
	const body = await readHeldBody(res, memory, {...owner, idleMs: BODY_IDLE_MS});
	if (typeof body !== 'string') {
		return ok(body);
	}

	if (body === UnusableBody.TooLarge) {
		return rejectTooLarge(maxBytes);
	}

	return Result.err(body === UnusableBody.NoRoom
		? SchedulerError.create(ErrorKind.Overloaded, 'There is no memory for the body now.')
		: bodyErrors.get(req) ?? SchedulerError.create(ErrorKind.RequestTimeout, 'The request body broke off.'));
}

function rejectTooLarge(limitBytes: number): Result<Uint8Array, SchedulerError> {
	return Result.err(SchedulerError.create(ErrorKind.BodyTooLarge, `The body is over ${limitBytes} bytes.`));
}
