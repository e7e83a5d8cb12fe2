/**
 * What the allocator needs to know of a request, derived from its head, its route and its customer.
 */
import {createHash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {type CallHead, type GenerationSize} from './call-codec.js';
import {
	type Customer, type PoolSettings, type Quota, type Route,
} from './routing-table.js';

/** Route ranks are below this value, so that the customer's rank takes precedence. */
const RANKS_PER_CUSTOMER_RANK = 10;
const MAX_ROUTE_RANK = RANKS_PER_CUSTOMER_RANK - 1;
/** Fraction of the maximum output that is expected when the caller gives no estimate. */
const EXPECTED_OUTPUT_FRACTION = 0.5;

/** @returns A single rank in which the customer's rank takes precedence over the route's. */
export function combinedRank(route: Route, customer: Customer | undefined): number {
	return ((customer?.rank ?? 0) * RANKS_PER_CUSTOMER_RANK) + Math.min(MAX_ROUTE_RANK, route.rank);
}

/** @returns What a request costs of its customer's quota, in the quota's unit. */
export function quotaCost(quota: Quota | undefined, generation: GenerationSize | undefined): number {
	if (quota === undefined) {
		return 0;
	}

	if (!quota.isInTokens) {
		return 1;
	}

	return generation === undefined ? quota.plainTokens : generation.promptTokens + generation.maxOutputTokens;
}

/** @returns Number of events that the answer of an engine is expected to have; 0 for other operations. */
export function expectedOutputEvents({generation}: CallHead, pool: PoolSettings): number {
	if (generation === undefined || !pool.isEngine) {
		return 0;
	}

	const tokens = generation.expectedOutputTokens ?? (generation.maxOutputTokens * EXPECTED_OUTPUT_FRACTION);
	return tokens / pool.tokensPerEvent;
}

/** Identifies requests that share the blame for a crash: same method, path, customer and body. */
export function requestFingerprint(req: IncomingMessage, customer: Customer | undefined, body: Uint8Array | undefined): string {
	const hash = createHash('sha256').update(`${req.method!} ${req.url!}\n${customer?.name ?? ''}\n`);
	return hash.update(body ?? '').digest('base64').slice(0, 16);
}
