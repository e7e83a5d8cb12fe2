/**
 * Bound on the connections of callers. Above it, the connection is closed that has been without a request longest, of the
 * address with the most of them, so that others can still connect.
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from './clock.js';
import {type Log} from './log.js';

/** Time between two log lines, in ms. */
const LOG_INTERVAL_MS = 10_000;

/** Dependencies of a limit. */
export type ConnectionLimitOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly maxConnections: number;
	/** Called for each connection that is closed. */
	readonly onClosed: () => void;
};

type Connection = {
	readonly address: string;
	/** Requests whose response has not been sent. */
	openCount: number;
	/** Rises with each connection and each response. */
	usedAt: number;
};

/** Counts the connections of one server. */
export class ConnectionLimit {
	static create(options: ConnectionLimitOptions): ConnectionLimit {
		return new ConnectionLimit(options);
	}

	readonly #options: ConnectionLimitOptions;
	readonly #connections = new Map<Socket, Connection>();
	readonly #countByAddress = new Map<string, number>();
	#loggedAt = Number.NEGATIVE_INFINITY;
	#closedCount = 0;
	#useCount = 0;

	private constructor(options: ConnectionLimitOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#connections.size;
	}

	attach(server: Server): void {
		server.on('connection', (socket: Socket) => {
			this.#add(socket);
		});
		server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
			this.#noteRequest(req.socket, res);
		});
	}

	#add(socket: Socket): void {
		const address = socket.remoteAddress ?? '';
		this.#useCount += 1;
		this.#connections.set(socket, {address, openCount: 0, usedAt: this.#useCount});
		this.#countByAddress.set(address, (this.#countByAddress.get(address) ?? 0) + 1);
		socket.once('close', () => {
			this.#remove(socket);
		});
		if (this.#connections.size > this.#options.maxConnections) {
			this.#closeOne(socket);
		}
	}

	#remove(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			this.#connections.delete(socket);
			const count = this.#countByAddress.get(connection.address)! - 1;
			if (count === 0) {
				this.#countByAddress.delete(connection.address);
			} else {
				this.#countByAddress.set(connection.address, count);
			}
		}
	}

	#noteRequest(socket: Socket, res: ServerResponse): void {
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return;
		}

		connection.openCount += 1;
		res.once('close', () => {
			connection.openCount -= 1;
			this.#useCount += 1;
			connection.usedAt = this.#useCount;
		});
	}

	#closeOne(newest: Socket): void {
		const victim = this.#findVictim() ?? newest;
		this.#remove(victim);
		victim.destroy();
		this.#closedCount += 1;
		const {clock, log, maxConnections, onClosed} = this.#options;
		onClosed();
		const now = clock.now();
		if (now - this.#loggedAt >= LOG_INTERVAL_MS) {
			this.#loggedAt = now;
			log.warn('Too many connections; those without a request are closed.', {maxConnections, closed: this.#closedCount});
		}
	}

	#findVictim(): Socket | undefined {
		let victim: Socket | undefined;
		let victimCount = 0;
		let victimUsedAt = 0;
		for (const [socket, {address, openCount, usedAt}] of this.#connections) {
			const count = this.#countByAddress.get(address)!;
			if (openCount === 0 && (count > victimCount || (count === victimCount && usedAt < victimUsedAt))) {
				victim = socket;
				victimCount = count;
				victimUsedAt = usedAt;
			}
		}

		return victim;
	}
}
