/**
 * Reading of the bodies of callers' requests within a limit.
 */
import {type IncomingMessage} from 'node:http';
import {ByteCollector} from '../base/byte-collector.js';
import {MessageReader} from '../base/message-reader.js';

/** Why a body is not used: it exceeds the limit, or the caller closed the connection inside it. */
export type UnusableBody = 'too-large' | 'aborted';

/**
 * @param maxBytes - Maximum length of the body, in bytes. Of a longer one, the rest is not read.
 * @returns The body, `undefined` for a request without one, or why the body is unusable.
 */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined | UnusableBody> {
	const hasBody = req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined;
	if (!hasBody) {
		req.resume();
		return undefined;
	}

	if (Number(req.headers['content-length']) > maxBytes) {
		req.resume();
		return 'too-large';
	}

	return new Promise(resolve => {
		const body = ByteCollector.create();
		const reader = MessageReader.start(req, {
			onBytes(bytes) {
				if (body.length + bytes.length > maxBytes) {
					reader.close();
					body.clear();
					resolve('too-large');
				} else {
					body.add(bytes);
				}
			},
			onEnd() {
				resolve(body.take());
			},
		});
		req.once('close', () => {
			if (!req.complete) {
				resolve('aborted');
			}
		});
		req.once('error', () => {
			resolve('aborted');
		});
	});
}
