/**
 * Selects the upstreams that a node needs beyond its regular assignment so that it can serve the callers of every pool.
 * Performs no I/O.
 */
import {hashText, mixHashes} from './hash.js';

/** Minimum number of upstreams of each pool per node, if the pool has that many. */
export const MIN_UPSTREAMS_PER_POOL = 2;

/** The properties of an upstream that determine its assignment. */
export type AssignableUpstream = {
	readonly id: string;
	/** `<team>/<service>`. */
	readonly pool: string;
	readonly region: string;
	readonly dataCentre: string;
};

type Node = {readonly id: string; readonly region: string};

type CoverageRule = {
	/** Whether the reachable upstreams satisfy the rule. */
	readonly isSatisfied: (reachable: readonly AssignableUpstream[]) => boolean;
	/** Whether adding an upstream helps to satisfy the rule. */
	readonly contributes: (upstream: AssignableUpstream, reachable: readonly AssignableUpstream[]) => boolean;
};

/**
 * Returns the additional upstreams of one pool that a node needs: at least one in its own region, one in another
 * region, two data centres, and `MIN_UPSTREAMS_PER_POOL` in total, each as far as the pool has them. The node fails over
 * to the upstream of another region when those of its own are lost.
 *
 * @param node - The node to cover.
 * @param pool - All upstreams of the pool.
 * @param assigned - IDs of the upstreams already assigned to the node.
 */
export function missingUpstreams(node: Node, pool: readonly AssignableUpstream[], assigned: ReadonlySet<string>): AssignableUpstream[] {
	const reachable = pool.filter(({id}) => assigned.has(id));
	const added: AssignableUpstream[] = [];
	for (const {isSatisfied, contributes} of rulesFor(node)) {
		while (!isSatisfied(reachable)) {
			const found = highestRanked(node, pool.filter(upstream => !reachable.includes(upstream) && contributes(upstream, reachable)));
			if (!found) {
				break;
			}

			reachable.push(found);
			added.push(found);
		}
	}

	return added;
}

function rulesFor({region}: Node): readonly CoverageRule[] {
	const isLocal = (upstream: AssignableUpstream) => upstream.region === region;
	const isRemote = (upstream: AssignableUpstream) => upstream.region !== region;
	return [
		{isSatisfied: reachable => reachable.some(upstream => isLocal(upstream)), contributes: isLocal},
		{isSatisfied: reachable => reachable.some(upstream => isRemote(upstream)), contributes: isRemote},
		{
			isSatisfied: reachable => new Set(reachable.map(upstream => dataCentreKey(upstream))).size > 1,
			contributes: (upstream, reachable) => reachable.every(other => dataCentreKey(other) !== dataCentreKey(upstream)),
		},
		{isSatisfied: reachable => reachable.length >= MIN_UPSTREAMS_PER_POOL, contributes: () => true},
	];
}

function dataCentreKey({region, dataCentre}: AssignableUpstream): string {
	return `${region}/${dataCentre}`;
}

/** Returns the candidate with the highest rendezvous score, so that the choice depends only on the candidates. */
function highestRanked({id}: Node, candidates: readonly AssignableUpstream[]): AssignableUpstream | undefined {
	const nodeHash = hashText(id);
	let found: AssignableUpstream | undefined;
	let highestScore = -1;
	for (const candidate of candidates) {
		const score = mixHashes(nodeHash, hashText(candidate.id));
		if (score > highestScore) {
			[found, highestScore] = [candidate, score];
		}
	}

	return found;
}
