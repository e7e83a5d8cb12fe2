/**
 * What would be decided on a request now, and why. Uses the code of the decision itself, on a state that the allocator
 * restores afterwards.
 */
import {errorAnswers, type ErrorKind} from '../base/errors.js';
import {type PlaceRequest, type PlaceRequestEvents} from './allocation.js';
import {type CandidateVerdict, type CostParts, type LeftOut} from './placement.js';
import {type Pool} from './pool.js';
import {type QuotaState} from './quotas.js';
import {invitingKinds, MIN_RETRY_AFTER_MS, RETRY_JITTER} from './retry-after.js';
import {hasRoom, type TrackedUpstream} from './tracked-upstream.js';
import {type WaitingRequest} from './waiting-queue.js';

/** Upstreams that are listed; the best come first. Bounds the size of a response to about 150 kB. */
const MAX_LISTED_UPSTREAMS = 256;

/** What an explanation assumes of a request that nobody has sent: a first attempt of an unknown body, which counts nowhere. */
export const UNKNOWN_CALL = {
	fingerprint: '', features: [], excluded: [], attempt: 1, isCharged: false, isCounted: true, isContinuation: false,
} as const satisfies Partial<PlaceRequest>;

/** Events of a request that is never asked for. */
export const ignoredEvents: PlaceRequestEvents = {
	grant() {
		// An evaluation grants nothing.
	},
	refuse() {
		// An evaluation refuses nothing.
	},
};

