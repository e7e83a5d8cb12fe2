/**
 * Adapter for engines that implement the completions protocol, with control operations under `/control/`. Only this
 * adapter depends on the paths and formats of that protocol.
 *
 * An adapter for another protocol extends `Engine` and requires the following of its engines:
 * - an exchange with a hook before its first byte is sent, over a connection that can be destroyed independently;
 * - for `resume`: responses that continue from a byte offset by dispatch ID, and that echo the dispatch ID. Otherwise the
 *   upstream's setting `canResume` must be false;
 * - for `cancel`: an idempotent operation that stops generation by dispatch ID;
 * - for `loadReport`: the number of running and waiting requests, and the age of the report;
 * - for `cacheEvents`: sequence-numbered events. Without them, the prefix index relies only on the node's own routing;
 * - for `exportKv` and `importKv`: a blob per prefix, in an engine-specific format;
 * - for `order`: target states with a fencing number. An engine that ignores the number has `checksFencing` set to false.
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
const STALE_FENCING_NUMBER_STATUS = 412;

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

/** Response to a control operation. */
type ControlResponse = {
	readonly status: number;
	readonly body: Uint8Array;
};

/** Client of one engine over HTTP. */
export class CompletionsEngine extends Engine {
	/** @param url - Origin and optional path prefix of the engine. */
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
			mayOmitId: true,
		}, handler);
	}

	async cancel(dispatchId: string): Promise<Result<Unit, SchedulerError>> {
		const response = await this.#control('DELETE', `/control/streams/${dispatchId}`);
		return response.andThen(() => Result.ok());
	}

	async loadReport(): Promise<Result<LoadReport, SchedulerError>> {
		const response = await this.#control('GET', '/control/load');
		return response.andThen(({body}) => parseBody(loadReportSchema, body));
	}

	async cacheEvents(since: number): Promise<Result<readonly CacheEvent[], SchedulerError>> {
		const response = await this.#control('GET', `/control/cache-events?since=${since}`);
		return response.andThen(({body}) => parseBody(cacheEventsSchema, body));
	}

	async exportKv(block: number): Promise<Result<Uint8Array, SchedulerError>> {
		const response = await this.#control('GET', `/control/kv/${block}`);
		return response.map(({body}) => body);
	}

	async importKv(blob: Uint8Array): Promise<Result<Unit, SchedulerError>> {
		const response = await this.#control('PUT', '/control/kv', blob);
		return response.andThen(() => Result.ok());
	}

	async order(order: EngineOrder): Promise<Result<OrderOutcome, SchedulerError>> {
		const response = await this.#control('POST', '/control/orders', Buffer.from(JSON.stringify(order)), [STALE_FENCING_NUMBER_STATUS]);
		return response.map(({status}) => status === STALE_FENCING_NUMBER_STATUS ? 'stale-fencing-number' : 'accepted');
	}

	async destroy(): Promise<void> {
		await this.#transport.destroy();
	}

	async #control(
		method: 'GET' | 'PUT' | 'POST' | 'DELETE',
		path: string,
		body?: Uint8Array,
		expectedStatuses: readonly number[] = [],
	): Promise<Result<ControlResponse, SchedulerError>> {
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

function parseBody<Value>(schema: z.ZodType<Value>, body: Uint8Array): Result<Value, SchedulerError> {
	try {
		return ok(schema.parse(JSON.parse(new TextDecoder().decode(body))));
	} catch {
		return err(SchedulerError.create(ErrorKind.UpstreamError, 'The engine answered a control operation in another format.'));
	}
}
