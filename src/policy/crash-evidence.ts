/**
 * Crash IDs, which encode the strength of the evidence that an upstream crashed.
 *
 * A loss without a subsequent refused connection has the same ID on every node and on every occurrence, so that an
 * upstream that drops connections counts only once against a request.
 */

const MULTIPLE_REQUESTS = 'several';
const SEPARATOR = ' ';

/** Builds crash IDs. */
export const crashId = {
	/** A single request was in flight; the upstream may only have dropped its connection. */
	singleRequest: (upstreamId: string) => upstreamId,
	/** Several requests were lost at the same time. */
	multipleRequests: (upstreamId: string) => `${upstreamId}${SEPARATOR}${MULTIPLE_REQUESTS}`,
	/** @param event - Crash identifier that is unique across all nodes. */
	refused: (upstreamId: string, event: string) => `${upstreamId}${SEPARATOR}${event}`,
} as const;

/** @returns Number of crashes; all losses at an upstream without a refused connection count as one. */
export function countCrashes(crashes: Iterable<string>): number {
	return count(crashes, true);
}

/** @returns Number of crashes, excluding those evidenced only by the loss of a single request. */
export function countCorroboratedCrashes(crashes: Iterable<string>): number {
	return count(crashes, false);
}

function count(crashes: Iterable<string>, includesSingleRequests: boolean): number {
	const refusalsByUpstream = new Map<string, number>();
	for (const crash of crashes) {
		const [upstreamId, event] = crash.split(SEPARATOR) as [string, string?];
		if (event !== undefined || includesSingleRequests) {
			const isRefused = event !== undefined && event !== MULTIPLE_REQUESTS;
			refusalsByUpstream.set(upstreamId, (refusalsByUpstream.get(upstreamId) ?? 0) + (isRefused ? 1 : 0));
		}
	}

	let total = 0;
	for (const value of refusalsByUpstream.values()) {
		total += Math.max(1, value);
	}

	return total;
}
