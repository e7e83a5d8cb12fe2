/**
 * Stand-in for a server behind the system. It is sound unless its `respond` is replaced.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './network.js';

const MISDIRECTED_STATUS = 421;

/** A server on a loopback port, with its entry in the store. */
export class Server {
	static async start(store, record, options) {
		const server = new Server(store, record, options);
		server.address = await listen(server.http);
		server.register('ready');
		return server;
	}

	constructor(store, record, {id, service, slots, respond = respondSoundly}) {
		Object.assign(this, {
			store, record, id, service, slots, respond, born: Date.now(), sequence: 0,
		});
		this.http = createServer({keepAliveTimeout: 5000}, (req, res) => {
			this.handle(req, res);
		});
		this.http.on('clientError', (_err, socket) => {
			socket.destroy();
		});
	}

	/** Writes the entry into the store, as the server does. */
	register(state) {
		this.sequence += 1;
		this.store.put('servers', this.id, {
			service: this.service, address: this.address, zone: 'zone-a', version: 'v1', slots: this.slots, state, coldLeftMs: 0, sequence: this.sequence, born: this.born,
		});
	}

	async handle(req, res) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const id = req.headers['x-request-id'];
		if (req.headers['x-expect-instance'] !== this.id) {
			res.writeHead(MISDIRECTED_STATUS, {'X-Request-Id': id, 'X-Instance-Id': this.id, 'Content-Length': '0'});
			res.end();
			return;
		}

		this.record.note('runs', {server: this.id, request: id, target: req.url});
		await this.respond(req, res, Buffer.concat(chunks), this);
	}

	close() {
		this.http.closeAllConnections();
		this.http.close();
	}
}

/** Headers that the servers of the platform send with each answer. */
export function answerHeaders(req) {
	return {'X-Request-Id': req.headers['x-request-id'], 'X-Server-Seal': 'seal'};
}

/** Answers after some milliseconds: a stream of events on routes of streams, a short text on others. */
export async function respondSoundly(req, res) {
	await sleep(20);
	if (!req.url.startsWith('/stream')) {
		res.writeHead(200, {...answerHeaders(req), 'Content-Length': '2'});
		res.end('ok');
		return;
	}

	const from = Number(req.headers['last-event-id'] ?? 0);
	res.writeHead(200, {...answerHeaders(req), 'Content-Type': 'text/event-stream'});
	for (let id = from + 1; id <= 10; id += 1) {
		res.write(`id: ${id}\ndata: ${id}\n\n`);
		await sleep(20); // eslint-disable-line no-await-in-loop -- events follow each other
	}

	res.end();
}
