/**
 * The answer to `GET /v1/entries`, and when a leaving VM may close. Performs no I/O.
 */
import {hashText, mixHashes} from './hash.js';
import {MemberStatus, type MemberView} from './member.js';

/** How long callers keep an answer, in seconds. */
export const ENTRIES_KEEP_SECONDS = 10;
const MAX_ADDRESSES = 3;
/** A VM under full load still takes this part of the callers of an idle one. */
const MIN_WEIGHT = 0.1;
/** Callers may have received the address right before the stop, and ask again only at the end of the time they keep it. */
const CLOSE_AFTER_MS = 2 * ENTRIES_KEEP_SECONDS * 1000;
const FULL_LOAD_PERCENT = 100;

/** Who asks. */
export type EntriesCaller = {
	/** `<team>/<customer>`, or the caller's address where it is unknown. */
	readonly id: string;
	/** Region of the caller, or of the VM that was asked. */
	readonly region: string;
};

/** The body of the answer. */
export type EntriesAnswer = {
	/** `host:port`, best first. */
	readonly addresses: readonly string[];
	readonly keepSeconds: number;
};

/**
 * Chooses addresses for a caller: its region first, then by rendezvous hashing weighted with load, so that a caller
 * stays with its VM while callers spread over all.
 *
 * @param members - All known members, this node included.
 */
export function chooseEntries(caller: EntriesCaller, members: readonly MemberView[]): EntriesAnswer {
	// A node that is still starting has no address for callers yet.
	const listed = members.filter(member => member.entryAddress !== '');
	const alive = listed.filter(member => member.status === MemberStatus.Alive);
	// A node that is cut off from all others sees only suspects; some of them may be reachable for the caller.
	const candidates = alive.length > 0 ? alive : listed.filter(member => member.status === MemberStatus.Suspect);
	const hash = hashText(caller.id);
	const ranked = candidates
		.map(member => ({member, isNear: member.region === caller.region, score: weightedScore(mixHashes(hashText(member.id), hash), member.load)}))
		.toSorted((a, b) => Number(b.isNear) - Number(a.isNear) || a.score - b.score);
	return {
		addresses: ranked.slice(0, MAX_ADDRESSES).map(({member}) => member.entryAddress),
		keepSeconds: ENTRIES_KEEP_SECONDS,
	};
}

/** What decides whether a leaving VM may close its listener. */
export type LeavingProgress = {
	/** Time since the stop was announced, in ms. */
	readonly leavingForMs: number;
	/** Requests of callers that have not ended. */
	readonly inFlight: number;
};

/** @returns Whether no caller can still hold this VM's address from an answer, and no request is in flight. */
export function mayClose({leavingForMs, inFlight}: LeavingProgress): boolean {
	return leavingForMs >= CLOSE_AFTER_MS && inFlight === 0;
}

/** Lowest wins; a member's chance to win is proportional to its weight. */
function weightedScore(hash: number, loadPercent: number): number {
	const uniform = (hash + 1) / ((2 ** 32) + 1);
	return -Math.log(uniform) / Math.max(MIN_WEIGHT, 1 - (loadPercent / FULL_LOAD_PERCENT));
}
