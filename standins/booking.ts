/**
 * Stand-in for a booking service. It ignores idempotency keys: each hold that arrives is placed.
 */
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A placed hold. */
export type Hold = {
	readonly number: number;
	readonly dispatchId: string;
	readonly body: string;
};

/** A booking service on a loopback port. */
export class BookingStandIn {
	/** @param port - Port to listen on; 0 lets the operating system choose. */
	static async start(port = 0): Promise<BookingStandIn> {
		const booking = new BookingStandIn();
		await new Promise<void>(resolve => {
			booking.#server.listen(port, '127.0.0.1', resolve);
		});
		booking.#port = (booking.#server.address() as AddressInfo).port;
		return booking;
	}

	/** All holds that were placed, in order. */
	readonly holds: Hold[] = [];
	/** Delay between placing a hold and responding, in ms. */
	delayMs = 0;
	/** Headers of the last request. */
	lastHeaders: IncomingHttpHeaders = {};
	/** Additional headers of each response. */
	responseHeaders: OutgoingHttpHeaders = {};
	/** If set, every request fails with this status and is not run. */
	failureStatus: number | undefined;
	/** If set, closes the connection of every request and does not run it. */
	cutsRequests = false;
	/** Number of requests that arrived. */
	requestCount = 0;
	readonly #server: Server;
	#port = 0;

	private constructor() {
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	/** Listens again on the same port. */
	async restart(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
	}

	/** Stops immediately and closes all connections, as a crash would. */
	async stop(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.requestCount += 1;
		this.lastHeaders = req.headers;
		for (const [name, value] of Object.entries(this.responseHeaders)) {
			res.setHeader(name, value!);
		}

		if (this.cutsRequests) {
			res.destroy();
			return;
		}

		const body = await text(req);
		if (this.failureStatus !== undefined) {
			sendJson(res, this.failureStatus, {failed: true});
			return;
		}

		if (req.method === 'GET') {
			sendJson(res, 200, {path: req.url, holds: this.holds.length});
			return;
		}

		const hold = {number: this.holds.length + 1, dispatchId: req.headers['dispatch-id']?.toString() ?? '', body};
		this.holds.push(hold);
		await new Promise(resolve => {
			setTimeout(resolve, this.delayMs);
		});
		sendJson(res, 201, {hold: hold.number});
	}
}

function sendJson(res: ServerResponse, status: number, body: Record<string, unknown>): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}
