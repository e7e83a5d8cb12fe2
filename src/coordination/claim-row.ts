/**
 * Keys and values of claim rows.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {type Clock} from '../base/clock.js';
import {type ClaimRequest, type RecordedAnswer} from './claims.js';

/** Prefix of all claim rows. */
export const CLAIM_PREFIX = 'claim/';

/** Bytes of an answer that are kept in the row; a larger body goes to the object store. */
export const MAX_INLINE_BYTES = 64 * 1024;

const answerSchema = z.object({
	status: z.number().int(),
	contentType: z.string().optional(),
	/** Base64; absent where the body is an object. */
	body: z.string().optional(),
	/** Key of the object that holds the body. */
	objectKey: z.string().optional(),
});

const claimValueSchema = z.object({
	state: z.enum(['claimed', 'done']),
	/** Identity of the node whose attempt wrote the row. */
	holder: z.string(),
	digest: z.string(),
	/** False for notes, whose row keeps only the fact of their dispatch. */
	keepsAnswer: z.boolean(),
	/** Wall-clock time of the claim in ms since the epoch, for garbage collection only. */
	claimedAt: z.number(),
	answer: answerSchema.optional(),
});

export type ClaimValue = z.infer<typeof claimValueSchema>;

export type StoredAnswer = z.infer<typeof answerSchema>;

/** @returns The row key of a request; a hash, since customers and keys contain any characters in any length. */
export function claimRowKey({customer, pool, key}: Pick<ClaimRequest, 'customer' | 'pool' | 'key'>): string {
	return CLAIM_PREFIX + createHash('sha256').update(JSON.stringify([customer, pool, key])).digest('hex');
}

/** @returns The value of a row, or `undefined` where it is corrupt. */
export function parseClaim(text: string): ClaimValue | undefined {
	try {
		return claimValueSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/** @returns The stored form of an answer. */
export function storedAnswer(answer: RecordedAnswer, objectKey: string | undefined): StoredAnswer {
	const {status, contentType, body} = answer;
	return objectKey === undefined
		? {status, contentType, body: Buffer.from(body).toString('base64')}
		: {status, contentType, objectKey};
}

/** Wall-clock time that later jumps of the VM's clock do not change. */
export class SteadyWallClock {
	static create(clock: Clock): SteadyWallClock {
		return new SteadyWallClock(clock);
	}

	readonly #clock: Clock;
	readonly #offset: number;

	private constructor(clock: Clock) {
		this.#clock = clock;
		this.#offset = clock.wallNow() - clock.now();
	}

	/** @returns Milliseconds since the epoch. */
	now(): number {
		return Math.round(this.#clock.now() + this.#offset);
	}
}
