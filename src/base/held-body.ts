/**
 * Reading of one body of a request within a limit and within the account of held bytes.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {ByteCollector} from './byte-collector.js';
import {
	type Holding, HoldingKind, type HoldingOptions, type MemoryAccount,
} from './memory-account.js';
import {MessageReader} from './message-reader.js';

/** Why a body is not used. */
export const UnusableBody = {
	/** It exceeds its limit. */
	TooLarge: 'too-large',
	/** The caller closed the connection inside it, or its framing is not valid. */
	Aborted: 'aborted',
	/** There was no room for it within the waiting time. */
	NoRoom: 'no-room',
	/** It made no progress for too long. */
	Stalled: 'stalled',
} as const;

export type UnusableBody = (typeof UnusableBody)[keyof typeof UnusableBody];

/** Who sends a body, and its limits. */
export type BodyOptions = Pick<HoldingOptions, 'party' | 'rank' | 'idleMs'> & {
	/** Maximum length of the body, in bytes. Of a longer one, the rest is not read. */
	readonly maxBytes: number;
};

/** Room that is asked for at a time for a body without a stated length, in bytes. */
const STEP_BYTES = 65_536;

/**
 * Reads a body. The request stream stays open on a failure, so that an error response can still be sent.
 *
 * @param res - Response to the request whose body is read. The body is charged to the account until it closes.
 * @returns The complete body, or why it is not used.
 */
export async function readHeldBody(res: ServerResponse, account: MemoryAccount, options: BodyOptions): Promise<Uint8Array | UnusableBody> {
	return new Promise(resolve => {
		BodyReading.start(res, account, options, resolve);
	});
}

/** One body that is being read. */
class BodyReading {
	static start(res: ServerResponse, account: MemoryAccount, options: BodyOptions, resolve: (body: Uint8Array | UnusableBody) => void): void {
		const reading = new BodyReading(res, account, options, resolve);
		reading.#begin(res);
	}

	readonly #req: IncomingMessage;
	readonly #maxBytes: number;
	readonly #resolve: (body: Uint8Array | UnusableBody) => void;
	/** `undefined` for a chunked body. */
	readonly #statedBytes: number | undefined;
	readonly #body: ByteCollector;
	readonly #holding: Holding;
	#reader: MessageReader | undefined;
	#isSettled = false;

	private constructor({req}: ServerResponse, account: MemoryAccount, {maxBytes, ...owner}: BodyOptions, resolve: (body: Uint8Array | UnusableBody) => void) {
		this.#req = req;
		this.#maxBytes = maxBytes;
		this.#resolve = resolve;
		this.#statedBytes = req.headers['transfer-encoding'] === undefined ? Number(req.headers['content-length'] ?? 0) : undefined;
		this.#body = ByteCollector.create(this.#statedBytes);
		this.#holding = account.open({
			...owner,
			kind: HoldingKind.Body,
			progress: () => this.#body.length,
			onRefused: () => {
				this.#fail(UnusableBody.NoRoom);
			},
			onStalled: () => {
				this.#fail(UnusableBody.Stalled);
			},
		});
	}

	#begin(res: ServerResponse): void {
		const abort = () => {
			this.#fail(UnusableBody.Aborted);
		};

		res.once('close', () => {
			this.#holding.close();
			abort();
		});
		this.#req.once('close', () => {
			if (!this.#req.complete) {
				abort();
			}
		});
		this.#req.once('error', abort);
		this.#holding.watch();
		if (this.#holding.grow(this.#statedBytes ?? Math.min(STEP_BYTES, this.#maxBytes), () => {
			this.#read();
		})) {
			this.#read();
		}
	}

	#read(): void {
		this.#reader = MessageReader.start(this.#req, {
			onBytes: bytes => {
				this.#add(bytes);
			},
			onEnd: () => {
				this.#complete();
			},
		});
	}

	#add(bytes: Uint8Array): void {
		if (this.#isSettled) {
			return;
		}

		if (this.#body.length + bytes.length > this.#maxBytes) {
			this.#fail(UnusableBody.TooLarge);
			return;
		}

		this.#body.add(bytes);
		const {heldBytes} = this.#body;
		if (heldBytes > this.#holding.bytes) {
			// The bytes are held already; the next ones are not read before there is room.
			this.#holding.set(heldBytes);
			if (this.#holding.waiter === undefined && !this.#holding.grow(heldBytes + STEP_BYTES, () => {
				this.#reader!.resume();
			})) {
				this.#reader!.pause();
			}
		}
	}

	#complete(): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			this.#holding.unwatch();
			this.#holding.cancelWait();
			this.#holding.set(this.#body.heldBytes);
			this.#resolve(this.#body.take());
		}
	}

	#fail(reason: UnusableBody): void {
		if (!this.#isSettled) {
			this.#isSettled = true;
			this.#reader?.close();
			this.#body.clear();
			this.#holding.close();
			this.#resolve(reason);
		}
	}
}
