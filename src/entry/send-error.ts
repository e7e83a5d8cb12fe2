/**
 * Sends an error response immediately, even while the request body is still being received.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Ran, type SchedulerError} from '../base/errors.js';
import {type ErrorFormat, formatError} from './error-body.js';

/** Maximum number of body bytes that are received and discarded before the connection is closed. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const DISCARD_IDLE_TIMEOUT_MS = 1000;

/** Sends an error as the complete response; if a response has already started, destroys its connection instead. */
export function sendError(res: ServerResponse, err: SchedulerError, ran: Ran, format: ErrorFormat): void {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const {status, headers, body} = formatError(err, ran, format);
	const length = Buffer.byteLength(body);
	if (!hasUnreadBody(res.req)) {
		res.writeHead(status, {...headers, 'content-length': length});
		res.end(body);
		return;
	}

	res.writeHead(status, {...headers, 'content-length': length, connection: 'close'});
	if (res.req.headers.expect === undefined) {
		res.write(body);
		discardRemainingBody(res);
	} else {
		res.end(body);
	}
}

function hasUnreadBody(req: IncomingMessage): boolean {
	const declaresBody = req.headers['transfer-encoding'] !== undefined || Number(req.headers['content-length'] ?? 0) > 0;
	return declaresBody && !req.complete;
}

/**
 * Discards the rest of the body before the connection is closed. Closing it with unread data in the receive buffer would
 * reset it, and the reset can overtake the response.
 */
function discardRemainingBody(res: ServerResponse): void {
	const {req} = res;
	let discarded = 0;
	const finish = () => {
		if (!res.writableEnded) {
			res.end();
		}
	};

	req.on('data', (chunk: Uint8Array) => {
		discarded += chunk.byteLength;
		if (discarded > MAX_DISCARDED_BYTES) {
			finish();
		}
	});
	req.once('end', finish);
	req.once('error', finish);
	res.socket?.setTimeout(DISCARD_IDLE_TIMEOUT_MS, () => {
		res.destroy();
	});
}
