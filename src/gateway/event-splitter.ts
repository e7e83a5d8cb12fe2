/**
 * Splits a `text/event-stream` at event boundaries, so that a caller whose stream may resume at another upstream receives
 * only complete events.
 */
import {Buffer} from 'node:buffer';
import {ByteCollector} from '../base/byte-collector.js';
import {isHeaderValue} from '../base/header-text.js';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const OK_STATUS = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';
const ID_FIELD = Buffer.from('id:');
/** Number of bytes of the end of an event that can be in the chunk before its last byte. */
const MAX_SPLIT_END_BYTES = 2;
const EMPTY = new Uint8Array();

/** Maximum length of a stream event, in bytes; typical events are under 1 KB. */
export const MAX_EVENT_BYTES = 262_144;

/** The bytes of complete events and how many there are. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly count: number;
};

/** Buffers the incomplete event between chunks, with work that is linear in the bytes whatever the size of the chunks. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	/** ID of the last complete event, as sent by the upstream. */
	lastId: string | undefined;
	readonly #partialEvent = ByteCollector.create();
	/** The last bytes of the incomplete event, in which the blank line that ends it can begin. */
	#lastBytes = EMPTY;
	/** Whether the incomplete event has other bytes than line ends. */
	#hasContent = false;

	private constructor() {
		// Instances come from `create`.
	}

	/** Whether the bytes so far end inside an event. Line ends between events belong to none. */
	get isInsideEvent(): boolean {
		const isEnded = this.#lastBytes.length > 1 && this.#lastBytes.every(byte => byte === CARRIAGE_RETURN);
		return !isEnded && this.#hasContent;
	}

	/** Whether another upstream can be told, in a header, after which event it has to go on. */
	get canResume(): boolean {
		return this.lastId === undefined || isHeaderValue(this.lastId);
	}

	/** Whether the incomplete event exceeds the maximum event length. */
	get isOversized(): boolean {
		return this.#partialEvent.length > MAX_EVENT_BYTES;
	}

	/** Discards the incomplete event after its upstream was lost. */
	reset(): void {
		this.#partialEvent.clear();
		this.#lastBytes = EMPTY;
		this.#hasContent = false;
	}

	/** @returns The events completed by this chunk; the remaining bytes are buffered. */
	push(chunk: Uint8Array): CompleteEvents {
		const unsearched = this.#lastBytes.length === 0 ? chunk : Buffer.concat([this.#lastBytes, chunk]);
		const firstEnd = findEventEnd(unsearched, 0);
		if (firstEnd === -1) {
			this.#buffer(chunk, unsearched);
			return {bytes: EMPTY, count: 0};
		}

		const bytes = this.#partialEvent.length === 0 ? chunk : this.#takeWith(chunk);
		let start = 0;
		let count = 0;
		for (let end = bytes.length - unsearched.length + firstEnd; end !== -1; end = findEventEnd(bytes, start)) {
			this.#recordId(bytes.subarray(start, end));
			start = end;
			count += 1;
		}

		this.reset();
		this.#buffer(bytes.subarray(start), bytes.subarray(start));
		return {bytes: bytes.subarray(0, start), count};
	}

	/** @param end - Bytes with which the incomplete event ends, these ones included. */
	#buffer(bytes: Uint8Array, end: Uint8Array): void {
		this.#partialEvent.add(bytes);
		this.#lastBytes = Uint8Array.from(end.subarray(-MAX_SPLIT_END_BYTES));
		this.#hasContent ||= bytes.some(byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
	}

	#takeWith(chunk: Uint8Array): Uint8Array {
		this.#partialEvent.add(chunk);
		return this.#partialEvent.take();
	}

	#recordId(event: Uint8Array): void {
		for (let start = 0; start < event.length;) {
			const lineFeedIndex = event.indexOf(LINE_FEED, start);
			const end = lineFeedIndex === -1 ? event.length : lineFeedIndex;
			if (ID_FIELD.every((byte, index) => event[start + index] === byte)) {
				this.lastId = Buffer.from(event.buffer, event.byteOffset + start, end - start).toString('latin1', ID_FIELD.length).trim();
			}

			start = end + 1;
		}
	}
}

/**
 * @param contentType - As in the response; servers need not state it.
 * @returns Whether a response can continue an event stream that another upstream began.
 */
export function continuesEventStream(status: number, contentType: string | undefined): boolean {
	return status === OK_STATUS && (contentType === undefined || contentType.trim().toLowerCase().startsWith(EVENT_STREAM_TYPE));
}

/** @returns The index after the blank line that ends the event starting at `from`, or -1. */
function findEventEnd(bytes: Uint8Array, from: number): number {
	for (let lineFeedIndex = bytes.indexOf(LINE_FEED, from); lineFeedIndex !== -1; lineFeedIndex = bytes.indexOf(LINE_FEED, lineFeedIndex + 1)) {
		const next = bytes[lineFeedIndex + 1];
		if (next === LINE_FEED) {
			return lineFeedIndex + 2;
		}

		if (next === CARRIAGE_RETURN && bytes[lineFeedIndex + 2] === LINE_FEED) {
			return lineFeedIndex + 3;
		}
	}

	return -1;
}
