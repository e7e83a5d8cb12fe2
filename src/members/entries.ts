/**
 * Selects the addresses that `GET /v1/entries` returns and decides when a leaving VM may close its listener. Performs no
 * I/O.
 */
import {hashText, mixHashes} from './hash.js';
import {MemberStatus, type MemberView} from './member.js';

/** How long callers may cache a response. */
export const ENTRIES_TTL_SECONDS = 10;
const MAX_ADDRESSES = 3;
/** A fully loaded VM still gets this fraction of the callers of an idle one. */
const MIN_LOAD_WEIGHT = 0.1;
/** Callers may have received the address right before the stop, and request it again only when the cached one expires. */
const MIN_LEAVING_MS = 2 * ENTRIES_TTL_SECONDS * 1000;
const FULL_LOAD_PERCENT = 100;

/** The caller that requests addresses. */
export type EntriesCaller = {
	/** `<team>/<customer>`, or the caller's address if the customer is unknown. */
	readonly id: string;
	/** Region of the caller, or of the VM that received the request. */
	readonly region: string;
};

/** Body of the response. */
export type EntriesAnswer = {
	/** `host:port`, in order of preference. */
	readonly addresses: readonly string[];
	readonly keepSeconds: number;
};

/**
 * Chooses addresses for a caller. VMs of its region come first, ordered by rendezvous hashing weighted by load, so that
 * each caller stays with one VM while callers are spread over all VMs.
 *
 * @param members - All known members, this node included.
 */
export function chooseEntries(caller: EntriesCaller, members: readonly MemberView[]): EntriesAnswer {
	// A node that is still starting has no entry address yet.
	const listed = members.filter(member => member.entryAddress !== '');
	const alive = listed.filter(member => member.status === MemberStatus.Alive);
	// A node that is partitioned from all others sees only suspects; the caller may still reach some of them.
	const candidates = alive.length > 0 ? alive : listed.filter(member => member.status === MemberStatus.Suspect);
	const callerHash = hashText(caller.id);
	const ranked = candidates
		.map(member => ({member, isSameRegion: member.region === caller.region, score: weightedScore(mixHashes(hashText(member.id), callerHash), member.load)}))
		.toSorted((a, b) => Number(b.isSameRegion) - Number(a.isSameRegion) || a.score - b.score);
	return {
		addresses: ranked.slice(0, MAX_ADDRESSES).map(({member}) => member.entryAddress),
		keepSeconds: ENTRIES_TTL_SECONDS,
	};
}

/** Progress of a planned stop. */
export type LeavingProgress = {
	/** Time since the stop was announced, in ms. */
	readonly leavingForMs: number;
	/** Number of requests of callers that have not ended. */
	readonly inFlight: number;
};

/** @returns Whether this VM's address has expired from the caches of all callers and no request is in flight. */
export function mayClose({leavingForMs, inFlight}: LeavingProgress): boolean {
	return leavingForMs >= MIN_LEAVING_MS && inFlight === 0;
}

/** The lowest score ranks first; a member's probability of ranking first is proportional to its weight. */
function weightedScore(hash: number, loadPercent: number): number {
	const uniform = (hash + 1) / ((2 ** 32) + 1);
	return -Math.log(uniform) / Math.max(MIN_LOAD_WEIGHT, 1 - (loadPercent / FULL_LOAD_PERCENT));
}
