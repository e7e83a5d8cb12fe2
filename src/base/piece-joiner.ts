/**
 * Joins the pieces of a message that arrive in one turn of the event loop, so that what follows works once for each read
 * and not once for each chunk of the peer. Reading stops for a while after a read of very many pieces, as each of them
 * costs a call of the parser.
 */
import process from 'node:process';
import {setImmediate} from 'node:timers';
import {ByteCollector} from './byte-collector.js';

/** Number of pieces in one turn above which a message waits for its next turn; a read of 64 KB can have 10,000. */
const MAX_PIECES_PER_TURN = 1024;

/** What pieces are read from and where their bytes go. */
export type JoinedReading = {
	/** Receives the bytes of all pieces of a turn. */
	onBytes(bytes: Uint8Array): void;
	/** Stops reading from the peer; pieces that were read already may still follow. */
	stopReading(): void;
	startReading(): void;
};

/** Messages that wait for their turn. One reads on in each turn of the event loop, whatever their number. */
class Turns {
	readonly #waiting = new Set<() => void>();
	#isScheduled = false;

	wait(readOn: () => void): void {
		this.#waiting.add(readOn);
		this.#schedule();
	}

	leave(readOn: () => void): void {
		this.#waiting.delete(readOn);
	}

	#schedule(): void {
		if (!this.#isScheduled && this.#waiting.size > 0) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#isScheduled = false;
				const [readOn] = this.#waiting;
				if (readOn !== undefined) {
					this.#waiting.delete(readOn);
					readOn();
				}

				this.#schedule();
			});
		}
	}
}

const turns = new Turns();

/** Joins the pieces of one message. */
export class PieceJoiner {
	static create(reading: JoinedReading): PieceJoiner {
		return new PieceJoiner(reading);
	}

	readonly #reading: JoinedReading;
	/** The only piece of this turn, which is passed on without a copy. */
	#single: Uint8Array | undefined;
	readonly #joined = ByteCollector.create();
	#pieceCount = 0;
	#isFlushScheduled = false;
	#isPaused = false;
	#isWaitingForTurn = false;
	#isClosed = false;

	private constructor(reading: JoinedReading) {
		this.#reading = reading;
	}

	push(piece: Uint8Array): void {
		if (this.#isClosed) {
			return;
		}

		this.#pieceCount += 1;
		if (this.#single === undefined && this.#joined.length === 0) {
			this.#single = piece;
		} else {
			if (this.#single !== undefined) {
				this.#joinSingle(this.#single);
			}

			this.#joined.add(piece);
		}

		if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			process.nextTick(() => {
				this.#isFlushScheduled = false;
				this.#onTurnEnd();
			});
		}
	}

	/** Holds back what has been read and stops reading. */
	pause(): void {
		if (!this.#isPaused) {
			this.#isPaused = true;
			this.#reading.stopReading();
		}
	}

	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.flush();
			this.#startReading();
		}
	}

	/** Passes on what is held, also while paused, as at the end of the message. */
	flush(): void {
		const bytes: Uint8Array = this.#single ?? this.#joined.take();
		this.#single = undefined;
		if (bytes.length > 0) {
			this.#reading.onBytes(bytes);
		}
	}

	/** Drops what is held; nothing more is passed on, and the connection is no longer kept from reading. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#single = undefined;
		this.#joined.clear();
		turns.leave(this.#readOn);
		if (this.#isPaused || this.#isWaitingForTurn) {
			this.#reading.startReading();
		}
	}

	#joinSingle(piece: Uint8Array): void {
		this.#joined.add(piece);
		this.#single = undefined;
	}

	#onTurnEnd(): void {
		if (this.#isClosed) {
			return;
		}

		if (this.#pieceCount > MAX_PIECES_PER_TURN && !this.#isWaitingForTurn) {
			this.#isWaitingForTurn = true;
			this.#reading.stopReading();
			turns.wait(this.#readOn);
		}

		this.#pieceCount = 0;
		if (!this.#isPaused) {
			this.flush();
		} else if (this.#single !== undefined) {
			this.#joinSingle(this.#single);
		}
	}

	readonly #readOn = (): void => {
		this.#isWaitingForTurn = false;
		this.#startReading();
	};

	#startReading(): void {
		if (!this.#isPaused && !this.#isWaitingForTurn && !this.#isClosed) {
			this.#reading.startReading();
		}
	}
}
