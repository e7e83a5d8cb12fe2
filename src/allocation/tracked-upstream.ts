/**
 * An upstream as a pool sees it: its estimates, and the requests that hold places there.
 */
import {type Upstream} from '../gateway/upstream-list.js';
import {type PlaceRequest} from './allocation.js';
import {type Pace} from './pace.js';
import {type StartPacer} from './start-pacer.js';
import {type UpstreamHealth} from './upstream-health.js';

/** How long the load that an upstream reported is used as an estimate of other VMs' requests, in ms. */
const REPORTED_LOAD_TTL_MS = 1200;

/** A request that holds a place. */
export type HeldRequest = {
	readonly ask: PlaceRequest;
	readonly upstreamId: string;
	/** Start of the upstream that got the place, as known then; 0 if not known. */
	readonly upstreamStartedAt: number;
	readonly grantedAt: number;
	readonly objectiveAt: number;
	/** When the caller disconnects, as stated by the caller. */
	readonly callerLeavesAt: number;
	/** Tokens of the prompts that the upstream had to read first. */
	readonly pendingPromptTokens: number;
	hasFirst: boolean;
};

/** An upstream with its estimates and held places. */
export type TrackedUpstream = {
	upstream: Upstream;
	pace: Pace;
	standing: UpstreamHealth;
	pacer: StartPacer;
	readonly held: Map<string, HeldRequest>;
	/** Tokens of the prompts that the upstream has not read yet. */
	pendingPromptTokens: number;
	/** Requests from VMs that this allocator does not decide for. */
	externalLoad: number;
	externalLoadAt: number;
	/** When a place there was released last; `undefined` before the first time. */
	reportedAt?: number;
};

/** @returns Tokens of the request's prompt that the upstream has not read yet. */
export function pendingTokensOf({ask, hasFirst}: HeldRequest): number {
	return hasFirst ? 0 : ask.promptTokens;
}

/**
 * @param overcommitted - Number of requests beyond its slots that the upstream may have.
 * @returns Whether the upstream has a place, apart from its limit.
 */
export function hasRoom(target: TrackedUpstream, now: number, overcommitted: number): boolean {
	const {upstream, standing, held} = target;
	if (upstream.isLeaving || standing.isEjected(now)) {
		return false;
	}

	if (standing.isOnProbation) {
		return held.size === 0;
	}

	return held.size + currentExternalLoad(target, now) < upstream.slots + overcommitted;
}

/** @returns Requests at the upstream from VMs that this allocator does not decide for, as far as reported recently. */
export function currentExternalLoad({externalLoad, externalLoadAt}: TrackedUpstream, now: number): number {
	return now - externalLoadAt < REPORTED_LOAD_TTL_MS ? externalLoad : 0;
}
