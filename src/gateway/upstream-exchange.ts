/**
 * One HTTP exchange with an upstream on a dedicated connection, so that no byte of another exchange can arrive on it. No
 * byte is sent before the connection is established.
 */
import {Buffer} from 'node:buffer';
import {
	type ClientRequest, type IncomingHttpHeaders, type IncomingMessage, request,
} from 'node:http';
import {type Socket} from 'node:net';
import {splitAddress} from '../base/address.js';
import {type Clock, type Timer} from '../base/clock.js';
import {openConnection} from '../base/connecting.js';
import {MessageReader} from '../base/message-reader.js';
import {Ending} from './exchange-ending.js';

/** Connect timeout, in ms: covers a round trip between regions and a busy upstream, but no retransmission. */
const CONNECT_TIMEOUT_MS = 400;

/** Maximum size of a response's header section, or of its trailers, in bytes; upstreams send well under 1 KB. */
export const MAX_HEAD_BYTES = 32_768;
/** Maximum number of interim responses (1xx) before the final one; each may be as long as a header section. */
export const MAX_INTERIM_RESPONSES = 16;
/** Maximum response size on the wire, with framing, in bytes; a stream of 100,000 typical events takes half of it. */
export const MAX_RESPONSE_BYTES = 67_108_864;

const EMPTY_BUFFER = Buffer.alloc(0);
/** While paused, a socket reads on until it holds its high-water mark, in an object for each read. */
const socketOptions = {noDelay: true, allowHalfOpen: true, readableHighWaterMark: 1} as const;

/** Callbacks of an exchange. Exactly one of `onEnd` and `onFail` is called unless it is aborted, and none after it. */
export type ExchangeEvents = {
	/** The connection is established and the first byte is about to be sent. */
	onSending(): void;
	onHead(status: number, headers: IncomingHttpHeaders): void;
	onData(chunk: Uint8Array): void;
	/** The complete response has arrived. */
	onEnd(): void;
	onFail(ending: Ending, detail: string): void;
};

/** The request to send. */
export type ExchangeRequest = {
	/** `IP:PORT`. */
	readonly address: string;
	readonly method: string;
	readonly target: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
};

/** Sends one request and reports its response. */
export class UpstreamExchange {
	static start(clock: Clock, req: ExchangeRequest, events: ExchangeEvents): UpstreamExchange {
		const exchange = new UpstreamExchange(clock, req, events);
		exchange.#connect();
		return exchange;
	}

	readonly #clock: Clock;
	readonly #request: ExchangeRequest;
	readonly #events: ExchangeEvents;
	#socket: Socket | undefined;
	#clientRequest: ClientRequest | undefined;
	#response: IncomingMessage | undefined;
	#reader: MessageReader | undefined;
	#timer: Timer | undefined;
	#isSent = false;
	/** The complete response was read. */
	#isFullyRead = false;
	/** The upstream closed the connection without resetting it. */
	#isClosedGracefully = false;
	#isSettled = false;

	private constructor(clock: Clock, req: ExchangeRequest, events: ExchangeEvents) {
		this.#clock = clock;
		this.#request = req;
		this.#events = events;
	}

	/** Whether bytes of the request may have been sent. */
	get isSent(): boolean {
		return this.#isSent;
	}

	/** Aborts the exchange; no callback follows. */
	abort(): void {
		this.#isSettled = true;
		this.#close();
	}

	/** Pauses reading while the caller is slow. */
	pause(): void {
		this.#reader?.pause();
	}

	resume(): void {
		this.#reader?.resume();
	}

	#connect(): void {
		const socket = openConnection({...splitAddress(this.#request.address), ...socketOptions});
		this.#socket = socket;
		this.#timer = this.#clock.setTimer(CONNECT_TIMEOUT_MS, () => {
			this.#fail(Ending.NotConnected, 'connection timed out');
		});
		socket.once('connect', () => {
			this.#timer?.cancel();
			if (!this.#isSettled && !socket.destroyed) {
				this.#send(socket);
			}
		});
		socket.on('error', err => {
			this.#fail(this.#connectionLossEnding(), err.message);
		});
		socket.once('close', () => {
			this.#fail(this.#connectionLossEnding(), 'connection closed');
		});
		// Runs before the parser, which takes the end of the connection for the end of a response without a length.
		socket.once('end', () => {
			this.#detectReset(socket);
		});
	}

