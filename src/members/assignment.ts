/**
 * Which nodes talk to which upstreams, and which node allocates the shares of an upstream. Performs no I/O.
 *
 * Rendezvous hashing needs nothing but the set of members, so nodes that know the same members agree without any
 * exchange; docs/measurements/members.md compares it with a table of past changes.
 */
import {hashText, mixHashes} from './hash.js';
import {MemberStatus, type MemberView} from './member.js';

/** Nodes of one upstream, where there are that many. */
export const MAX_NODES_PER_UPSTREAM = 16;

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

/** What an upstream is assigned by. */
export type AssignedUpstream = {
	readonly id: string;
	readonly region: string;
};

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

	readonly #nodesOf = new Map<string, readonly MemberView[]>();
	readonly #upstreamsOf = new Map<string, string[]>();

	private constructor(members: readonly MemberView[], upstreams: readonly AssignedUpstream[]) {
		const candidates = members.filter(member => isAssignable(member)).map(member => ({member, hash: hashText(member.id)}));
		const groups = groupUpstreams(upstreams);
		for (const name of [...groups.keys()].toSorted()) {
			const group = groups.get(name)!;
			this.#assign(candidates, name, group, capOf(group[0]!.region, candidates, upstreams));
		}
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

	#assign(candidates: readonly Candidate[], name: string, group: readonly AssignedUpstream[], cap: number): void {
		const ranked = rank(candidates, hashText(name), group[0]!.region);
		const isFull = (member: MemberView) => this.upstreamsOf(member.id).length + group.length > cap;
		const {region} = group[0]!;
		const nodes = [
			...ranked.filter(member => member.region === region && !isFull(member)),
			...ranked.filter(member => member.region === region && isFull(member)),
			...ranked.filter(member => member.region !== region),
		].slice(0, MAX_NODES_PER_UPSTREAM);
		for (const {id} of group) {
			this.#nodesOf.set(id, nodes);
			for (const node of nodes) {
				const list = this.#upstreamsOf.get(node.id) ?? [];
				list.push(id);
				this.#upstreamsOf.set(node.id, list);
			}
		}
	}
}

/** A leaving node finishes its requests, so it takes no new assignments. */
function isAssignable(member: MemberView): boolean {
	return member.status === MemberStatus.Alive || member.status === MemberStatus.Suspect;
}

/** Upstreams that a node of a region takes before nodes with fewer are preferred. */
function capOf(region: string, candidates: readonly Candidate[], upstreams: readonly AssignedUpstream[]): number {
	const nodes = candidates.filter(({member}) => member.region === region).length;
	const pairs = upstreams.filter(upstream => upstream.region === region).length * Math.min(nodes, MAX_NODES_PER_UPSTREAM);
	return LOAD_CAP * pairs / Math.max(1, nodes);
}

function groupUpstreams(upstreams: readonly AssignedUpstream[]): Map<string, AssignedUpstream[]> {
	const groups = new Map<string, AssignedUpstream[]>();
	for (const upstream of upstreams) {
		const name = `${upstream.region}/${hashText(upstream.id) % GROUPS_PER_REGION}`;
		const group = groups.get(name) ?? [];
		group.push(upstream);
		groups.set(name, group);
	}

	return groups;
}

/** Same region first, then by rendezvous hashing. */
function rank(candidates: readonly Candidate[], hash: number, region: string): MemberView[] {
	return candidates
		.map(({member, hash: own}) => ({member, score: mixHashes(own, hash) + (member.region === region ? 2 ** 32 : 0)}))
		.toSorted((a, b) => b.score - a.score)
		.map(({member}) => member);
}
