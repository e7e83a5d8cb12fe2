/**
 * Messages between VMs over one TCP connection: a line of JSON each. Messages of one turn of the event loop leave in
 * one write. A call of an RPC library costs about 2 ms of a small VM's processor for each request; a line costs about
 * 0.02 ms.
 */
import {type Socket} from 'node:net';
import {StringDecoder} from 'node:string_decoder';
import {setImmediate} from 'node:timers';
import {parseJson} from '../base/parse-json.js';
import {Channel, type ChannelEvents, encodeLine} from './link-network.js';

/** Longest line, in characters; a whole configuration with some thousand routes takes about 1 MB. */
const MAX_LINE_LENGTH = 16_777_216;
/** Unsent bytes above which the peer counts as gone: it has not read for seconds. */
const MAX_UNSENT_BYTES = 8_388_608;

/** One connection. */
export class LineChannel<Sent, Received> extends Channel<Sent> {
	static create<Sent, Received>(socket: Socket, events: ChannelEvents<Received>): LineChannel<Sent, Received> {
		const channel = new LineChannel<Sent, Received>(socket, events);
		channel.#listen();
		return channel;
	}

	readonly #socket: Socket;
	readonly #events: ChannelEvents<Received>;
	readonly #decoder = new StringDecoder('utf8');
	#unsent = '';
	#rest = '';
	#isClosed = false;

	private constructor(socket: Socket, events: ChannelEvents<Received>) {
		super();
		this.#socket = socket;
		this.#events = events;
	}

	send(message: Sent): void {
		if (!this.#isClosed) {
			this.sendLine(encodeLine(message));
		}
	}

	sendLine(line: string): void {
		if (this.#isClosed) {
			return;
		}

		if (this.#unsent === '') {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#unsent += line;
	}

	close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#flush();
			this.#socket.destroySoon();
			this.#events.onClose();
		}
	}

	#listen(): void {
		this.#socket.setNoDelay(true);
		this.#socket.on('data', chunk => {
			this.#take(this.#decoder.write(chunk));
		});
		this.#socket.on('error', () => {
			// The close event that follows is handled.
		});
		this.#socket.on('close', () => {
			if (!this.#isClosed) {
				this.#isClosed = true;
				this.#events.onClose();
			}
		});
	}

	#flush(): void {
		const text = this.#unsent;
		this.#unsent = '';
		if (text === '' || this.#socket.destroyed) {
			return;
		}

		this.#socket.write(text);
		if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
			this.#socket.destroy();
		}
	}

	#take(text: string): void {
		const lines = (this.#rest + text).split('\n');
		this.#rest = lines.pop()!;
		if (this.#rest.length > MAX_LINE_LENGTH) {
			this.#socket.destroy();
			return;
		}

		for (const line of lines) {
			if (this.#isClosed) {
				return;
			}

			const message = parseJson(line);
			if (typeof message !== 'object' || message === null) {
				// A peer that does not speak the protocol; its connection is of no use.
				this.#socket.destroy();
				return;
			}

			this.#events.onMessage(message as Received);
		}
	}
}
