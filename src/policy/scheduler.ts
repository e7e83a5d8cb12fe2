/**
 * Interface between request handling, which performs the I/O, and scheduling policies, which perform none.
 */
import {type ErrorKind} from '../base/errors.js';
import {type Suspicion} from './suspicion.js';

/** Request as seen by the scheduler. Times are milliseconds of the node's monotonic clock. */
export type Work = {
	/** ID that is unique within the process. */
	readonly id: string;
	/** Pool of upstreams that can run the request: `<team>/<service>`. */
	readonly pool: string;
	/** `<team>/<customer>`. */
	readonly customer: string;
	/** Weight of the customer within a tier. */
	readonly customerWeight: number;
	/** Priority tier; 0 is the highest priority. */
	readonly tier: number;
	/** Requested model, if the pool serves several models; otherwise `undefined`. */
	readonly model: string | undefined;
	/** Estimated number of prompt tokens; 0 for plain services. */
	readonly promptTokens: number;
	/** Expected number of response tokens; 1 for plain services. */
	readonly expectedOutputTokens: number;
	/** Whether the response arrives in one piece, in which case a lack of progress does not indicate a stall. */
	readonly isWhole?: boolean;
	/** Hashes of the prompt blocks, each covering all preceding blocks; empty for plain services. */
	readonly prefix: readonly number[];
	readonly arrivedAt: number;
	/** Time after which the first byte of the response is no longer useful. */
	readonly deadlineAt: number;
	/** Content hash by which requests that crash upstreams are quarantined. */
	readonly fingerprint: string;
	/** IDs of upstreams that earlier attempts could not reach. */
	readonly excluded: readonly string[];
};

/** Upstream as seen by the scheduler. */
export type UpstreamView = {
	/** `<team>/<id>`. */
	readonly id: string;
	readonly pool: string;
	readonly region: string;
	readonly dataCentre: string;
	/** Models that the upstream serves; `undefined` for all models of the pool. */
	readonly models: readonly string[] | undefined;
	/** Maximum number of requests in flight over all VMs. */
	readonly maxConcurrency: number;
	readonly isLeaving: boolean;
};

/** Outcome of a dispatched request. */
export const WorkOutcome = {
	/** The response was complete. */
	Done: 'done',
	/** The upstream responded with an error status. */
	UpstreamError: 'upstream-error',
	/** The connection was refused; no byte was sent. */
	ConnectionRefused: 'connection-refused',
	/** The connection was lost after the first byte was sent. */
	Lost: 'lost',
	/** The upstream did not respond in time. */
	TimedOut: 'timed-out',
	/** The caller disconnected or the work was preempted. */
	Canceled: 'canceled',
} as const;

export type WorkOutcome = (typeof WorkOutcome)[keyof typeof WorkOutcome];

/** Demand of this node for one upstream that it shares with other nodes. */
export type UpstreamDemand = {
	readonly upstreamId: string;
	/** Limit on requests in flight over all nodes, as estimated by this node. */
	readonly limitEstimate: number;
	/** Requests of this node in flight at the upstream. */
	readonly held: number;
	/** Waiting requests that could run at the upstream, by tier; index 0 is the highest priority. */
	readonly waitingByTier: readonly number[];
};

/** Change of an upstream's prefix cache, from its cache events. */
export type CacheChange = {
	readonly kind: 'stored' | 'evicted' | 'cleared';
	/** Hashes of prompt blocks, each covering all preceding blocks. */
	readonly blocks: readonly number[];
};

/** Callbacks for scheduling decisions; called synchronously or later, always on the same event loop. */
export type SchedulerEvents = {
	/** Starts the work at an upstream. */
	start(work: Work, upstreamId: string): void;
	/**
	 * Refuses work that has not run.
	 *
	 * @param retryAfterMs - Delay after which a retry may succeed; `undefined` selects the default of the error kind.
	 */
	refuse(work: Work, kind: ErrorKind, retryAfterMs?: number): void;
	/** Stops started work in favor of higher-priority work; `noteFinished` with `canceled` must follow. */
	preempt?(work: Work): void;
	/** Signals that this node is about to shed work of a tier in a pool; other nodes must block lower tiers. */
	notePressure?(pool: string, tier: number): void;
	/** Publishes a changed suspicion to the other nodes. */
	noteSuspicion?(suspicion: Suspicion): void;
};

/** Current use of one upstream by a scheduler. */
export type UpstreamUse = {
	readonly upstreamId: string;
	/** Maximum number of requests of this node in flight at the upstream. */
	readonly slots: number;
	/** Requests of this node in flight at the upstream. */
	readonly inFlight: number;
	/** Whether the upstream is temporarily ejected because it failed or stalled. */
	readonly isEjected: boolean;
	/** Whether the upstream has been ejected and has not yet completed slow start. */
	readonly isOnProbation: boolean;
	readonly isLeaving: boolean;
};

/** Queues, limits and routes work. Subclasses implement the policy. Performs no I/O. */
export abstract class Scheduler {
	/** Demand of this node for each shared upstream. */
	get demand(): readonly UpstreamDemand[] {
		return [];
	}

	/** Current use of each upstream of this node. */
	get uses(): readonly UpstreamUse[] {
		return [];
	}

	/** Waiting requests by pool and tier; index 0 is the highest priority. */
	get waitingByPool(): ReadonlyMap<string, readonly number[]> {
		return new Map();
	}

	/**
	 * Limits this node's requests in flight at a shared upstream.
	 *
	 * @param _slots - Maximum number; `undefined` removes the limit.
	 * @param _expiredSlots - Limit that applies if the share is not renewed within 1 s; one slot by default.
	 */
	setShare(_upstreamId: string, _slots: number | undefined, _expiredSlots?: number): void {
		// Ignored by policies that do not share upstreams.
	}

	/**
	 * Blocks admission of lower tiers because another node is about to shed work of the given tier.
	 *
	 * @param _untilMs - End of the restriction on this node's monotonic clock.
	 */
	setPressure(_pool: string, _tier: number, _untilMs: number): void {
		// Ignored by policies without tiers.
	}

	/**
	 * Processes a load report of an upstream.
	 *
	 * @param _total - Number of running and waiting requests from all nodes.
	 * @param _ageMs - Age of the report.
	 */
	noteLoad(_upstreamId: string, _total: number, _ageMs: number): void {
		// Ignored by policies that use only their own requests.
	}

	/** Processes a cache event of an upstream; events may be late or missing. */
	noteCacheChange(_upstreamId: string, _change: CacheChange): void {
		// Ignored by policies without a prefix index.
	}

	/** Number of requests that are refused because they crash upstreams. */
	get quarantinedCount(): number {
		return 0;
	}

	/** Merges crash suspicions received from other nodes. */
	importSuspicions(_suspicions: readonly Suspicion[]): void {
		// Ignored by policies without a quarantine.
	}

	/** Submits a request; exactly one call of `start` or `refuse` follows unless it is withdrawn. */
	abstract submit(work: Work): void;

	/** Withdraws work that has not started; no event follows. */
	abstract withdraw(workId: string): void;

	/** Called when the first byte of the request is about to be sent. */
	abstract noteCommitted(workId: string): void;

	/** Called when response tokens (model services) or bytes (plain services) arrive. */
	abstract noteProgress(workId: string, count: number): void;

	/** Called when started work has ended and its slot is free. */
	abstract noteFinished(workId: string, outcome: WorkOutcome): void;

	/** Replaces the set of upstreams. */
	abstract setUpstreams(upstreams: readonly UpstreamView[]): void;

	/** Number of waiting requests. */
	abstract get waitingCount(): number;
}
