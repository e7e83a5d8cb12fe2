import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '../../src/base/address.js';

/** A caller's connection whose bytes the test writes and reads itself. */
export class RawConnection {
	static async open(address: string): Promise<RawConnection> {
		const socket = connect({...splitAddress(address), allowHalfOpen: true});
		await once(socket, 'connect');
		return new RawConnection(socket);
	}

	/** All bytes that were received, as Latin-1. */
	text = '';
	/** The peer closed the connection in order. */
	hasEnded = false;
	/** Code of the error that ended the connection. */
	errorCode: string | undefined;
	readonly #socket: Socket;
	readonly #closed: Promise<void>;

	private constructor(socket: Socket) {
		this.#socket = socket;
		socket.on('data', chunk => {
			this.text += Buffer.from(chunk).toString('latin1');
		});
		socket.once('end', () => {
			this.hasEnded = true;
			socket.end();
		});
		socket.once('error', err => {
			this.errorCode = (err as NodeJS.ErrnoException).code;
		});
		this.#closed = new Promise(resolve => {
			socket.once('close', () => {
				resolve();
			});
		});
	}

	/** Statuses of the responses received so far. */
	get statuses(): number[] {
		return [...this.text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(match => Number(match.groups!.status));
	}

	write(bytes: string | Uint8Array): void {
		this.#socket.write(bytes);
	}

	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}

	/** Waits until the connection has closed. */
	async closed(): Promise<void> {
		await this.#closed;
	}

	destroy(): void {
		this.#socket.destroy();
	}
}
