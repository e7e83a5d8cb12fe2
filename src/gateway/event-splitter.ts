/**
 * Cuts a `text/event-stream` at the ends of its events, so that only whole events reach a caller whose stream may go
 * on at another upstream.
 */
import {Buffer} from 'node:buffer';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_FIELD = Buffer.from('id:');

/** Longest event of a stream, in bytes; a usual one has under 1 KB. */
export const MAX_EVENT_BYTES = 262_144;

/** Whole events and what is known of them. */
export type WholeEvents = {
	readonly bytes: Uint8Array;
	readonly count: number;
};

/** Keeps the unfinished event between chunks. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	/** ID of the last whole event, as the upstream wrote it. */
	lastId: string | undefined;
	#rest = Buffer.alloc(0);

	private constructor() {
		// Made by `create`.
	}

	/** Bytes of an event whose end has not arrived. */
	get pendingBytes(): number {
		return this.#rest.length;
	}

	/** Whether the unfinished event is longer than any event may be. */
	get isFlooded(): boolean {
		return this.#rest.length > MAX_EVENT_BYTES;
	}

	/** Forgets an unfinished event, whose upstream is lost. */
	reset(): void {
		this.#rest = Buffer.alloc(0);
	}

	/** @returns The events that are complete with this chunk; the rest is kept. */
	push(chunk: Uint8Array): WholeEvents {
		const bytes = Buffer.concat([this.#rest, chunk]);
		let start = 0;
		let count = 0;
		for (let end = endOfEvent(bytes, start); end !== -1; end = endOfEvent(bytes, start)) {
			this.#noteId(bytes.subarray(start, end));
			start = end;
			count += 1;
		}

		this.#rest = bytes.subarray(start);
		return {bytes: bytes.subarray(0, start), count};
	}

	#noteId(event: Uint8Array): void {
		for (let start = 0; start < event.length;) {
			const feed = event.indexOf(LINE_FEED, start);
			const end = feed === -1 ? event.length : feed;
			const line = Buffer.from(event.buffer, event.byteOffset + start, end - start);
			if (line.subarray(0, ID_FIELD.length).equals(ID_FIELD)) {
				this.lastId = line.toString('latin1', ID_FIELD.length).trim();
			}

			start = end + 1;
		}
	}
}

/** @returns The index after the blank line that ends the event which begins at `from`, or -1. */
function endOfEvent(bytes: Uint8Array, from: number): number {
	for (let feed = bytes.indexOf(LINE_FEED, from); feed !== -1; feed = bytes.indexOf(LINE_FEED, feed + 1)) {
		const next = bytes[feed + 1];
		if (next === LINE_FEED) {
			return feed + 2;
		}

		if (next === CARRIAGE_RETURN && bytes[feed + 2] === LINE_FEED) {
			return feed + 3;
		}
	}

	return -1;
}
