/**
 * Which nodes talk to which upstreams, and which node allocates the shares of an upstream. Performs no I/O.
 *
 * Rendezvous hashing needs nothing but the set of members, so nodes that know the same members agree without any
 * exchange; docs/measurements/members.md compares it with a table of past changes.
 */
import {hashText, mixHashes} from './hash.js';
import {MemberStatus, type MemberView} from './member.js';
import {type AssignedUpstream, missingUpstreams} from './pool-coverage.js';

/** Nodes of one upstream, where there are that many. Nodes that lack upstreams of a pool come on top. */
export const NODES_PER_UPSTREAM = 16;
/** Nodes of other regions among them, which keep using the upstream's region when their own one is lost. */
export const FAR_NODES_PER_UPSTREAM = 2;

/**
 * Upstreams of a region are assigned in this many groups, so that a node sends its demand for several upstreams to one
 * allocator in one message. Without groups a node with 35 upstreams has about 35 allocators.
 */
const GROUPS_PER_REGION = 64;
/**
 * A node takes at most this multiple of the mean number of upstreams while others have room. Without it some of 360
 * nodes had no upstream at all, because the groups are few.
 */
const LOAD_CAP = 1.15;

type Candidate = {
	readonly member: MemberView;
	readonly hash: number;
};

/** The assignment that follows from a set of members and upstreams. */
export class Assignment {
	/**
	 * @param members - All known members. Suspects keep their assignments, so that the end of a partition moves none.
	 * @param upstreams - All upstreams of the deployment.
	 */
	static create(members: readonly MemberView[], upstreams: readonly AssignedUpstream[]): Assignment {
		return new Assignment(members, upstreams);
	}

	readonly #nodesOf = new Map<string, MemberView[]>();
	readonly #upstreamsOf = new Map<string, string[]>();

	private constructor(members: readonly MemberView[], upstreams: readonly AssignedUpstream[]) {
		const candidates = members.filter(member => isAssignable(member)).map(member => ({member, hash: hashText(member.id)}));
		const groups = groupUpstreams(upstreams);
		for (const name of [...groups.keys()].toSorted()) {
			const group = groups.get(name)!;
			this.#assignGroup(candidates, name, group, capOf(group[0]!.region, candidates, upstreams));
		}

		for (const upstream of upstreams) {
			this.#assignFar(candidates, upstream);
		}

		this.#coverPools(candidates, upstreams);
	}

	/** The nodes that talk to an upstream, best ranked first. */
	nodesOf(upstreamId: string): readonly MemberView[] {
		return this.#nodesOf.get(upstreamId) ?? [];
	}

	/** The upstreams that a node talks to. */
	upstreamsOf(memberId: string): readonly string[] {
		return this.#upstreamsOf.get(memberId) ?? [];
	}

	/** The first ranked node that is alive divides the upstream's slots. */
	allocatorOf(upstreamId: string): MemberView | undefined {
		return this.nodesOf(upstreamId).find(member => member.status === MemberStatus.Alive);
	}

	/** Nodes of the group's region. Upstreams of one group share them, and so their allocator. */
	#assignGroup(candidates: readonly Candidate[], name: string, group: readonly AssignedUpstream[], cap: number): void {
		const {region} = group[0]!;
		const near = rank(candidates.filter(({member}) => member.region === region), hashText(name));
		const isFull = ({id}: MemberView) => this.upstreamsOf(id).length + group.length > roundCap(cap, id);
		const nodes = [
			...near.filter(member => !isFull(member)),
			...near.filter(member => isFull(member)),
		].slice(0, nearCount(near.length, candidates.length));
		for (const {id} of group) {
			for (const node of nodes) {
				this.#add(id, node);
			}
		}
	}

	/** Nodes of other regions, chosen for each upstream alone because groups would give some nodes many and others none. */
	#assignFar(candidates: readonly Candidate[], {id, region}: AssignedUpstream): void {
		const far = rank(candidates.filter(({member}) => member.region !== region), hashText(id));
		for (const node of far.slice(0, NODES_PER_UPSTREAM - this.nodesOf(id).length)) {
			this.#add(id, node);
		}
	}

	/** Gives each node what it lacks to serve every pool. */
	#coverPools(candidates: readonly Candidate[], upstreams: readonly AssignedUpstream[]): void {
		const pools = new Map<string, AssignedUpstream[]>();
		for (const upstream of upstreams) {
			append(pools, upstream.pool, upstream);
		}

		for (const {member} of candidates) {
			const assigned = new Set(this.upstreamsOf(member.id));
			for (const pool of pools.values()) {
				for (const {id} of missingUpstreams(member, pool, assigned)) {
					this.#add(id, member);
				}
			}
		}
	}

	#add(upstreamId: string, node: MemberView): void {
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
 * Rounds up for some nodes and down for others. With one rounding for all, a join or leave that took the cap past an
 * integer moved about 400 pairs of 360 nodes and 790 upstreams; other changes moved about 60.
 */
function roundCap(cap: number, memberId: string): number {
	return Math.floor(cap + (hashText(memberId) / (2 ** 32)));
}

/** Nodes of an upstream's own region, where `near` of `all` nodes are in the region. */
function nearCount(near: number, all: number): number {
	return Math.min(near, NODES_PER_UPSTREAM - Math.min(FAR_NODES_PER_UPSTREAM, all - near));
}

/** A leaving node finishes its requests, so it takes no new assignments. */
function isAssignable(member: MemberView): boolean {
	return member.status === MemberStatus.Alive || member.status === MemberStatus.Suspect;
}

/** Upstreams that a node of a region takes before nodes with fewer are preferred. */
function capOf(region: string, candidates: readonly Candidate[], upstreams: readonly AssignedUpstream[]): number {
	const nodes = candidates.filter(({member}) => member.region === region).length;
	const pairs = upstreams.filter(upstream => upstream.region === region).length * nearCount(nodes, candidates.length);
	return LOAD_CAP * pairs / Math.max(1, nodes);
}

function groupUpstreams(upstreams: readonly AssignedUpstream[]): Map<string, AssignedUpstream[]> {
	const groups = new Map<string, AssignedUpstream[]>();
	for (const upstream of upstreams) {
		const name = `${upstream.region}/${hashText(upstream.id) % GROUPS_PER_REGION}`;
		append(groups, name, upstream);
	}

	return groups;
}

/** Orders nodes by rendezvous hashing. */
function rank(candidates: readonly Candidate[], hash: number): MemberView[] {
	return candidates
		.map(({member, hash: own}) => ({member, score: mixHashes(own, hash)}))
		.toSorted((a, b) => b.score - a.score)
		.map(({member}) => member);
}
