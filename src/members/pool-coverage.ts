/**
 * Which upstreams a node needs beyond its regular assignment, so that it can serve the callers of every pool. Performs
 * no I/O.
 */
import {hashText, mixHashes} from './hash.js';

/** Upstreams of each pool that a node reaches, where the pool has that many. */
export const MIN_UPSTREAMS_PER_POOL = 2;

/** What an upstream is assigned by. */
export type AssignedUpstream = {
	readonly id: string;
	/** `<team>/<service>`. */
	readonly pool: string;
	readonly region: string;
	readonly dataCentre: string;
};

type Node = {readonly id: string; readonly region: string};

type Rule = {
	/** Whether the rule holds without a further upstream. */
	readonly isMet: (reached: readonly AssignedUpstream[]) => boolean;
	/** Whether an upstream helps to meet the rule. */
	readonly helps: (upstream: AssignedUpstream, reached: readonly AssignedUpstream[]) => boolean;
};

/**
 * The upstreams of one pool that a node needs in addition: one of its own region, one of another region, two data
 * centres, and `MIN_UPSTREAMS_PER_POOL` in all, each as far as the pool has them. The upstream of another region is
 * what the node sends to when the upstreams of its region are lost.
 *
 * @param node - The node.
 * @param pool - All upstreams of the pool.
 * @param assigned - The IDs of the upstreams that the node has.
 */
export function missingUpstreams(node: Node, pool: readonly AssignedUpstream[], assigned: ReadonlySet<string>): AssignedUpstream[] {
	const reached = pool.filter(({id}) => assigned.has(id));
	const added: AssignedUpstream[] = [];
	for (const {isMet, helps} of rulesFor(node)) {
		while (!isMet(reached)) {
			const found = best(node, pool.filter(upstream => !reached.includes(upstream) && helps(upstream, reached)));
			if (!found) {
				break;
			}

			reached.push(found);
			added.push(found);
		}
	}

	return added;
}

function rulesFor({region}: Node): readonly Rule[] {
	const isNear = (upstream: AssignedUpstream) => upstream.region === region;
	const isFar = (upstream: AssignedUpstream) => upstream.region !== region;
	return [
		{isMet: reached => reached.some(upstream => isNear(upstream)), helps: isNear},
		{isMet: reached => reached.some(upstream => isFar(upstream)), helps: isFar},
		{
			isMet: reached => new Set(reached.map(upstream => siteOf(upstream))).size > 1,
			helps: (upstream, reached) => reached.every(other => siteOf(other) !== siteOf(upstream)),
		},
		{isMet: reached => reached.length >= MIN_UPSTREAMS_PER_POOL, helps: () => true},
	];
}

function siteOf({region, dataCentre}: AssignedUpstream): string {
	return `${region}/${dataCentre}`;
}

/** The first by rendezvous hashing, so that a choice changes only with the candidates. */
function best({id}: Node, candidates: readonly AssignedUpstream[]): AssignedUpstream | undefined {
	const own = hashText(id);
	let found: AssignedUpstream | undefined;
	let highest = -1;
	for (const candidate of candidates) {
		const score = mixHashes(own, hashText(candidate.id));
		if (score > highest) {
			[found, highest] = [candidate, score];
		}
	}

	return found;
}
