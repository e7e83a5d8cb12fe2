/**
 * Log output that never blocks: lines are written in the background, and lines beyond a bounded buffer are dropped and
 * counted.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {Writable} from 'node:stream';
import {setTimeout} from 'node:timers';

/** Unwritten bytes at which lines are dropped; some thousand lines. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Time until a full buffer is tried again, in ms; short beside the seconds that the lines kept here last. */
const RETRY_MS = 10;

/** A stream to a file descriptor. */
export class BoundedOutput extends Writable {
	/** @param descriptor - 1 for standard output. */
	static create(descriptor: number): BoundedOutput {
		return new BoundedOutput(descriptor);
	}

	readonly #descriptor: number;
	#chunks: string[] = [];
	#bufferedBytes = 0;
	#droppedLines = 0;
	#isWriting = false;

	private constructor(descriptor: number) {
		super({decodeStrings: false});
		this.#descriptor = descriptor;
	}

	override _write(chunk: string | Uint8Array, _encoding: string, callback: () => void): void {
		const text = typeof chunk === 'string' ? chunk : Buffer.from(chunk).toString();
		if (this.#bufferedBytes + text.length > MAX_BUFFERED_BYTES) {
			this.#droppedLines += 1;
		} else {
			this.#chunks.push(text);
			this.#bufferedBytes += text.length;
			this.#pump();
		}

		callback();
	}

	#pump(): void {
		if (this.#isWriting || this.#chunks.length === 0) {
			return;
		}

		this.#isWriting = true;
		if (this.#droppedLines > 0) {
			this.#chunks.push(`${JSON.stringify({level: 'warn', message: 'serve: Log lines dropped.', lines: this.#droppedLines})}\n`);
			this.#droppedLines = 0;
		}

		const bytes = Buffer.from(this.#chunks.join(''));
		this.#chunks = [];
		this.#writeAll(bytes, 0);
	}

	#writeAll(bytes: Uint8Array, from: number): void {
		write(this.#descriptor, bytes, from, bytes.length - from, null, (err, written) => {
			const next = from + (written ?? 0);
			if (err?.code === 'EAGAIN') {
				// Whoever shares the descriptor made it non-blocking, and its buffer is full.
				setTimeout(() => {
					this.#writeAll(bytes, from);
				}, RETRY_MS);
				return;
			}

			if (err === null && next < bytes.length) {
				this.#writeAll(bytes, next);
				return;
			}

			// A reader that is gone loses the lines; there is nowhere else to report it.
			this.#bufferedBytes = this.#chunks.reduce((sum, text) => sum + text.length, 0);
			this.#isWriting = false;
			this.#pump();
		});
	}
}
