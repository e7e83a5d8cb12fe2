/**
 * Protocol-independent interfaces of upstreams. Only adapters depend on an upstream's protocol.
 */
import {type Result} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {type SchedulerError} from '../base/errors.js';
import {type Exchange, type ExchangeHandler, type UpstreamRequest} from './exchange.js';

/** Client of one upstream. */
export abstract class UpstreamClient {
	/** Starts an exchange whose events are passed to the handler. */
	abstract send(req: UpstreamRequest, handler: ExchangeHandler): Exchange;

	/** Closes all connections immediately. */
	abstract destroy(): Promise<void>;
}

/** Client of an upstream that is not a model engine. */
export abstract class PlainService extends UpstreamClient {}

/** Load reported by an engine. The report is already stale when it is received. */
export type LoadReport = {
	readonly runningCount: number;
	readonly waitingCount: number;
	/** Capacity of the prefix cache and the part of it in use (`cacheUsedTokens`), in tokens. */
	readonly cacheCapacityTokens: number;
	readonly cacheUsedTokens: number;
	/** Age of the report in ms, as stated by the engine. */
	readonly ageMs: number;
	/** Whether the engine is leaving and accepts no new work. */
	readonly isLeaving: boolean;
};

/** A change in an engine's prefix cache. Events may be delayed or lost. */
export type CacheEvent = {
	/** Increases by one with each event; a gap means that events were lost. */
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted' | 'cleared';
	/** Hashes of prompt blocks; each hash covers its block and all preceding blocks. */
	readonly blocks: readonly number[];
};

/** A control command to an engine. Commands specify a target state, so they are idempotent. */
export type EngineOrder = {
	/** Increases each time the lease that authorizes commands changes its holder. */
	readonly fencingNumber: number;
	/** Increases with each command from the same lease holder. */
	readonly sequence: number;
	readonly target: {
		readonly models: readonly string[];
		readonly adapters: readonly string[];
		readonly role: 'prefill' | 'decode' | 'both';
	};
};

/** Response of an engine to a command. */
export type OrderOutcome = 'accepted' | 'stale-fencing-number';

/** Client of a language-model server. */
export abstract class Engine extends UpstreamClient {
	/**
	 * Resumes an interrupted response. The same dispatch continues; the request is not executed again.
	 *
	 * @param dispatchId - Dispatch whose response was interrupted.
	 * @param offset - Number of response body bytes received so far.
	 */
	abstract resume(dispatchId: string, offset: number, idleTimeoutMs: number, handler: ExchangeHandler): Exchange;

	/** Requests the engine to stop a dispatch. */
	abstract cancel(dispatchId: string): Promise<Result<Unit, SchedulerError>>;

	abstract loadReport(): Promise<Result<LoadReport, SchedulerError>>;

	/** @param since - Sequence number after which events are returned. */
	abstract cacheEvents(since: number): Promise<Result<readonly CacheEvent[], SchedulerError>>;

	/** @returns The KV cache of a prefix in an engine-specific format. */
	abstract exportKv(block: number): Promise<Result<Uint8Array, SchedulerError>>;

	abstract importKv(blob: Uint8Array): Promise<Result<Unit, SchedulerError>>;

	abstract order(order: EngineOrder): Promise<Result<OrderOutcome, SchedulerError>>;
}
