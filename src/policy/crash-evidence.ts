/**
 * IDs of crashes, which tell how strong the evidence is that an upstream crashed.
 *
 * A loss without a refused connection has the same ID on all nodes and each time, so that one upstream that drops
 * connections counts once against a request.
 */

const SEVERAL = 'several';
const SEPARATOR = ' ';

/** Makes IDs of crashes. */
export const crashId = {
	/** The request was alone at the upstream; the upstream may only have dropped the connection. */
	alone: (upstreamId: string) => upstreamId,
	/** Several requests were lost at once. */
	several: (upstreamId: string) => `${upstreamId}${SEPARATOR}${SEVERAL}`,
	/** @param event - Unique over all nodes. */
	refused: (upstreamId: string, event: string) => `${upstreamId}${SEPARATOR}${event}`,
} as const;

/** @returns Crashes, where an upstream without a refused connection counts once. */
export function countCrashes(crashes: Iterable<string>): number {
	return count(crashes, true);
}

/** @returns Crashes with more evidence than the loss of a single request. */
export function countProvenCrashes(crashes: Iterable<string>): number {
	return count(crashes, false);
}

function count(crashes: Iterable<string>, includesAlone: boolean): number {
	const refusals = new Map<string, number>();
	for (const crash of crashes) {
		const [upstreamId, event] = crash.split(SEPARATOR) as [string, string?];
		if (event !== undefined || includesAlone) {
			const isRefused = event !== undefined && event !== SEVERAL;
			refusals.set(upstreamId, (refusals.get(upstreamId) ?? 0) + (isRefused ? 1 : 0));
		}
	}

	let total = 0;
	for (const value of refusals.values()) {
		total += Math.max(1, value);
	}

	return total;
}
