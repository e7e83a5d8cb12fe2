/**
 * Keys and values of claim rows.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {parseJson} from '../base/parse-json.js';
import {storedAnswerSchema} from './claim-answers.js';
import {type ClaimRequest} from './claims.js';

/** Prefix of all claim rows. */
export const CLAIM_PREFIX = 'claim/';

const claimValueSchema = z.object({
	state: z.enum(['claimed', 'done']),
	/** Identity of the node whose attempt wrote the row. */
	holder: z.string(),
	digest: z.string(),
	/** False for notes, whose row keeps only the fact of their dispatch. */
	keepsAnswer: z.boolean(),
	/** Time of the claim by the shared claim clock in ms, for garbage collection only. */
	claimedAt: z.number(),
	answer: storedAnswerSchema.optional(),
});

export type ClaimValue = z.infer<typeof claimValueSchema>;

/** @returns The row key of a request; a hash, since customers and keys contain any characters in any length. */
export function claimRowKey({customer, pool, key}: Pick<ClaimRequest, 'customer' | 'pool' | 'key'>): string {
	return CLAIM_PREFIX + createHash('sha256').update(JSON.stringify([customer, pool, key])).digest('hex');
}

/** @returns The value of a row, or `undefined` where it is corrupt. */
export function parseClaim(text: string): ClaimValue | undefined {
	return claimValueSchema.safeParse(parseJson(text)).data;
}
