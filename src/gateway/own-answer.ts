/**
 * Answers that the system makes itself.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {errorAnswers, type ErrorKind} from '../base/errors.js';
import {type CallCodec, type CallHead} from './call-codec.js';

/**
 * Answers a request with an error kind.
 *
 * @param retryAfterMs - When the caller may come back, in ms; the kind's default where it is missing.
 */
export function writeOwnAnswer(res: ServerResponse, codec: CallCodec, head: CallHead | undefined, kind: ErrorKind, retryAfterMs?: number): void {
	const answer = errorAnswers[kind];
	const body = JSON.stringify({kind, ran: answer.ran, detail: answer.title});
	res.writeHead(answer.status, {
		...codec.errorResponseHeaders(head, retryAfterMs ?? answer.retryAfterMs), 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)),
	});
	res.end(body);
}
