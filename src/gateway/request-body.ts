/**
 * Reading of the bodies of callers' requests.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type BodyOptions, readHeldBody, UnusableBody} from '../base/held-body.js';
import {type MemoryAccount} from '../base/memory-account.js';

/** @returns Whether a request has a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** @returns The body, `undefined` for a request without one, or why the body is unusable. */
export async function readBody(res: ServerResponse, account: MemoryAccount, options: BodyOptions): Promise<Uint8Array | undefined | UnusableBody> {
	const {req} = res;
	if (!hasBody(req)) {
		req.resume();
		return undefined;
	}

	if (Number(req.headers['content-length']) > options.maxBytes) {
		req.resume();
		return UnusableBody.TooLarge;
	}

	return readHeldBody(res, account, options);
}
