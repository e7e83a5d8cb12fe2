/**
 * One exchange with an upstream, on a connection of its own: no byte of another exchange can arrive on it, and no byte
 * of this one is sent before the connection stands.
 */
import {Buffer} from 'node:buffer';
import {
	type ClientRequest, type IncomingHttpHeaders, type IncomingMessage, request,
} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {splitAddress} from '../base/address.js';
import {type Clock, type Timer} from '../base/clock.js';
import {Ending} from './exchange-ending.js';

/** Time for a connection, in ms: two ways between regions and a busy upstream; a lost packet is not waited for. */
const CONNECT_MS = 400;

/** Longest head of an answer, or its trailers, in bytes; upstreams send well under 1 KB. */
export const MAX_HEAD_BYTES = 32_768;
/** Interim answers (1xx) before the final one; each may be as long as a head. */
export const MAX_INTERIM_ANSWERS = 16;
/** Longest answer on the wire, with framing, in bytes: a stream of 100,000 events of usual size has half of it. */
export const MAX_ANSWER_BYTES = 67_108_864;

const NO_BYTES = Buffer.alloc(0);

/** What happens in an exchange. After `onEnd` or `onFail`, of which exactly one comes, nothing follows. */
export type ExchangeEvents = {
	/** The connection stands and the first byte is about to leave. */
	onSending(): void;
	onHead(status: number, headers: IncomingHttpHeaders): void;
	onData(chunk: Uint8Array): void;
	/** The whole answer has arrived. */
	onEnd(): void;
	onFail(ending: Ending, detail: string): void;
};

/** What is sent. */
export type ExchangeRequest = {
	/** `IP:PORT`. */
	readonly address: string;
	readonly method: string;
	readonly target: string;
	/** Names and values in turn. */
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
};

/** The exchange. */
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
	#client: ClientRequest | undefined;
	#answer: IncomingMessage | undefined;
	#timer: Timer | undefined;
	#isSent = false;
	/** The whole answer was read. */
	#hasEnded = false;
	/** The upstream closed the connection, and did not reset it. */
	#isClosedInOrder = false;
	#isEnded = false;

	private constructor(clock: Clock, req: ExchangeRequest, events: ExchangeEvents) {
		this.#clock = clock;
		this.#request = req;
		this.#events = events;
	}

	/** Whether bytes of the request may have left. */
	get isSent(): boolean {
		return this.#isSent;
	}

	/** Breaks the exchange off; no event follows. */
	abort(): void {
		this.#isEnded = true;
		this.#close();
	}

	/** Stops reading, as the caller is slow. */
	pause(): void {
		this.#answer?.pause();
	}

	resume(): void {
		this.#answer?.resume();
	}

	#connect(): void {
		const socket = createConnection({...splitAddress(this.#request.address), noDelay: true, allowHalfOpen: true});
		this.#socket = socket;
		this.#timer = this.#clock.setTimer(CONNECT_MS, () => {
			this.#fail(Ending.NotConnected, 'connection timed out');
		});
		socket.once('connect', () => {
			this.#timer?.cancel();
			if (!this.#isEnded) {
				this.#send(socket);
			}
		});
		socket.on('error', err => {
			this.#fail(this.#endingOfLoss(), err.message);
		});
		socket.once('close', () => {
			this.#fail(this.#endingOfLoss(), 'connection closed');
		});
		// Before the parser, which takes the end of the connection for the end of an answer without a length.
		socket.once('end', () => {
			this.#checkReset(socket);
		});
	}

	/** Whether the whole answer has arrived; one without a length ends with its connection. */
	get #isWhole(): boolean {
		const answer = this.#answer;
		if (answer?.complete !== true) {
			return false;
		}

		const isFramed = answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined;
		return isFramed || this.#isClosedInOrder;
	}

	#endingOfLoss(): Ending {
		if (!this.#isSent) {
			return Ending.NotConnected;
		}

		return this.#answer === undefined ? Ending.Lost : Ending.Spoiled;
	}

	/**
	 * Tells a connection that was closed from one that was reset. When a reset arrives before the last bytes are read, the
	 * event loop reports an ordinary end; an empty write fails on such a socket, and sends nothing on another.
	 */
	#checkReset(socket: Socket): void {
		socket.write(NO_BYTES, err => {
			if (err) {
				this.#fail(this.#endingOfLoss(), err.message);
				return;
			}

			this.#isClosedInOrder = true;
			if (this.#hasEnded) {
				this.#finish();
			}
		});
	}

	#send(socket: Socket): void {
		const {method, target, headers, body} = this.#request;
		this.#isSent = true;
		this.#events.onSending();
		if (this.#isEnded) {
			return;
		}

		const client = request({
			method, path: target, headers: headers as unknown as Record<string, string>, createConnection: () => socket, setHost: false, maxHeaderSize: MAX_HEAD_BYTES,
		});
		this.#client = client;
		client.once('response', answer => {
			this.#receive(answer);
		});
		let interimAnswers = 0;
		client.on('information', () => {
			interimAnswers += 1;
			if (interimAnswers > MAX_INTERIM_ANSWERS) {
				this.#fail(Ending.Flooded, 'interim answers without end');
			}
		});
		client.on('error', err => {
			// Bytes after a whole answer belong to no request and change nothing.
			if (!this.#isWhole) {
				this.#fail(this.#answer === undefined ? lostOrSpoiled(err) : floodedOrSpoiled(err), err.message);
			}
		});
		client.end(body);
	}

	#receive(answer: IncomingMessage): void {
		this.#answer = answer;
		if (this.#isEnded) {
			return;
		}

		answer.on('data', (chunk: Uint8Array) => {
			if (this.#socket!.bytesRead > MAX_ANSWER_BYTES) {
				this.#fail(Ending.Flooded, 'answer without end');
			}

			if (!this.#isEnded) {
				this.#events.onData(chunk);
			}
		});
		answer.once('end', () => {
			this.#hasEnded = answer.complete;
			if (this.#isWhole) {
				this.#finish();
			} else if (!answer.complete) {
				this.#fail(Ending.Spoiled, 'answer broke off');
			}
		});
		answer.once('error', err => {
			this.#fail(floodedOrSpoiled(err), err.message);
		});
		answer.once('close', () => {
			if (!answer.complete) {
				this.#fail(Ending.Spoiled, 'answer broke off');
			}
		});
		this.#events.onHead(answer.statusCode!, answer.headers);
	}

	#finish(): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.#close();
			this.#events.onEnd();
		}
	}

	#fail(ending: Ending, detail: string): void {
		if (this.#isEnded || this.#isWhole) {
			return;
		}

		this.#isEnded = true;
		this.#close();
		this.#events.onFail(ending, detail);
	}

	#close(): void {
		this.#timer?.cancel();
		this.#client?.destroy();
		this.#socket?.destroy();
	}
}

/** Bytes that are no answer prove an upstream at fault; a reset or a close proves nothing. */
function lostOrSpoiled(err: Error): Ending {
	return (err as NodeJS.ErrnoException).code?.startsWith('HPE_') ? floodedOrSpoiled(err) : Ending.Lost;
}

/** A head, a chunk extension or trailers over their limit. */
function floodedOrSpoiled(err: Error): Ending {
	return (err as NodeJS.ErrnoException).code?.endsWith('_OVERFLOW') ? Ending.Flooded : Ending.Spoiled;
}
