/**
 * Abstract upstreams. Adapters are the only code that knows an upstream's protocol.
 */
import {type Result} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {type SchedulerError} from '../base/errors.js';
import {type Exchange, type ExchangeHandler, type UpstreamRequest} from './exchange.js';

/** A back end that answers requests. */
export abstract class UpstreamClient {
	/** Starts an exchange; the handler receives its events. */
	abstract send(req: UpstreamRequest, handler: ExchangeHandler): Exchange;

	/** Closes all connections at once. */
	abstract destroy(): Promise<void>;
}

/** A back end that is not a model engine. */
export abstract class PlainService extends UpstreamClient {}

/** Load as an engine reports it, already stale when it is read. */
export type LoadReport = {
	readonly runningCount: number;
	readonly waitingCount: number;
	/** Tokens that the prefix cache can hold and holds. */
	readonly cacheCapacityTokens: number;
	readonly cacheUsedTokens: number;
	/** Age of the report in ms, as far as the engine tells. */
	readonly ageMs: number;
	/** The engine takes no new work. */
	readonly isLeaving: boolean;
};

/** A change of an engine's prefix cache; events come late and with gaps. */
export type CacheEvent = {
	/** Rises by one; a gap shows that events were lost. */
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted' | 'cleared';
	/** Hashes of prompt blocks, each covering the blocks before it. */
	readonly blocks: readonly number[];
};

/** An order to an engine. Orders name a target state, so that repeating one is harmless. */
export type EngineOrder = {
	/** Rises with each holder of the lease under which orders are given. */
	readonly fencingNumber: number;
	/** Rises with each order of one holder. */
	readonly sequence: number;
	readonly target: {
		readonly models: readonly string[];
		readonly adapters: readonly string[];
		readonly role: 'prefill' | 'decode' | 'both';
	};
};

/** Whether an order was taken. */
export type OrderOutcome = 'accepted' | 'stale-fencing-number';

/** A server of language models. */
export abstract class Engine extends UpstreamClient {
	/**
	 * Continues an answer that broke off. The same dispatch goes on; nothing is run again.
	 *
	 * @param dispatchId - The dispatch whose answer broke off.
	 * @param offset - Bytes of the answer's body received so far.
	 */
	abstract resume(dispatchId: string, offset: number, idleTimeoutMs: number, handler: ExchangeHandler): Exchange;

	/** Asks the engine to stop a dispatch. */
	abstract cancel(dispatchId: string): Promise<Result<Unit, SchedulerError>>;

	abstract loadReport(): Promise<Result<LoadReport, SchedulerError>>;

	/** @param since - Events with a greater sequence number are returned. */
	abstract cacheEvents(since: number): Promise<Result<readonly CacheEvent[], SchedulerError>>;

	/** @returns The KV cache of a prefix in the engine's own format. */
	abstract exportKv(block: number): Promise<Result<Uint8Array, SchedulerError>>;

	abstract importKv(blob: Uint8Array): Promise<Result<Unit, SchedulerError>>;

	abstract order(order: EngineOrder): Promise<Result<OrderOutcome, SchedulerError>>;
}