/** What would happen to the request. */
export const Outcome = {
	Granted: 'granted',
	Waits: 'waits',
	Refused: 'refused',
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Why an upstream is no candidate. */
export const NoRoom = {
	Leaving: 'leaving',
	/** Its requests failed, and it gets none for some time. */
	Ejected: 'ejected',
	Full: 'full',
	/** Its stated limit of requests per second allows none now. */
	Limited: 'limited',
} as const;

export type NoRoom = (typeof NoRoom)[keyof typeof NoRoom];

/** One upstream of the pool. Durations in ms. */
export type ExplainedUpstream = {
	readonly id: string;
	readonly dataCentre: string;
	readonly region: string;
	/** `undefined` for a candidate whose cost was compared. */
	readonly leftOut?: LeftOut | NoRoom;
	readonly costMs?: number;
	readonly parts?: Readonly<CostParts>;
	readonly expectedFirstMs?: number;
	readonly held: number;
	readonly slots: number;
	/** Pace at this time, as a factor of the usual; above 1 for a slow upstream. */
	readonly paceFactor: number;
	/** Time since a place there was released; `undefined` if none has been. */
	readonly reportAgeMs?: number;
	/** Time since the upstream stated its pace; `undefined` if it has not. */
	readonly statementAgeMs?: number;
};

type Range = {readonly min: number; readonly max: number};

/** A refusal before its Retry-After is varied. */
type ExpectedRefusal = {readonly kind: ErrorKind; readonly retryAfterMs: number};

/** An explanation. Durations in ms. */
export type Explanation = {
	readonly pool: string;
	readonly outcome: Outcome;
	/** The upstream that the request would be sent to. */
	readonly upstreamId?: string;
	/** The Retry-After has a random part, so that it is given as a range. */
	readonly refusal?: {readonly kind: ErrorKind; readonly status: number; readonly retryAfterMs: Range};
	/** Candidates in the order of their cost, then the others. */
	readonly upstreams: readonly ExplainedUpstream[];
	readonly unlistedUpstreams: number;
	readonly queue: {
		readonly waiting: number;
		readonly waitingOfCustomer: number;
		/** Expected time until the request would get a place if it waited. */
		readonly expectedWaitMs: number;
	};
	/** The customer's share of the room; `undefined` unless customers share it. */
	readonly share?: {readonly weight: number; readonly leadMs: number; readonly serviceMs: number};
	/** `undefined` if the customer has no quota. */
	readonly quota?: QuotaState & {readonly cost: number};
	/** Whether the VM decides alone, without what the other VMs know. */
	readonly isStandalone: boolean;
};

/** What an explanation is made of. */
export type ExplanationQuery = {
	readonly pool: Pool;
	/** The request; it is not in the queue. */
	readonly waiting: WaitingRequest;
	readonly refusal: ExpectedRefusal | undefined;
	readonly quota: QuotaState | undefined;
	readonly isStandalone: boolean;
	readonly now: number;
};

/** @returns The explanation. Updates caches of the pool, which the caller restores. */
export function explain({pool, waiting, refusal, quota, isStandalone, now}: ExplanationQuery): Explanation {
	const {ask} = waiting;
	const verdicts = new Map<TrackedUpstream, CandidateVerdict>();
	const grant = pool.findPlace(waiting, now, verdict => {
		verdicts.set(verdict.target, verdict);
	});
	const upstreams = [...pool.upstreams.values()].map(target => describeUpstream(target, verdicts.get(target), now));
	upstreams.sort((a, b) => (a.costMs ?? Number.POSITIVE_INFINITY) < (b.costMs ?? Number.POSITIVE_INFINITY) ? -1 : Number(a.costMs !== b.costMs));
	const share = pool.shareDecision(ask);
	return {
		pool: pool.name,
		outcome: refusal === undefined ? (grant === undefined ? Outcome.Waits : Outcome.Granted) : Outcome.Refused,
		upstreamId: refusal === undefined ? grant?.target.upstream.id : undefined,
		refusal: refusal && {kind: refusal.kind, status: errorAnswers[refusal.kind].status, retryAfterMs: retryAfterRange(pool, waiting, refusal, now)},
		upstreams: upstreams.slice(0, MAX_LISTED_UPSTREAMS),
		unlistedUpstreams: Math.max(0, upstreams.length - MAX_LISTED_UPSTREAMS),
		queue: {waiting: pool.waiting.size, waitingOfCustomer: countOfCustomer(pool, ask.customer), expectedWaitMs: grant === undefined ? pool.waitMs(waiting, now) : 0},
		share: share && {weight: pool.overload!.shares.weightOf(ask.customer), leadMs: share.leadMs, serviceMs: share.serviceMs},
		quota: quota && {...quota, cost: ask.quotaCost},
		isStandalone,
	};
}

function describeUpstream(target: TrackedUpstream, verdict: CandidateVerdict | undefined, now: number): ExplainedUpstream {
	const {upstream: {id, dataCentre, region, slots}, held, pace, reportedAt} = target;
	return {
		id,
		dataCentre,
		region,
		leftOut: verdict === undefined ? noRoomReason(target, now) : verdict.leftOut,
		costMs: verdict?.costMs,
		parts: verdict?.parts,
		expectedFirstMs: verdict?.expectedFirstMs,
		held: held.size,
		slots,
		paceFactor: pace.factorAt(now),
		reportAgeMs: reportedAt === undefined ? undefined : now - reportedAt,
		statementAgeMs: pace.statedAt === undefined ? undefined : now - pace.statedAt,
	};
}

function noRoomReason(target: TrackedUpstream, now: number): NoRoom {
	const {upstream, standing} = target;
	if (upstream.isLeaving) {
		return NoRoom.Leaving;
	}

	if (standing.isEjected(now)) {
		return NoRoom.Ejected;
	}

	return hasRoom(target, now, 0) ? NoRoom.Limited : NoRoom.Full;
}

function countOfCustomer(pool: Pool, customer: string | undefined): number {
	let count = 0;
	for (const {ask} of pool.waiting) {
		count += ask.customer === customer ? 1 : 0;
	}

	return count;
}

/** @returns Bounds of the Retry-After that the allocator would choose, in ms. */
function retryAfterRange(pool: Pool, waiting: WaitingRequest, {kind, retryAfterMs}: ExpectedRefusal, now: number): Range {
	if (pool.overload !== undefined && invitingKinds.has(kind)) {
		return pool.overload.returnRange(pool.overloadQuery(waiting, now));
	}

	return {min: Math.max(MIN_RETRY_AFTER_MS, RETRY_JITTER.min * retryAfterMs), max: Math.max(MIN_RETRY_AFTER_MS, RETRY_JITTER.max * retryAfterMs)};
}