	/** Whether the complete response has arrived; a response without a length ends when its connection closes. */
	get #isComplete(): boolean {
		const response = this.#response;
		if (response?.complete !== true) {
			return false;
		}

		const isFramed = response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
		return isFramed || this.#isClosedGracefully;
	}

	#connectionLossEnding(): Ending {
		if (!this.#isSent) {
			return Ending.NotConnected;
		}

		return this.#response === undefined ? Ending.Lost : Ending.Spoiled;
	}

	/**
	 * Distinguishes a closed connection from a reset one. When a reset arrives before the last bytes are read, the event
	 * loop reports an ordinary end. An empty write fails on a reset socket and sends nothing on any other.
	 */
	#detectReset(socket: Socket): void {
		socket.write(EMPTY_BUFFER, err => {
			if (err) {
				this.#fail(this.#connectionLossEnding(), err.message);
				return;
			}

			this.#isClosedGracefully = true;
			if (this.#isFullyRead) {
				this.#finish();
			}
		});
	}

	#send(socket: Socket): void {
		const {method, target, headers, body} = this.#request;
		this.#isSent = true;
		this.#events.onSending();
		if (this.#isSettled) {
			return;
		}

		const clientRequest = request({
			method, path: target, headers: headers as unknown as Record<string, string>, createConnection: () => socket, setHost: false, maxHeaderSize: MAX_HEAD_BYTES,
		});
		this.#clientRequest = clientRequest;
		clientRequest.once('response', response => {
			this.#onResponse(response);
		});
		let interimResponses = 0;
		clientRequest.on('information', () => {
			interimResponses += 1;
			if (interimResponses > MAX_INTERIM_RESPONSES) {
				this.#fail(Ending.Flooded, 'too many interim responses');
			}
		});
		clientRequest.on('error', err => {
			// Bytes after a complete response belong to no request and are ignored.
			if (!this.#isComplete) {
				this.#fail(this.#response === undefined ? requestErrorEnding(err) : responseErrorEnding(err), err.message);
			}
		});
		clientRequest.end(body);
	}

	#onResponse(response: IncomingMessage): void {
		this.#response = response;
		if (this.#isSettled) {
			return;
		}

		this.#reader = MessageReader.start(response, {
			onBytes: bytes => {
				if (this.#socket!.bytesRead > MAX_RESPONSE_BYTES) {
					this.#fail(Ending.Flooded, 'response exceeds the size limit');
				}

				if (!this.#isSettled) {
					this.#events.onData(bytes);
				}
			},
			onEnd: () => {
				this.#isFullyRead = response.complete;
				if (this.#isComplete) {
					this.#finish();
				} else if (!response.complete) {
					this.#fail(Ending.Spoiled, 'response ended prematurely');
				}
			},
		});
		response.once('error', err => {
			this.#fail(responseErrorEnding(err), err.message);
		});
		response.once('close', () => {
			if (!response.complete) {
				this.#fail(Ending.Spoiled, 'response ended prematurely');
			}
		});
		this.#events.onHead(response.statusCode!, response.headers);
	}

	#finish(): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			this.#close();
			this.#events.onEnd();
		}
	}

	#fail(ending: Ending, detail: string): void {
		if (this.#isSettled || this.#isComplete) {
			return;
		}

		// What has arrived before the failure belongs to the response.
		this.#reader?.flush();
		if (!this.#isSettled) {
			this.#isSettled = true;
			this.#close();
			this.#events.onFail(ending, detail);
		}
	}

	#close(): void {
		this.#timer?.cancel();
		this.#reader?.close();
		this.#clientRequest?.destroy();
		this.#socket?.destroy();
	}
}

/** Bytes that are not a valid response prove a fault of the upstream; a reset or a close proves nothing. */
function requestErrorEnding(err: Error): Ending {
	return (err as NodeJS.ErrnoException).code?.startsWith('HPE_') ? responseErrorEnding(err) : Ending.Lost;
}

/** The error code ends in `_OVERFLOW` when a header section, a chunk extension or trailers exceed their limit. */
function responseErrorEnding(err: Error): Ending {
	return (err as NodeJS.ErrnoException).code?.endsWith('_OVERFLOW') ? Ending.Flooded : Ending.Spoiled;
}
