/**
 * Assigns upstreams to nodes and selects the node that allocates the shares of an upstream. Performs no I/O.
 *
 * Rendezvous hashing depends only on the set of members, so nodes that know the same members agree without
 * coordination. docs/measurements/members.md compares it with a table of past changes.
 */
import {hashText, mixHashes} from './hash.js';
import {MemberStatus, type MemberView} from './member.js';
import {type AssignableUpstream, missingUpstreams} from './pool-coverage.js';

/** Nodes per upstream, if there are enough. Nodes that need the upstream to cover a pool are added to these. */
export const NODES_PER_UPSTREAM = 16;
/** How many of `NODES_PER_UPSTREAM` are in other regions; they keep using the upstream's region when their own is lost. */
export const REMOTE_NODES_PER_UPSTREAM = 2;

/**
 * The upstreams of a region are assigned in this many groups, so that a node can send its demand for several upstreams
 * to one allocator in one message. Without groups, a node with 35 upstreams has about 35 allocators.
 */
const GROUPS_PER_REGION = 64;
/**
 * Maximum number of upstreams per node as a multiple of the mean, as long as other nodes have capacity left. Without a
 * limit, some of 360 nodes had no upstream at all, because there are few groups.
 */
const MAX_LOAD_FACTOR = 1.15;

type Candidate = {
	readonly member: MemberView;
	readonly hash: number;
};

/** The assignment computed from a set of members and upstreams. */
export class Assignment {
	/**
	 * @param members - All known members. Suspects keep their assignments, so that healing a partition moves none.
	 * @param upstreams - All upstreams of the deployment.
	 */
	static create(members: readonly MemberView[], upstreams: readonly AssignableUpstream[]): Assignment {
		return new Assignment(members, upstreams);
	}

	readonly #nodesOf = new Map<string, MemberView[]>();
	readonly #upstreamsOf = new Map<string, string[]>();

	private constructor(members: readonly MemberView[], upstreams: readonly AssignableUpstream[]) {
		const candidates = members.filter(member => isAssignable(member)).map(member => ({member, hash: hashText(member.id)}));
		const groups = groupUpstreams(upstreams);
		for (const name of [...groups.keys()].toSorted()) {
			const group = groups.get(name)!;
			this.#assignLocalNodes(candidates, name, group, maxUpstreamsPerNode(group[0]!.region, candidates, upstreams));
		}

		for (const upstream of upstreams) {
			this.#assignRemoteNodes(candidates, upstream);
		}

		this.#coverPools(candidates, upstreams);
	}

	/** Returns the nodes assigned to an upstream, highest rank first. */
	nodesOf(upstreamId: string): readonly MemberView[] {
		return this.#nodesOf.get(upstreamId) ?? [];
	}

	/** Returns the IDs of the upstreams assigned to a node. */
	upstreamsOf(memberId: string): readonly string[] {
		return this.#upstreamsOf.get(memberId) ?? [];
	}

	/** Returns the node that divides the upstream's slots: the highest ranked one that is alive. */
	allocatorOf(upstreamId: string): MemberView | undefined {
		return this.nodesOf(upstreamId).find(member => member.status === MemberStatus.Alive);
	}

	/** Assigns a group to nodes of its region. All upstreams of a group have the same local nodes and so one allocator. */
	#assignLocalNodes(candidates: readonly Candidate[], name: string, group: readonly AssignableUpstream[], cap: number): void {
		const {region} = group[0]!;
		const localNodes = rankByRendezvousHash(candidates.filter(({member}) => member.region === region), hashText(name));
		const isFull = ({id}: MemberView) => this.upstreamsOf(id).length + group.length > roundCapForNode(cap, id);
		const nodes = [
			...localNodes.filter(member => !isFull(member)),
			...localNodes.filter(member => isFull(member)),
		].slice(0, localNodeCount(localNodes.length, candidates.length));
		for (const {id} of group) {
			for (const node of nodes) {
				this.#assign(id, node);
			}
		}
	}

	/**
	 * Assigns an upstream to nodes of other regions. Upstreams are assigned one by one here because groups would give some
	 * nodes many and others none.
	 */
	#assignRemoteNodes(candidates: readonly Candidate[], {id, region}: AssignableUpstream): void {
		const remoteNodes = rankByRendezvousHash(candidates.filter(({member}) => member.region !== region), hashText(id));
		for (const node of remoteNodes.slice(0, NODES_PER_UPSTREAM - this.nodesOf(id).length)) {
			this.#assign(id, node);
		}
	}

	/** Assigns each node the additional upstreams that it needs to serve every pool. */
	#coverPools(candidates: readonly Candidate[], upstreams: readonly AssignableUpstream[]): void {
		const pools = new Map<string, AssignableUpstream[]>();
		for (const upstream of upstreams) {
			append(pools, upstream.pool, upstream);
		}

		for (const {member} of candidates) {
			const assigned = new Set(this.upstreamsOf(member.id));
			for (const pool of pools.values()) {
				for (const {id} of missingUpstreams(member, pool, assigned)) {
					this.#assign(id, member);
				}
			}
		}
	}

	#assign(upstreamId: string, node: MemberView): void {
		append(this.#nodesOf, upstreamId, node);
		append(this.#upstreamsOf, node.id, upstreamId);
	}
}

function append<Value>(lists: Map<string, Value[]>, key: string, value: Value): void {
	const list = lists.get(key);
	if (list) {
		list.push(value);
	} else {
		lists.set(key, [value]);
	}
}

/**
 * Rounds the cap up for some nodes and down for others, depending on their hash. When all nodes rounded alike, a join or
 * leave that moved the cap past an integer changed about 400 pairs of 360 nodes and 790 upstreams; other changes moved
 * about 60.
 */
function roundCapForNode(cap: number, memberId: string): number {
	return Math.floor(cap + (hashText(memberId) / (2 ** 32)));
}

/** Returns how many local nodes an upstream gets if `localCount` of `totalCount` nodes are in its region. */
function localNodeCount(localCount: number, totalCount: number): number {
	return Math.min(localCount, NODES_PER_UPSTREAM - Math.min(REMOTE_NODES_PER_UPSTREAM, totalCount - localCount));
}

/** Leaving nodes are excluded: they get no further upstreams, and use those that they have until they stop. */
function isAssignable(member: MemberView): boolean {
	return member.status === MemberStatus.Alive || member.status === MemberStatus.Suspect;
}

/** Returns the number of upstreams at which a node of the region is full and others are preferred. */
function maxUpstreamsPerNode(region: string, candidates: readonly Candidate[], upstreams: readonly AssignableUpstream[]): number {
	const nodes = candidates.filter(({member}) => member.region === region).length;
	const pairs = upstreams.filter(upstream => upstream.region === region).length * localNodeCount(nodes, candidates.length);
	return MAX_LOAD_FACTOR * pairs / Math.max(1, nodes);
}

function groupUpstreams(upstreams: readonly AssignableUpstream[]): Map<string, AssignableUpstream[]> {
	const groups = new Map<string, AssignableUpstream[]>();
	for (const upstream of upstreams) {
		const name = `${upstream.region}/${hashText(upstream.id) % GROUPS_PER_REGION}`;
		append(groups, name, upstream);
	}

	return groups;
}

/** Orders nodes by descending rendezvous score. */
function rankByRendezvousHash(candidates: readonly Candidate[], keyHash: number): MemberView[] {
	return candidates
		.map(({member, hash: memberHash}) => ({member, score: mixHashes(memberHash, keyHash)}))
		.toSorted((a, b) => b.score - a.score)
		.map(({member}) => member);
}
