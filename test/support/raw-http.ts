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
