import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

/** A response that was read from a raw connection until the connection closed or the first complete response arrived. */
export type RawResponse = {
	readonly status: number;
	readonly head: string;
	readonly body: string;
	/** All bytes that were received, as Latin-1. */
	readonly text: string;
};

/** A caller's connection on which the test writes and reads bytes itself. */
export class RawConnection {
	static open(address: string): RawConnection {
		const [host, port] = address.split(':');
		return new RawConnection(connect(Number(port), host));
	}

	readonly socket: Socket;
	/** All bytes that were received, as Latin-1. */
	text = '';
	isClosed = false;
	/** Code of the error that ended the connection. */
	errorCode: string | undefined;

	private constructor(socket: Socket) {
		this.socket = socket;
		socket.on('data', chunk => {
			this.text += chunk.toString('latin1');
		});
		socket.on('error', err => {
			this.errorCode = (err as NodeJS.ErrnoException).code;
		});
		socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** Status codes of the responses so far, in order. */
	get statuses(): number[] {
		return [...this.text.matchAll(/HTTP\/1\.1 (?<status>\d+) /gv)].map(match => Number(match.groups!.status));
	}

	/** Waits until the connection is established or has failed. */
	async opened(): Promise<void> {
		await new Promise<void>(resolve => {
			this.socket.once('connect', () => {
				resolve();
			});
			this.socket.once('error', () => {
				resolve();
			});
		});
	}

	/** Waits until the connection has closed. */
	async closed(): Promise<void> {
		await new Promise<void>(resolve => {
			if (this.isClosed) {
				resolve();
			} else {
				this.socket.once('close', () => {
					resolve();
				});
			}
		});
	}
}

/** Sends bytes on a new connection and reads until it closes or until one response, with a length or chunked, is complete. */
export async function sendRaw(address: string, parts: ReadonlyArray<string | Uint8Array>): Promise<RawResponse> {
	const [host, port] = address.split(':');
	const socket: Socket = connect(Number(port), host);
	let text = '';
	await new Promise<void>(resolve => {
		socket.on('error', () => {
			resolve();
		});
		socket.on('close', () => {
			resolve();
		});
		socket.on('data', chunk => {
			text += Buffer.from(chunk).toString('latin1');
			if (isComplete(text)) {
				resolve();
			}
		});
		for (const part of parts) {
			socket.write(part);
		}
	});
	socket.destroy();
	const [head = '', ...rest] = text.split('\r\n\r\n');
	return {
		status: Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(head)?.groups?.status ?? 0), head: head.toLowerCase(), body: rest.join('\r\n\r\n'), text,
	};
}

function isComplete(text: string): boolean {
	if (/transfer-encoding: chunked/iv.test(text)) {
		return text.endsWith('\r\n0\r\n\r\n');
	}

	const length = /content-length: (?<length>\d+)/iv.exec(text)?.groups?.length;
	const end = text.indexOf('\r\n\r\n');
	return length !== undefined && end !== -1 && text.length >= end + 4 + Number(length);
}
