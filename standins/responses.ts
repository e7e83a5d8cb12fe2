/**
 * Helpers for responses of Node's HTTP server.
 */
import {type ServerResponse} from 'node:http';
import {type Writable} from 'node:stream';
import {type JsonObject} from './engine-answers.js';

/** Sends a JSON response, with the dispatch ID if one is given. */
export function sendJson(res: ServerResponse, status: number, body: JsonObject | readonly JsonObject[], dispatchId?: string): void {
	res.writeHead(status, {'content-type': 'application/json', ...(dispatchId && {'dispatch-id': dispatchId})});
	res.end(JSON.stringify(body));
}

/** Waits until all written data has been handed to the operating system. */
export async function waitForFlush(res: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		res.write('', () => {
			resolve();
		});
	});
}

/** Waits until the buffer has drained or the connection is closed. */
export async function waitForDrain(res: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = () => {
			res.off('drain', finish);
			res.off('close', finish);
			resolve();
		};

		res.on('drain', finish);
		res.on('close', finish);
	});
}

/**
 * Writes as fast as the peer reads, until the connection is closed.
 *
 * @param chunk - Data that is written repeatedly.
 * @param onWrite - Called before each write.
 */
export function flood(target: Writable, chunk: string, onWrite?: () => void): void {
	const write = () => {
		while (!target.destroyed) {
			onWrite?.();
			if (!target.write(chunk)) {
				return;
			}
		}
	};

	target.on('drain', write);
	write();
}

export async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
