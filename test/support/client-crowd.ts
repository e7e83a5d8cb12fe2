/**
 * Crowds of callers that do not keep to the limits, on raw connections that stay open until the crowd is dismissed.
 */
import {Buffer} from 'node:buffer';
import {readdir, readFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '../../src/base/address.js';

/** Bytes that one client sends, and whether it reads what it is sent. */
export type ClientShape = {
	readonly text: string;
	/** Sent after the text, this many times. */
	readonly piece?: Uint8Array;
	readonly pieceCount?: number;
	readonly isReading?: boolean;
};

/** Time without progress of any client after which a crowd has sent what it could, in ms. */
const QUIET_MS = 1500;
/** Longest time that a crowd sends, in ms. */
const MAX_SENDING_MS = 20_000;
const POLL_MS = 100;
const MAX_CHUNK_BYTES = 1_048_576;

/** @returns A chunked body, up to but without its last chunk. */
export function openChunks(chunkBytes: number, bodyBytes: number): Pick<ClientShape, 'piece' | 'pieceCount'> {
	const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`);
	const perPiece = Math.max(1, Math.floor(MAX_CHUNK_BYTES / 16 / chunk.length));
	return {piece: Buffer.concat(Array.from({length: perPiece}, () => chunk)), pieceCount: Math.floor(bodyBytes / (chunkBytes * perPiece))};
}

/** Open connections of clients that all send alike. */
export class ClientCrowd {
	/** Connects all clients at once, and waits until they have sent what they could. */
	static async gather(address: string, count: number, shape: ClientShape): Promise<ClientCrowd> {
		const crowd = new ClientCrowd();
		for (let index = 0; index < count; index += 1) {
			crowd.#join(address, shape);
		}

		const endsAt = performance.now() + MAX_SENDING_MS;
		let seen = -1;
		for (let quietSince = performance.now(); performance.now() < Math.min(endsAt, quietSince + QUIET_MS);) {
			await sleep(POLL_MS); // eslint-disable-line no-await-in-loop -- polling
			const progress = crowd.#progress;
			if (progress !== seen) {
				seen = progress;
				quietSince = performance.now();
			}
		}

		return crowd;
	}

	readonly #sockets: Socket[] = [];

	private constructor() {
		// Instances come from `gather`.
	}

	get #progress(): number {
		return this.#sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength + socket.bytesRead + Number(socket.destroyed), 0);
	}

	dismiss(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#join(address: string, {text, piece, pieceCount = 0, isReading = true}: ClientShape): void {
		const {host, port} = splitAddress(address);
		const socket = connect(port, host);
		this.#sockets.push(socket);
		// The process may refuse the connection, or close it at any time.
		socket.on('error', () => undefined);
		if (isReading) {
			socket.resume();
		}

		let sent = 0;
		const send = () => {
			while (sent < pieceCount && !socket.destroyed) {
				sent += 1;
				if (!socket.write(piece!)) {
					socket.once('drain', send);
					return;
				}
			}
		};

		socket.once('connect', () => {
			socket.write(text);
			send();
		});
	}
}

/** What a process holds. */
export type ProcessUse = {
	/** Peak of its resident memory, in kB. */
	readonly peakKb: number;
	readonly descriptors: number;
};

/** @throws If the process has ended. */
export async function readProcessUse(pid: number): Promise<ProcessUse> {
	const [status, descriptors] = await Promise.all([readFile(`/proc/${pid}/status`, 'utf8'), readdir(`/proc/${pid}/fd`)]);
	return {peakKb: Number(/VmHWM:\s+(?<kB>\d+)/v.exec(status)!.groups!.kB), descriptors: descriptors.length};
}
