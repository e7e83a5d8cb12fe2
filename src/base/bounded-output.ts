/**
 * Non-blocking log output. Lines are written asynchronously; lines that exceed a bounded buffer are dropped and counted.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {Writable} from 'node:stream';
import {setTimeout} from 'node:timers';

/** Size of the write buffer: several thousand lines. Lines that exceed it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Delay before a write to a full pipe is retried, in ms; short compared with the seconds of output that the buffer holds. */
const RETRY_DELAY_MS = 10;

/** Writable stream to a file descriptor. */
export class BoundedOutput extends Writable {
	/** @param descriptor - File descriptor, such as 1 for standard output. */
	static create(descriptor: number): BoundedOutput {
		return new BoundedOutput(descriptor);
	}

	readonly #descriptor: number;
	#chunks: string[] = [];
	#bufferedBytes = 0;
	#droppedLines = 0;
	#isWriting = false;
	readonly #onDrained: Array<() => void> = [];

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
			this.#flush();
		}

		callback();
	}

	/** Waits until all lines so far are written; a reader that does not read delays this without limit. */
	async drain(): Promise<void> {
		if (this.#isWriting) {
			await new Promise<void>(resolve => {
				this.#onDrained.push(resolve);
			});
		}
	}

	#flush(): void {
		if (this.#isWriting) {
			return;
		}

		if (this.#chunks.length === 0) {
			for (const resolve of this.#onDrained.splice(0)) {
				resolve();
			}

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

	#writeAll(bytes: Uint8Array, offset: number): void {
		write(this.#descriptor, bytes, offset, bytes.length - offset, null, (err, written) => {
			const nextOffset = offset + (written ?? 0);
			if (err?.code === 'EAGAIN') {
				// Another holder of the descriptor made it non-blocking, and the kernel buffer is full.
				setTimeout(() => {
					this.#writeAll(bytes, offset);
				}, RETRY_DELAY_MS);
				return;
			}

			if (err === null && nextOffset < bytes.length) {
				this.#writeAll(bytes, nextOffset);
				return;
			}

			// If the reader has closed its end, the lines are lost; there is no other output to report the error on.
			this.#bufferedBytes = this.#chunks.reduce((sum, text) => sum + text.length, 0);
			this.#isWriting = false;
			this.#flush();
		});
	}
}
