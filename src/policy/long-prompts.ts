/**
 * Divides a pool so that long prefills do not delay short prompts everywhere.
 *
 * Engines prefill in order of arrival, and a node does not see the prompts that other nodes have just sent. All nodes
 * derive the same division from the IDs, without messages.
 */
import {type UpstreamState} from './upstream-state.js';

/** Part of the upstreams that take long prefills. */
const LONG_PART = 2 / 3;
/** A longer prefill delays the requests behind it noticeably. */
export const LONG_PREFILL_MS = 250;

/** Marks the upstreams that take long prefills. */
export function divideForLongPrompts(members: Iterable<UpstreamState>): void {
	const ranked = [...members].sort((a, b) => hash(a.view.id) - hash(b.view.id));
	const count = Math.ceil(ranked.length * LONG_PART);
	for (const [rank, state] of ranked.entries()) {
		state.takesLongPrompts = rank < count;
	}
}

/** FNV-1a with a final mix, as the IDs differ in their last characters only. */
function hash(text: string): number {
	let value = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index += 1) {
		value = Math.imul(value ^ text.codePointAt(index)!, 0x01_00_01_93);
	}

	value = Math.imul(value ^ (value >>> 16), 0x85_EB_CA_6B);
	return (value ^ (value >>> 13)) >>> 0;
}
