/**
 * Closes callers' connections behind their last response. If bytes of the caller are unread when a connection is closed,
 * the kernel resets it, and the caller loses the part of the response that it has not read.
 */
import {type Socket} from 'node:net';
import {type Clock} from '../base/clock.js';

/** Time that a caller has to close its side, in ms. */
const LINGER_MS = 1000;

/** Ends connections and discards what still arrives on them until the caller closes them too. */
export class LingeringClose {
	static create(clock: Clock): LingeringClose {
		return new LingeringClose(clock);
	}

	readonly #clock: Clock;
	readonly #sockets = new Set<Socket>();

	private constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of connections that have been ended and are still open. */
	get size(): number {
		return this.#sockets.size;
	}

	/** @returns Whether the connection has been ended. */
	has(socket: Socket): boolean {
		return this.#sockets.has(socket);
	}

	/** Makes the HTTP server, which closes a connection by `destroySoon`, close this one in this way. */
	attach(socket: Socket): void {
		socket.destroySoon = () => {
			this.#close(socket);
		};
	}

	#close(socket: Socket): void {
		if (socket.destroyed || this.#sockets.has(socket)) {
			return;
		}

		this.#sockets.add(socket);
		const timer = this.#clock.setTimer(LINGER_MS, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			timer.cancel();
			this.#sockets.delete(socket);
		});
		// Takes the connection away from the HTTP parser: what follows belongs to no request.
		socket.removeAllListeners('data');
		socket.on('data', () => undefined);
		socket.resume();
		socket.end();
	}
}
