/**
 * Faulty responses of a stand-in server, by its mode.
 */
import {once} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {flood} from './responses.js';
import {type ServerMode} from './platform-server.js';

/** A request that a server has begun to respond to. */
export type ServerExchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Headers of the response. */
	readonly headers: Readonly<Record<string, string>>;
	/** Number of the run at this server; faults with several forms take them in turn. */
	readonly runNumber: number;
};

/** The start of a response that never ends, and what follows repeatedly. */
type EndlessResponse = readonly [start: string, repeated: string];

const FLOOD_CHUNK = 'x'.repeat(65_536);
const LONG_TEXT = 'x'.repeat(1000);
const endlessHeads: readonly EndlessResponse[] = [
	['HTTP/1.1 200 ', LONG_TEXT],
	['HTTP/1.1 200 OK\r\nX-Long: ', LONG_TEXT],
	['HTTP/1.1 200 OK\r\n', `X-Line: ${LONG_TEXT}\r\n`],
	['', 'HTTP/1.1 100 Continue\r\n\r\n'],
];
const endlessFramings: readonly EndlessResponse[] = [
	['5;', LONG_TEXT],
	['0\r\n', `X-Line: ${LONG_TEXT}\r\n`],
	['', `1;${LONG_TEXT}\r\nx\r\n`],
];
/** Status and content of the chunks of bodies that never end: parts of an event, an error, line ends, lines, comments, events. */
const endlessChunks: ReadonlyArray<readonly [status: number, chunk: string]> = [
	[200, 'x'], [500, 'x'], [200, '\n'], [200, 'x\n'], [200, ':\n\n'], [200, 'id: 1\n\n'],
];
const CHUNKS_PER_WRITE = 10_000;
/** Time between two bytes of a response that trickles, in ms; shorter than any timeout for silence. */
const TRICKLE_INTERVAL_MS = 100;
/** Time between the head of a response and its end if nothing follows the head, in ms. */
const HEAD_ONLY_MS = 15;

/** Responses that replace the whole response. */
export const faultyResponses: Readonly<Partial<Record<ServerMode, (exchange: ServerExchange) => Promise<void>>>> = {
	async fails({res, headers}) {
		res.writeHead(500, headers);
		res.end('failed');
	},
	async floods({res, headers}) {
		res.writeHead(200, headers);
		flood(res, FLOOD_CHUNK);
		await waitForClose(res);
	},
	async 'endless-head'({req, runNumber}) {
		await floodConnection(req.socket, endlessHeads[runNumber % endlessHeads.length]!);
	},
	async 'endless-framing'({req, headers, runNumber}) {
		const [start, repeated] = endlessFramings[runNumber % endlessFramings.length]!;
		const lines = Object.entries({...headers, 'transfer-encoding': 'chunked'}).map(([name, value]) => `${name}: ${value}\r\n`);
		await floodConnection(req.socket, [`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${start}`, repeated]);
	},
	async 'small-chunks'({req, headers, runNumber}) {
		const [status, chunk] = endlessChunks[runNumber % endlessChunks.length]!;
		const lines = Object.entries({...headers, 'transfer-encoding': 'chunked'}).map(([name, value]) => `${name}: ${value}\r\n`);
		await floodConnection(req.socket, [`HTTP/1.1 ${status} Endless\r\n${lines.join('')}\r\n`, `${chunk.length}\r\n${chunk}\r\n`.repeat(CHUNKS_PER_WRITE)]);
	},
	async trickles({res, headers}) {
		res.writeHead(200, {...headers, 'content-length': String(FLOOD_CHUNK.length)});
		while (!res.destroyed) {
			res.write('x');
			await sleep(TRICKLE_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- bytes are sent at intervals
		}
	},
	async 'head-only'({res, headers}) {
		res.writeHead(200, headers);
		res.flushHeaders();
		await sleep(HEAD_ONLY_MS);
		res.destroy();
	},
	async mute({res}) {
		await waitForClose(res);
	},
};

/** Ends of responses that break off after their beginning has been written. */
export const faultyEnds: Readonly<Partial<Record<ServerMode, (exchange: ServerExchange) => void>>> = {
	truncates({res}) {
		res.destroy();
	},
	resets({req}) {
		req.socket.resetAndDestroy();
	},
	hangs() {
		// The connection stays open.
	},
};

export async function waitForClose(res: ServerResponse): Promise<void> {
	if (!res.destroyed) {
		await once(res, 'close');
	}
}

/** Writes past the HTTP server, which sends only valid responses, until the client closes the connection. */
async function floodConnection(socket: Socket, [start, repeated]: EndlessResponse): Promise<void> {
	if (socket.destroyed) {
		return;
	}

	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	// The client aborts the connection.
	socket.on('error', () => undefined);
	socket.write(start);
	flood(socket, repeated);
	await closed;
}
