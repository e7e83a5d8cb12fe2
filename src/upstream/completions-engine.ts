/**
 * Engines that speak the completions protocol, with control operations under `/control/`. That protocol belongs to this
 * adapter; nothing else in the program knows its paths or formats.
 *
 * An adapter of another protocol extends `Engine` and needs of its engines:
 * - an exchange in which the moment before the first byte is known, and a connection that can be destroyed alone;
 * - for `resume`: answers that continue by dispatch ID from a byte offset, with the dispatch ID echoed. Without it, the
 *   upstream's setting `canResume` stays false;
 * - for `cancel`: an order by dispatch ID that ends generation and may be repeated;
 * - for `loadReport`: running and waiting requests, with the age of the report;
 * - for `cacheEvents`: numbered events. Without them, the prefix index follows the node's own routing alone;
 * - for `exportKv` and `importKv`: a blob for each prefix, in any format of its own;
 * - for `order`: target states with a fencing number. An engine that ignores the number has `checksFencing` false.
 */
import {Buffer} from 'node:buffer';
import Result, {err, ok} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {request} from 'undici';
import {z} from 'zod';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {
	type CacheEvent, Engine, type EngineOrder, type LoadReport, type OrderOutcome,
} from './engine.js';
import {type Exchange, type ExchangeHandler, type UpstreamRequest} from './exchange.js';
import {HttpTransport} from './http-transport.js';

const CONTROL_TIMEOUT_MS = 1000;
const STALE_ORDER_STATUS = 412;

const loadReportSchema = z.object({
	runningCount: z.number(),
	waitingCount: z.number(),
	cacheCapacityTokens: z.number(),
	cacheUsedTokens: z.number(),
	ageMs: z.number(),
	isLeaving: z.boolean(),
});

const cacheEventsSchema = z.array(z.object({
	sequence: z.number(),
	kind: z.enum(['stored', 'evicted', 'cleared']),
	blocks: z.array(z.number()),
}));

/** What a control operation answered. */
type ControlAnswer = {
	readonly status: number;
	readonly body: Uint8Array;
};

/** An engine reached by HTTP. */
export class CompletionsEngine extends Engine {
	/** @param url - Origin and optional path prefix. */
	static create(url: string): CompletionsEngine {
		return new CompletionsEngine(url);
	}

	readonly #url: string;
	readonly #transport: HttpTransport;

	private constructor(url: string) {
		super();
		this.#url = url.replace(/\/$/v, '');
		this.#transport = HttpTransport.create(url);
	}

	send(req: UpstreamRequest, handler: ExchangeHandler): Exchange {
		return this.#transport.send(req, handler);
	}

	resume(dispatchId: string, offset: number, idleTimeoutMs: number, handler: ExchangeHandler): Exchange {
		return this.#transport.send({
			dispatchId,
			method: 'GET',
			path: `/control/streams/${dispatchId}?offset=${offset}`,
			headers: {},
			body: undefined,
			idleTimeoutMs,
		}, handler);
	}

	async cancel(dispatchId: string): Promise<Result<Unit, SchedulerError>> {
		const answer = await this.#control('DELETE', `/control/streams/${dispatchId}`);
		return answer.andThen(() => Result.ok());
	}

	async loadReport(): Promise<Result<LoadReport, SchedulerError>> {
		const answer = await this.#control('GET', '/control/load');
		return answer.andThen(({body}) => parse(loadReportSchema, body));
	}

	async cacheEvents(since: number): Promise<Result<readonly CacheEvent[], SchedulerError>> {
		const answer = await this.#control('GET', `/control/cache-events?since=${since}`);
		return answer.andThen(({body}) => parse(cacheEventsSchema, body));
	}

	async exportKv(block: number): Promise<Result<Uint8Array, SchedulerError>> {
		const answer = await this.#control('GET', `/control/kv/${block}`);
		return answer.map(({body}) => body);
	}

	async importKv(blob: Uint8Array): Promise<Result<Unit, SchedulerError>> {
		const answer = await this.#control('PUT', '/control/kv', blob);
		return answer.andThen(() => Result.ok());
	}

	async order(order: EngineOrder): Promise<Result<OrderOutcome, SchedulerError>> {
		const answer = await this.#control('POST', '/control/orders', Buffer.from(JSON.stringify(order)), [STALE_ORDER_STATUS]);
		return answer.map(({status}) => status === STALE_ORDER_STATUS ? 'stale-fencing-number' : 'accepted');
	}

	async destroy(): Promise<void> {
		await this.#transport.destroy();
	}

	async #control(
		method: 'GET' | 'PUT' | 'POST' | 'DELETE',
		path: string,
		body?: Uint8Array,
		expectedStatuses: readonly number[] = [],
	): Promise<Result<ControlAnswer, SchedulerError>> {
		try {
			const res = await request(this.#url + path, {
				method, body, headersTimeout: CONTROL_TIMEOUT_MS, bodyTimeout: CONTROL_TIMEOUT_MS,
			});
			const bytes = await res.body.bytes();
			const isExpected = res.statusCode < 300 || expectedStatuses.includes(res.statusCode);
			return isExpected
				? ok({status: res.statusCode, body: bytes})
				: err(SchedulerError.create(ErrorKind.UpstreamError, `The engine answered ${res.statusCode}.`));
		} catch {
			return err(SchedulerError.create(ErrorKind.UpstreamLost, 'The engine did not answer a control operation.'));
		}
	}
}

function parse<Value>(schema: z.ZodType<Value>, body: Uint8Array): Result<Value, SchedulerError> {
	try {
		return ok(schema.parse(JSON.parse(new TextDecoder().decode(body))));
	} catch {
		return err(SchedulerError.create(ErrorKind.UpstreamError, 'The engine answered a control operation in another format.'));
	}
}
