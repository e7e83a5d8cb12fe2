/**
 * Partitions a pool so that long prefills delay short prompts on only a part of its upstreams.
 *
 * Engines prefill in order of arrival, and a node does not see prompts that other nodes have just sent. All nodes
 * derive the same partition from a hash of the upstream IDs, without coordination.
 */
import {createHash} from 'node:crypto';
import {type UpstreamState} from './upstream-state.js';

/** Fraction of the upstreams that accept long prefills. */
const LONG_PROMPT_FRACTION = 2 / 3;
/** Prefills longer than this noticeably delay subsequent requests and count as long. */
export const LONG_PREFILL_MS = 250;

/** Sets `takesLongPrompts` on each upstream. */
export function partitionForLongPrompts(members: Iterable<UpstreamState>): void {
	const ranked = [...members].map(state => ({state, rank: rankOf(state.view.id)}));
	ranked.sort((a, b) => a.rank < b.rank ? -1 : 1);
	const count = Math.ceil(ranked.length * LONG_PROMPT_FRACTION);
	for (const [index, {state}] of ranked.entries()) {
		state.takesLongPrompts = index < count;
	}
}

function rankOf(id: string): string {
	return createHash('sha256').update(id).digest('hex');
}
