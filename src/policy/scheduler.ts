/**
 * The interface between the life of a request (which does the I/O) and the decisions (which do none).
 */
import {type ErrorKind} from '../base/errors.js';
import {type Suspicion} from './quarantine.js';

/** A request as the decisions see it. Times are ms of the node's monotonic clock. */
export type Work = {
	/** Unique in this process. */
	readonly id: string;
	/** The upstreams that may run it: `<team>/<service>`. */
	readonly pool: string;
	/** `<team>/<customer>`. */
	readonly customer: string;
	/** Weight of the customer within a tier. */
	readonly customerWeight: number;
	/** 0 is the most important tier. */
	readonly tier: number;
	/** Model, where the pool serves several. */
	readonly model: string | undefined;
	/** Estimated tokens of the prompt; 0 for plain services. */
	readonly promptTokens: number;
	/** Expected tokens of the answer; 1 for plain services. */
	readonly expectedOutputTokens: number;
	/** The answer arrives in one piece at its end, so that silence says nothing about the upstream. */
	readonly isWhole?: boolean;
	/** Hashes of the prompt's blocks, each covering the blocks before it; empty for plain services. */
	readonly prefix: readonly number[];
	readonly arrivedAt: number;
	/** The first byte of the answer has no value after this time. */
	readonly deadlineAt: number;
	/** Identifies the content, for the quarantine of requests that crash upstreams. */
	readonly fingerprint: string;
	/** Upstreams that an earlier attempt could not reach. */
	readonly excluded: readonly string[];
};

/** An upstream as the decisions see it. */
export type UpstreamView = {
	/** `<team>/<id>`. */
	readonly id: string;
	readonly pool: string;
	readonly region: string;
	readonly dataCentre: string;
	/** Models that it serves; `undefined` for all of the pool's. */
	readonly models: readonly string[] | undefined;
	/** Upper bound on requests in flight over all VMs. */
	readonly maxConcurrency: number;
	readonly isLeaving: boolean;
};

/** How a dispatched request ended. */
export const WorkOutcome = {
	/** A whole answer. */
	Done: 'done',
	/** The upstream answered with an error status. */
	UpstreamError: 'upstream-error',
	/** The connection was refused; no byte was sent. */
	ConnectionRefused: 'connection-refused',
	/** The connection was lost after the first byte was sent. */
	Lost: 'lost',
	/** The upstream did not answer in time. */
	TimedOut: 'timed-out',
	/** The caller went away or the work was preempted. */
	Canceled: 'canceled',
} as const;

export type WorkOutcome = (typeof WorkOutcome)[keyof typeof WorkOutcome];

/** What this node wants of one upstream that it shares with other nodes. */
export type UpstreamDemand = {
	readonly upstreamId: string;
	/** Requests in flight that this node's engine limit would allow over all nodes. */
	readonly limitEstimate: number;
	/** Requests of this node in flight there. */
	readonly held: number;
	/** Waiting requests that could run there, by tier; index 0 is the most important tier. */
	readonly waitingByTier: readonly number[];
};

/** A change of an upstream's prefix cache, as its cache events tell. */
export type CacheChange = {
	readonly kind: 'stored' | 'evicted' | 'cleared';
	/** Hashes of prompt blocks, each covering the blocks before it. */
	readonly blocks: readonly number[];
};

/** What the scheduler decides; delivered synchronously or later, always on the one event loop. */
export type SchedulerEvents = {
	/** Send the work to an upstream now. */
	start(work: Work, upstreamId: string): void;
	/**
	 * Answer the work as not run.
	 *
	 * @param retryAfterMs - When repeating may succeed; `undefined` takes the kind's default.
	 */
	refuse(work: Work, kind: ErrorKind, retryAfterMs?: number): void;
	/** Started work must stop so that more important work can start; `noteFinished` with `canceled` follows. */
	preempt?(work: Work): void;
	/** This node is about to refuse work of a tier in a pool; the other nodes must admit nothing below that tier. */
	notePressure?(pool: string, tier: number): void;
	/** What this node knows about a suspected request changed; the other nodes should know it too. */
	noteSuspicion?(suspicion: Suspicion): void;
};

/** How a scheduler uses one upstream now. */
export type UpstreamUse = {
	readonly upstreamId: string;
	/** Requests of this node that may be in flight there. */
	readonly slots: number;
	/** Requests of this node that are in flight there. */
	readonly inFlight: number;
	/** Failed or stalled; it gets no work for a while. */
	readonly isEjected: boolean;
	/** Returned from an ejection and has not proved itself. */
	readonly isOnProbation: boolean;
	readonly isLeaving: boolean;
};

/** Queues, limits and routes work. Subclasses differ in policy. Does no I/O. */
export abstract class Scheduler {
	/** What this node wants of each shared upstream. */
	get demand(): readonly UpstreamDemand[] {
		return [];
	}

	/** How each upstream of this node is used. */
	get uses(): readonly UpstreamUse[] {
		return [];
	}

	/** Waiting requests by pool and tier; index 0 is the most important tier. */
	get waitingByPool(): ReadonlyMap<string, readonly number[]> {
		return new Map();
	}

	/**
	 * Bounds this node's requests in flight at a shared upstream.
	 *
	 * @param _slots - Greatest number; `undefined` removes the bound.
	 * @param _expiredSlots - What the bound falls to when it is not renewed within 1 s; one slot by default.
	 */
	setShare(_upstreamId: string, _slots: number | undefined, _expiredSlots?: number): void {
		// Policies that do not share upstreams ignore it.
	}

	/**
	 * Another node is about to refuse work of a tier: admit nothing below that tier for a while.
	 *
	 * @param _untilMs - End of the restriction on this node's monotonic clock.
	 */
	setPressure(_pool: string, _tier: number, _untilMs: number): void {
		// Policies without tiers ignore it.
	}

	/**
	 * Takes a load report of an upstream.
	 *
	 * @param _total - Running and waiting requests of all nodes.
	 * @param _ageMs - Age of the report.
	 */
	noteLoad(_upstreamId: string, _total: number, _ageMs: number): void {
		// Policies that learn from their own requests alone ignore it.
	}

	/** Takes a cache event of an upstream; events may come late and with gaps. */
	noteCacheChange(_upstreamId: string, _change: CacheChange): void {
		// Policies without a prefix index ignore it.
	}

	/** Takes over what other nodes know about suspected requests. */
	importSuspicions(_suspicions: readonly Suspicion[]): void {
		// Policies without a quarantine ignore it.
	}

	/** Takes a request; `start` or `refuse` follows exactly once unless it is withdrawn. */
	abstract submit(work: Work): void;

	/** Withdraws work that has not been started; no event follows. */
	abstract withdraw(workId: string): void;

	/** The first byte of the request is about to leave. */
	abstract noteCommitted(workId: string): void;

	/** Tokens (model services) or bytes (plain services) of the answer arrived. */
	abstract noteProgress(workId: string, count: number): void;

	/** Started work ended and its slot is free. */
	abstract noteFinished(workId: string, outcome: WorkOutcome): void;

	/** Replaces the set of upstreams. */
	abstract setUpstreams(upstreams: readonly UpstreamView[]): void;

	/** Work that waits in the queues. */
	abstract get waitingCount(): number;
}
