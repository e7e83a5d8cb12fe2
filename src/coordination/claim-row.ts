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
	/** Identity of the process whose attempt wrote the row. */
	holder: z.string(),
	digest: z.string(),
	/** False if the row only records the dispatch and never an answer. */
	keepsAnswer: z.boolean(),
	/** Time of the claim on the shared claim clock, in ms; used only for garbage collection. */
	claimedAt: z.number(),
	answer: storedAnswerSchema.optional(),
});

export type ClaimValue = z.infer<typeof claimValueSchema>;

/** @returns The row key of a request; hashed, since customers and keys may have any characters and any length. */
export function claimRowKey({customer, pool, key}: Pick<ClaimRequest, 'customer' | 'pool' | 'key'>): string {
	return CLAIM_PREFIX + createHash('sha256').update(JSON.stringify([customer, pool, key])).digest('hex');
}

/** @returns The parsed value of a row, or `undefined` if it is corrupt. */
export function parseClaim(text: string): ClaimValue | undefined {
	return claimValueSchema.safeParse(parseJson(text)).data;
}
