/**
 * What stand-ins do with responses of Node's HTTP server.
 */
import {type ServerResponse} from 'node:http';
import {type Writable} from 'node:stream';
import {type JsonObject} from './engine-answers.js';

/** Answers with JSON, and echoes the dispatch ID where one is given. */
export function answerJson(res: ServerResponse, status: number, body: JsonObject | readonly JsonObject[], dispatchId?: string): void {
	res.writeHead(status, {'content-type': 'application/json', ...(dispatchId && {'dispatch-id': dispatchId})});
	res.end(JSON.stringify(body));
}

/** Waits until everything written so far has been handed to the operating system. */
export async function flushed(res: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		res.write('', () => {
			resolve();
		});
	});
}

/** Waits until more can be written, or the connection is closed. */
export async function drained(res: ServerResponse): Promise<void> {
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
 * Writes as fast as the other side reads, until the connection is closed.
 *
 * @param piece - What is written again and again.
 * @param onWrite - Called before each piece.
 */
export function flood(target: Writable, piece: string, onWrite?: () => void): void {
	const pump = () => {
		while (!target.destroyed) {
			onWrite?.();
			if (!target.write(piece)) {
				return;
			}
		}
	};

	target.on('drain', pump);
	pump();
}

/** Waits for some ms. */
export async function pause(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
