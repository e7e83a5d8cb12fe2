/**
 * Answers kept for replay: small ones in the claim row, larger ones in the object store.
 *
 * Objects have the prefix `claim-answer/`. The object store has no operation that deletes; a lifecycle rule of the
 * platform removes them after a day or more.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {type Clock} from '../base/clock.js';
import {type ObjectStore} from '../store/object-store.js';
import {type RecordedAnswer} from './claims.js';
import {withStoreTimeout} from './timeout.js';

/** Bytes of an answer that are kept in the row. */
const MAX_INLINE_BYTES = 64 * 1024;
const STORE_TIMEOUT_MS = 5000;

/** An answer as it is in a claim row. */
export const storedAnswerSchema = z.object({
	status: z.number().int(),
	contentType: z.string().optional(),
	/** Base64; absent where the body is an object. */
	body: z.string().optional(),
	/** Key of the object that holds the body. */
	objectKey: z.string().optional(),
});

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Stores and loads answers. */
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
	 * Stores the body where it is too large for the row; doing so again is harmless.
	 *
	 * @param token - Token of the claim, which names the object.
	 * @returns What the row is to hold.
	 */
	async store(token: string, {status, contentType, body}: RecordedAnswer): Promise<StoredAnswer | 'failed'> {
		if (body.byteLength <= MAX_INLINE_BYTES) {
			return {status, contentType, body: Buffer.from(body).toString('base64')};
		}

		const objectKey = `claim-answer/${token}`;
		const put = await withStoreTimeout(this.#clock, this.#objects.put(objectKey, body), STORE_TIMEOUT_MS);
		return put.isOk ? {status, contentType, objectKey} : 'failed';
	}

	/** @returns The answer; `missing` where its object does not exist, `failed` where it cannot be read now. */
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
