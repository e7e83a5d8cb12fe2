/**
 * Limits of the request path that follow from the memory and the descriptors of a VM.
 */

/** Memory that is assumed where the settings state none, in bytes. */
export const DEFAULT_MEMORY_BYTES = 350_000_000;
/**
 * Part of the memory for bodies and responses. An idle process takes about 85 MB; the rest is for the heap, connections and
 * buffers that were released but not collected yet.
 */
const HELD_RATIO = 0.3;
/** Part of the memory for connections, and what one with an unfinished head takes, in bytes. */
const CONNECTION_RATIO = 0.2;
const CONNECTION_BYTES = 24_576;
/** Part of the descriptors for callers; each request takes another one towards its upstream. */
const CALLER_DESCRIPTOR_RATIO = 0.45;

/** @returns Bound on the bytes that are held for callers and upstreams. */
export function heldLimitBytes(memoryBytes = DEFAULT_MEMORY_BYTES): number {
	return Math.floor(memoryBytes * HELD_RATIO);
}

/** @returns Maximum number of callers' connections. */
export function maxCallerConnections(memoryBytes = DEFAULT_MEMORY_BYTES, maxDescriptors = Number.POSITIVE_INFINITY): number {
	return Math.floor(Math.min(memoryBytes * CONNECTION_RATIO / CONNECTION_BYTES, maxDescriptors * CALLER_DESCRIPTOR_RATIO));
}
