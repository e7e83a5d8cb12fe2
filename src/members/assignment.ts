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
		const ranked = new Map<string, readonly MemberView[]>();
		for (const upstream of upstreams) {
			const group = `${upstream.region}/${hashText(upstream.id) % GROUPS_PER_REGION}`;
			const nodes = ranked.get(group) ?? rank(candidates, hashText(group), upstream.region);
			ranked.set(group, nodes);
			this.#nodesOf.set(upstream.id, nodes);
			for (const node of nodes) {
				const list = this.#upstreamsOf.get(node.id) ?? [];
				list.push(upstream.id);
				this.#upstreamsOf.set(node.id, list);
			}
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
}

/** A leaving node finishes its requests, so it takes no new assignments. */
function isAssignable(member: MemberView): boolean {
	return member.status === MemberStatus.Alive || member.status === MemberStatus.Suspect;
}

/** Same region first, then by rendezvous hashing; keeps the best few by insertion. */
function rank(candidates: readonly Candidate[], hash: number, region: string): MemberView[] {
	const best: MemberView[] = [];
	const scores: number[] = [];
	for (const candidate of candidates) {
		const score = mixHashes(candidate.hash, hash) + (candidate.member.region === region ? 2 ** 32 : 0);
		let position = best.length;
		while (position > 0 && scores[position - 1]! < score) {
			position -= 1;
		}

		if (position < MAX_NODES_PER_UPSTREAM) {
			best.splice(position, 0, candidate.member);
			scores.splice(position, 0, score);
			best.length = Math.min(best.length, MAX_NODES_PER_UPSTREAM);
			scores.length = best.length;
		}
	}

	return best;
}
