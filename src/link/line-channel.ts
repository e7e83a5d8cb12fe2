/**
 * Newline-delimited JSON messages between VMs over one TCP connection. Messages of one event-loop turn are sent in one
 * write. An RPC library takes about 2 ms of CPU time per request on a small VM; a line takes about 0.02 ms.
 */
import {type Socket} from 'node:net';
import {setImmediate} from 'node:timers';
import {ByteCollector, decodeText} from '../base/byte-collector.js';
import {errorFields} from '../base/error-fields.js';
import {parseJson} from '../base/parse-json.js';
import {Channel, type ChannelEvents, encodeLine} from './link-network.js';
import {type MessageDecoder} from './message-schemas.js';

const LINE_FEED = 10;
/** Longest line, in bytes; a configuration with a few thousand routes takes about 1 MB. */
const MAX_LINE_BYTES = 16_777_216;
/** Unsent bytes above which the connection is destroyed; the peer has not read for seconds. */
const MAX_BUFFERED_BYTES = 8_388_608;

/** A channel over one TCP socket. */
export class LineChannel<Sent, Received> extends Channel<Sent> {
	/** @param decode - Checks each line; the connection is closed at the first one that is not usable. */
	static create<Sent, Received>(socket: Socket, events: ChannelEvents<Received>, decode: MessageDecoder<Received>): LineChannel<Sent, Received> {
		const channel = new LineChannel<Sent, Received>(socket, events, decode);
		channel.#attachHandlers();
		return channel;
	}

	readonly #socket: Socket;
	readonly #events: ChannelEvents<Received>;
	readonly #decode: MessageDecoder<Received>;
	#sendBuffer = '';
	readonly #partialLine = ByteCollector.create();
	#isClosed = false;

	private constructor(socket: Socket, events: ChannelEvents<Received>, decode: MessageDecoder<Received>) {
		super();
		this.#socket = socket;
		this.#events = events;
		this.#decode = decode;
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

		if (this.#sendBuffer === '') {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#sendBuffer += line;
	}

	close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#flush();
			this.#socket.destroySoon();
			this.#events.onClose();
		}
	}

	#attachHandlers(): void {
		this.#socket.setNoDelay(true);
		this.#socket.on('data', chunk => {
			this.#receive(chunk);
		});
		this.#socket.on('error', () => {
			// The close event follows and is handled.
		});
		this.#socket.on('close', () => {
			if (!this.#isClosed) {
				this.#isClosed = true;
				this.#events.onClose();
			}
		});
	}

	#flush(): void {
		const text = this.#sendBuffer;
		this.#sendBuffer = '';
		if (text === '' || this.#socket.destroyed) {
			return;
		}

		this.#socket.write(text);
		if (this.#socket.writableLength > MAX_BUFFERED_BYTES) {
			this.#socket.destroy();
		}
	}

	#receive(chunk: Uint8Array): void {
		let start = 0;
		for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, start)) {
			const line = chunk.subarray(start, end);
			start = end + 1;
			this.#receiveLine(this.#partialLine.length === 0 ? line : this.#takeWith(line));
			if (this.#isClosed || this.#socket.destroyed) {
				return;
			}
		}

		this.#partialLine.add(chunk.subarray(start));
		if (this.#partialLine.length > MAX_LINE_BYTES) {
			this.#socket.destroy();
		}
	}

	#takeWith(lineEnd: Uint8Array): Uint8Array {
		this.#partialLine.add(lineEnd);
		return this.#partialLine.take();
	}

	#receiveLine(line: Uint8Array): void {
		const message = this.#decode(parseJson(decodeText(line)));
		if (message.isErr) {
			// The peer does not speak the protocol, so its connection is useless.
			this.#events.onUnusable?.(message.error);
			this.#socket.destroy();
		} else if (message.value !== undefined) {
			this.#handle(message.value);
		}
	}

	/** Closes the connection after an error in the handling of a message: both ends state all that they know on a new one. */
	#handle(message: Received): void {
		try {
			this.#events.onMessage(message);
		} catch (error) {
			const {err, stack} = errorFields(error);
			this.#events.onUnusable?.(stack ?? err);
			this.#socket.destroy();
		}
	}
}
