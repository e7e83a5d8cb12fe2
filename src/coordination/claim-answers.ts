/**
 * Storage of answers kept for replay: small answers in the claim row, larger ones in the object store.
 *
 * Object keys have the prefix `claim-answer/`. The object store has no delete operation; a lifecycle rule of the
 * platform removes the objects after a day or more.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Clock} from '../base/clock.js';
import {type ObjectStore} from '../store/object-store.js';
import {type RecordedAnswer} from './claims.js';
import {withStoreTimeout} from './timeout.js';

/** Maximum size of an answer body stored in the row, in bytes. */
const MAX_INLINE_BYTES = 64 * 1024;
const STORE_TIMEOUT_MS = 5000;

/** An answer as stored in a claim row. */
export const storedAnswerSchema = z.object({
	status: z.number().int(),
	contentType: z.string().optional(),
	/** Body in base64; absent if the body is stored as an object. */
	body: z.string().optional(),
	/** Key of the object that stores the body. */
	objectKey: z.string().optional(),
});

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Stores and loads answers for replay. */
export class ClaimAnswers {
	static create(clock: Clock, objects: ObjectStore): ClaimAnswers {
		return new ClaimAnswers(clock, objects);
	}

	readonly #clock: Clock;
	readonly #objects: ObjectStore;

	private constructor(clock: Clock, objects: ObjectStore) {
		this.#clock = clock;
		this.#objects = objects;
	}

	/**
	 * Stores the body in the object store if it is too large for the row. Idempotent.
	 *
	 * @param token - Token of the claim, which becomes part of the object key.
	 * @returns The answer to store in the row, or `failed` if the object could not be written.
	 */
	async store(token: string, {status, contentType, body}: RecordedAnswer): Promise<StoredAnswer | 'failed'> {
		if (body.byteLength <= MAX_INLINE_BYTES) {
			return {status, contentType, body: Buffer.from(body).toString('base64')};
		}

		const objectKey = `claim-answer/${token}`;
		const put = await withStoreTimeout(this.#clock, this.#objects.put(objectKey, body), STORE_TIMEOUT_MS);
		return put.isOk ? {status, contentType, objectKey} : 'failed';
	}

	/** @returns The answer; `missing` if its object does not exist, `failed` if it cannot be read now. */
	async load({status, contentType, body, objectKey}: StoredAnswer, timeoutMs: number): Promise<RecordedAnswer | 'missing' | 'failed'> {
		if (objectKey === undefined) {
			return {status, contentType, body: Buffer.from(body ?? '', 'base64')};
		}

		const read = await withStoreTimeout(this.#clock, this.#objects.get(objectKey), timeoutMs);
		if (read.isErr) {
			return 'failed';
		}

		return read.value === undefined ? 'missing' : {status, contentType, body: read.value};
	}
}
