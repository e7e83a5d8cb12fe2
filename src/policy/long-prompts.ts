/**
 * Divides a pool so that long prefills do not delay short prompts everywhere.
 *
 * Engines prefill in order of arrival, and a node does not see the prompts that other nodes have just sent. All nodes
 * derive the same division from the IDs, without messages.
 */
import {createHash} from 'node:crypto';
import {type UpstreamState} from './upstream-state.js';

/** Part of the upstreams that take long prefills. */
const LONG_PART = 2 / 3;
/** A longer prefill delays the requests behind it noticeably. */
export const LONG_PREFILL_MS = 250;

/** Marks the upstreams that take long prefills. */
export function divideForLongPrompts(members: Iterable<UpstreamState>): void {
	const ranked = [...members].map(state => ({state, rank: rankOf(state.view.id)}));
	ranked.sort((a, b) => a.rank < b.rank ? -1 : 1);
	const count = Math.ceil(ranked.length * LONG_PART);
	for (const [index, {state}] of ranked.entries()) {
		state.takesLongPrompts = index < count;
	}
}

function rankOf(id: string): string {
	return createHash('sha256').update(id).digest('hex');
}
