/**
 * Reads request bodies within a limit of size.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';

/**
 * Reads a whole body.
 *
 * @param req - The request.
 * @param limitBytes - Greatest size; a larger body is refused without being kept.
 */
export async function readBody(req: IncomingMessage, limitBytes: number): Promise<Result<Uint8Array, SchedulerError>> {
	if (Number(req.headers['content-length'] ?? 0) > limitBytes) {
		return refuseTooLarge(limitBytes);
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			size += chunk.byteLength;
			if (size > limitBytes) {
				return refuseTooLarge(limitBytes);
			}

			chunks.push(chunk);
		}
	} catch {
		return Result.err(SchedulerError.create(ErrorKind.RequestTimeout, 'The request body broke off.'));
	}

	return ok(Buffer.concat(chunks));
}

function refuseTooLarge(limitBytes: number): Result<Uint8Array, SchedulerError> {
	return Result.err(SchedulerError.create(ErrorKind.BodyTooLarge, `The body is over ${limitBytes} bytes.`));
}
