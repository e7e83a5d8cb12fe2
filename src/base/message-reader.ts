/**
 * Reads the bodies of HTTP messages of callers, upstreams and the store. What is held and done for a body depends on its
 * bytes and on the reads of its connection, not on how many chunks the peer makes of it.
 */
import {type IncomingMessage} from 'node:http';
import {PieceJoiner} from './piece-joiner.js';

/** Callbacks for the body of a message. A message that breaks off has no end, and its own `error` and `close` events. */
export type BodyEvents = {
	onBytes(bytes: Uint8Array): void;
	/** The message has ended, and all its bytes were passed on. */
	onEnd(): void;
};

/**
 * Keeps a message from reading on by itself: Node.js lets each message restart the reading of its connection whenever it has
 * passed on all that was read, even if the connection was paused.
 *
 * @param isStopped - Whether reading is stopped now.
 */
export function stopReadingWhile(message: IncomingMessage, isStopped: () => boolean): void {
	const read = message._read.bind(message);
	message._read = size => {
		if (!isStopped()) {
			read(size);
		}
	};
}

/** Reads one body. */
export class MessageReader {
	static start(message: IncomingMessage, events: BodyEvents): MessageReader {
		const reader = new MessageReader(message, events);
		reader.#attach(message, events);
		return reader;
	}

	readonly #joiner: PieceJoiner;
	#isStopped = false;

	private constructor({socket}: IncomingMessage, events: BodyEvents) {
		this.#joiner = PieceJoiner.create({
			onBytes(bytes) {
				events.onBytes(bytes);
			},
			// The connection is paused rather than the message, which would buffer each further chunk as an object.
			stopReading: () => {
				this.#isStopped = true;
				socket.pause();
			},
			startReading: () => {
				this.#isStopped = false;
				socket.resume();
			},
		});
	}

	/** Stops reading from the connection. */
	pause(): void {
		this.#joiner.pause();
	}

	resume(): void {
		this.#joiner.resume();
	}

	/** Passes on the bytes that were read before the message broke off. */
	flush(): void {
		this.#joiner.flush();
	}

	/** Ends the callbacks. What still arrives is discarded. */
	close(): void {
		this.#joiner.close();
	}

	#attach(message: IncomingMessage, {onEnd}: BodyEvents): void {
		stopReadingWhile(message, () => this.#isStopped);
		message.on('data', (piece: Uint8Array) => {
			this.#joiner.push(piece);
		});
		message.once('end', () => {
			this.#joiner.flush();
			onEnd();
		});
	}
}
