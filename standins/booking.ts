/**
 * A small stand-in for a booking service. It keeps no keys: each hold that arrives is placed.
 */
import {
	createServer, type IncomingHttpHeaders, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A hold as it was placed. */
export type Hold = {
	readonly number: number;
	readonly dispatchId: string;
	readonly body: string;
};

/** A booking service on a port of its own. */
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

	/** All holds ever placed, in order. */
	readonly holds: Hold[] = [];
	/** Delay before a hold is answered, in ms. */
	delayMs = 0;
	/** Headers of the last request. */
	lastHeaders: IncomingHttpHeaders = {};
	/** Further headers of each answer. */
	responseHeaders: OutgoingHttpHeaders = {};
	/** Status that every request is answered with, without being run. */
	failureStatus: number | undefined;
	/** Cuts the connection of every request, without running it. */
	cutsRequests = false;
	/** Requests that arrived. */
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

	/** Listens again on the port of before. */
	async restart(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(this.#port, '127.0.0.1', resolve);
		});
	}

	/** Ends at once, as a crash would. */
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
			answer(res, this.failureStatus, {failed: true});
			return;
		}

		if (req.method === 'GET') {
			answer(res, 200, {path: req.url, holds: this.holds.length});
			return;
		}

		const hold = {number: this.holds.length + 1, dispatchId: req.headers['dispatch-id']?.toString() ?? '', body};
		this.holds.push(hold);
		await new Promise(resolve => {
			setTimeout(resolve, this.delayMs);
		});
		answer(res, 201, {hold: hold.number});
	}
}

function answer(res: ServerResponse, status: number, body: Record<string, unknown>): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}
