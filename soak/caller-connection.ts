/**
 * A connection of a caller that writes its requests itself, so that they may be sent in pieces or several at once, and that
 * notices how each of them ends.
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '../src/base/address.js';
import {ANY_ADDRESS} from '../standins/tcp-proxy.js';

/** How a request on the connection ended. */
export type ConnectionAnswer = {
	/** 0 if no status was received. */
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly isWhole: boolean;
};

type Waiter = {
	readonly onContinue: () => void;
	readonly onEnd: (answer: ConnectionAnswer) => void;
};

/** The head of an answer whose body is being received. */
type Head = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

const HEAD_END = '\r\n\r\n';

/** A connection to a VM. */
export class CallerConnection {
	/** @returns The connection; `undefined` if the VM refused it or did not accept it in time. */
	static async open(address: string, timeoutMs: number): Promise<CallerConnection | undefined> {
		const socket = connect({...splitAddress(address), localAddress: ANY_ADDRESS});
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, timeoutMs);
			socket.once('connect', () => {
				clearTimeout(timer);
				resolve(new CallerConnection(socket));
			});
			socket.on('error', () => undefined);
			socket.once('close', () => {
				clearTimeout(timer);
				resolve(undefined);
			});
		});
	}

	/** Bytes that arrived while no request was waiting. */
	surplus = '';
	readonly #socket: Socket;
	readonly #waiters: Waiter[] = [];
	#received = '';
	#head: Head | undefined;
	#body = '';

	private constructor(socket: Socket) {
		this.#socket = socket;
		socket.setNoDelay(true);
		socket.on('data', (chunk: Uint8Array) => {
			this.#received += Buffer.from(chunk).toString('latin1');
			this.#parse();
		});
		socket.once('end', () => {
			this.#finishUnframed();
		});
		socket.once('close', () => {
			this.#endAll();
		});
	}

	get isOpen(): boolean {
		return this.#socket.writable && !this.#socket.readableEnded;
	}

	/** @returns Whether the bytes were handed to the connection while it was open. */
	write(text: string): boolean {
		if (!this.isOpen) {
			return false;
		}

		this.#socket.write(text, 'latin1');
		return true;
	}

	/** Waits for the answer to the next request; call it in the order of the requests, before a byte of it is sent. */
	async answer(onContinue = () => undefined as void): Promise<ConnectionAnswer> {
		return new Promise(resolve => {
			this.#waiters.push({onContinue, onEnd: resolve});
			if (this.#socket.destroyed) {
				this.#endAll();
			}
		});
	}

	/** Stops reading until `resume`. */
	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}

	close(): void {
		this.#socket.destroy();
	}

	#parse(): void {
		while (this.#received !== '') {
			if (this.#waiters.length === 0) {
				this.surplus += this.#received;
				this.#received = '';
				return;
			}

			const isDone = this.#head === undefined ? this.#parseHead() : this.#parseBody(this.#head);
			if (!isDone) {
				return;
			}
		}
	}

	/** @returns Whether a head was complete. */
	#parseHead(): boolean {
		const end = this.#received.indexOf(HEAD_END);
		if (end === -1) {
			return false;
		}

		const [statusLine, ...lines] = this.#received.slice(0, end).split('\r\n');
		this.#received = this.#received.slice(end + HEAD_END.length);
		const status = Number(statusLine!.split(' ')[1]);
		if (status < 200) {
			this.#waiters[0]!.onContinue();
			return true;
		}

		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		this.#head = {status, headers};
		if (headers['content-length'] === '0') {
			this.#finish(true);
		}

		return true;
	}

	/** @returns Whether more of the received bytes can be parsed. */
	#parseBody({headers}: Head): boolean {
		if (headers['transfer-encoding'] === 'chunked') {
			return this.#parseChunk();
		}

		const length = Number(headers['content-length'] ?? Number.POSITIVE_INFINITY);
		const missing = length - this.#body.length;
		this.#body += this.#received.slice(0, missing);
		this.#received = this.#received.slice(missing);
		if (this.#body.length === length) {
			this.#finish(true);
		}

		return true;
	}

	#parseChunk(): boolean {
		const lineEnd = this.#received.indexOf('\r\n');
		const size = Number.parseInt(this.#received.slice(0, lineEnd), 16);
		if (lineEnd === -1 || this.#received.length < lineEnd + size + HEAD_END.length) {
			return false;
		}

		this.#body += this.#received.slice(lineEnd + 2, lineEnd + 2 + size);
		this.#received = this.#received.slice(lineEnd + size + HEAD_END.length);
		if (size === 0) {
			this.#finish(true);
		}

		return true;
	}

	/** A body with neither a length nor chunks ends with its connection, unless it is reset. */
	#finishUnframed(): void {
		if (this.#head !== undefined && this.#head.headers['content-length'] === undefined && this.#head.headers['transfer-encoding'] === undefined) {
			this.#finish(true);
		}
	}

	#endAll(): void {
		while (this.#waiters.length > 0) {
			this.#finish(false);
		}
	}

	#finish(isWhole: boolean): void {
		const {status, headers} = this.#head ?? {status: 0, headers: {}};
		const body = this.#body;
		this.#head = undefined;
		this.#body = '';
		this.#waiters.shift()!.onEnd({
			status, headers, body, isWhole,
		});
	}
}
