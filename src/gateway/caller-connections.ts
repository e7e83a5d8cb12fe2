/**
 * The order of the requests of each caller's connection. Requests that are sent together are served one after another, and
 * bytes that are no request are answered behind the requests before them.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {runInBackground} from '../base/background.js';
import {type Log} from '../base/log.js';
import {stopReadingWhile} from '../base/message-reader.js';
import {type LingeringClose} from './lingering-close.js';

/**
 * Number of requests that may wait on one connection. Reading stops above it, as each of them is held with its response; one
 * read can still bring some hundred more.
 */
const MAX_WAITING_REQUESTS = 32;

type Connection = {
	/** The latest request and its response. */
	req?: IncomingMessage;
	res?: ServerResponse;
	/** The response to the request before it. */
	previous?: ServerResponse;
	/** What follows on the connection cannot be read or is not served. */
	isRejected: boolean;
	/** Requests that wait for the response to one before them. */
	waitingCount: number;
};

/** Decides whose turn it is on each connection. */
export class CallerConnections {
	static create(closing: LingeringClose, log: Log): CallerConnections {
		return new CallerConnections(closing, log);
	}

	readonly #closing: LingeringClose;
	readonly #log: Log;
	readonly #connections = new WeakMap<Socket, Connection>();

	private constructor(closing: LingeringClose, log: Log) {
		this.#closing = closing;
		this.#log = log;
	}

	attach(socket: Socket): void {
		this.#connections.set(socket, {isRejected: false, waitingCount: 0});
		this.#closing.attach(socket);
	}

	/** @returns Whether to serve the request, once those before it are answered; if not, it gets no answer and must not run. */
	async waitForTurn(req: IncomingMessage, res: ServerResponse): Promise<boolean> {
		const {socket} = req;
		const connection = this.#connections.get(socket)!;
		if (connection.isRejected) {
			return false;
		}

		const previous = connection.res;
		Object.assign(connection, {req, res, previous});
		connection.waitingCount += 1;
		const isFull = () => connection.waitingCount >= MAX_WAITING_REQUESTS;
		stopReadingWhile(req, isFull);
		// Not before the parser is done with this read, as it resumes the connection at the end of each message.
		process.nextTick(() => {
			if (isFull()) {
				socket.pause();
			}
		});

		await waitForEnd(previous, socket);
		connection.waitingCount -= 1;
		if (connection.waitingCount === MAX_WAITING_REQUESTS - 1) {
			socket.resume();
		}

		// A connection that was rejected inside this request's body answers with the rejection.
		return socket.writable && (!connection.isRejected || req.complete);
	}

	/**
	 * Answers bytes that are no request of this server and closes the connection, behind the answers to the requests before.
	 *
	 * @param response - All bytes of the response.
	 * @returns Whether they are answered; if not, the connection is closing already.
	 */
	reject(socket: Socket, response: string): boolean {
		const connection = this.#connections.get(socket)!;
		if (connection.isRejected || this.#closing.has(socket)) {
			return false;
		}

		connection.isRejected = true;
		const {req, res, previous} = connection;
		const isInsideBody = req?.complete === false && res?.headersSent === false;
		runInBackground(this.#log, 'rejecting a request', async () => this.#close(socket, response, isInsideBody ? previous : res));
		return true;
	}

	async #close(socket: Socket, response: string, before: ServerResponse | undefined): Promise<void> {
		await waitForEnd(before, socket);
		if (socket.writable) {
			socket.write(response);
			socket.destroySoon();
		}
	}
}

/** Waits until a response has been sent or the connection is closed. */
async function waitForEnd(res: ServerResponse | undefined, socket: Socket): Promise<void> {
	if (res === undefined || res.closed || socket.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			res.off('close', finish);
			socket.off('close', finish);
			resolve();
		};

		res.once('close', finish);
		socket.once('close', finish);
	});
}
