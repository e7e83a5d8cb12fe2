/**
 * Context and helpers shared by the controllers of the callers' interface: authentication, rate limits, tiers, traces.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {
	ErrorKind, type KeyKnowledge, ranOf, SchedulerError,
} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type MemoryAccount} from '../base/memory-account.js';
import {type Metrics} from '../base/metrics.js';
import {type RequestTrace, type Tracing} from '../base/trace.js';
import {type Customer} from '../config/deployment.js';
import {type CurrentSettings} from '../config/current-settings.js';
import {type TierSettings} from '../config/schema.js';
import {type Dispatcher} from '../dispatch/dispatcher.js';
import {type EntriesAnswer} from '../members/entries.js';
import {type ErrorFormat} from './error-body.js';
import {type RateLimiter} from './rate-limiter.js';
import {sendError} from './send-error.js';

/** Injection token of the entry context. */
export const ENTRY_CONTEXT = 'EntryContext';

/** Services of the node that the callers' interface depends on. */
export type EntryDependencies = {
	readonly clock: Clock;
	/** Account of the bytes that are held for callers. */
	readonly memory: MemoryAccount;
	readonly invariants: Invariants;
	readonly settings: CurrentSettings;
	readonly dispatcher: Dispatcher;
	/** Returns the entry addresses for a caller, given a stable identity of that caller. */
	readonly entriesFor: (caller: string) => EntriesAnswer;
	/** Returns all metrics in the Prometheus exposition format. */
	readonly metrics: () => Promise<string>;
	/** Counts the errors of requests that never reach the dispatcher. */
	readonly instruments?: Metrics | undefined;
	/** Absent where tracing is not configured. */
	readonly tracing?: Tracing | undefined;
	/** Whether a graceful shutdown has begun; responses then carry `Connection: close`. */
	readonly isLeaving?: () => boolean;
	/** Whether new requests are rejected, late in a graceful shutdown when callers should have left. */
	readonly isRefusing?: () => boolean;
	/** Whether the node accepts requests; reported by `GET /readyz`. */
	readonly isReady: () => boolean;
};

/** Dependencies and per-node state of the controllers. */
export type EntryContext = EntryDependencies & {
	readonly rateLimiter: RateLimiter;
};

const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
/** Headers that may occur only once, because repeated values would be ambiguous. */
const singleValueHeaders = new Set(['authorization', 'idempotency-key', 'redwingspool-attempt', 'redwingspool-tier']);

/** An authenticated request of a customer. */
export type CallerRequest = {
	readonly customer: Customer;
	/** Value of the Idempotency-Key header. */
	readonly idempotencyKey: string | undefined;
	readonly keyKnowledge: KeyKnowledge;
};

/** @returns What a request's headers tell about its idempotency key. */
export function readKeyKnowledge(req: IncomingMessage): KeyKnowledge {
	return {
		isKeyed: req.headers['idempotency-key'] !== undefined,
		holdsClaim: false,
		isFirstAttempt: req.headers['redwingspool-attempt'] === '1',
	};
}

/** Authenticates the customer by API key and reads the idempotency key. */
export function authenticateCaller(req: IncomingMessage, context: EntryContext): Result<CallerRequest, SchedulerError> {
	if (!context.settings.isLoaded) {
		return Result.err(SchedulerError.create(ErrorKind.NotReady));
	}

	const apiKey = /^Bearer (?<key>\S+)$/v.exec(req.headers.authorization ?? '')?.groups?.key;
	const customer = apiKey === undefined ? undefined : context.settings.deployment.findCustomer(apiKey);
	if (customer === undefined) {
		return Result.err(SchedulerError.create(ErrorKind.Unauthenticated));
	}

	const repeated = findRepeatedHeader(req.rawHeaders);
	if (repeated !== undefined) {
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, `${repeated}: expected one value.`));
	}

	const idempotencyKey = req.headers['idempotency-key']?.toString();
	if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH)) {
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, `Idempotency-Key needs 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`));
	}

	return ok({customer, idempotencyKey, keyKnowledge: readKeyKnowledge(req)});
}

function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
	const seen: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (singleValueHeaders.has(name)) {
			if (seen.includes(name)) {
				return name;
			}

			seen.push(name);
		}
	}

	return undefined;
}

/** Authenticates the caller of a request that will be run, and counts the request against the customer's rate limit. */
export function admitCaller(req: IncomingMessage, context: EntryContext): Result<CallerRequest, SchedulerError> {
	if (context.isRefusing?.()) {
		return Result.err(SchedulerError.create(ErrorKind.Draining));
	}

	return authenticateCaller(req, context).andThen(caller => context.rateLimiter.take(caller.customer).map(() => caller));
}

/** @returns Rank and deadline of the tier named in the request's header, or of the default tier. */
export function resolveTier(
	req: IncomingMessage,
	tiers: readonly TierSettings[],
	defaultTier: string,
): Result<{rank: number; deadlineMs: number}, SchedulerError> {
	const tierName = req.headers['redwingspool-tier']?.toString() ?? defaultTier;
	const rank = tiers.findIndex(tier => tier.name === tierName);
	if (rank === -1) {
		const names = tiers.map(tier => tier.name).join(', ');
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, `Redwingspool-Tier: expected one of ${names}.`));
	}

	return ok({rank, deadlineMs: tiers[rank]!.deadlineMs});
}

const traceparentPattern = /^[\da-f]{2}-(?<traceId>[\da-f]{32})-/v;

/** @returns The trace ID for log lines: of the request's own trace, or else of the caller's `traceparent` header. */
export function resolveTraceId(req: IncomingMessage, trace: RequestTrace | undefined): string | undefined {
	const {traceparent} = req.headers;
	return trace?.traceId ?? (typeof traceparent === 'string' ? traceparentPattern.exec(traceparent)?.groups?.traceId : undefined);
}

/** Sends and counts the error of a request that never reached the dispatcher. */
export function respondWithError(res: ServerResponse, err: SchedulerError, format: ErrorFormat, metrics: Metrics | undefined): void {
	metrics?.countError(err.kind);
	sendError(res, err, ranOf(err.kind, readKeyKnowledge(res.req)), format);
}

/** Starts the trace of a request; `resolveTraceHeaders` returns the headers that propagate it to the upstream. */
export function startTrace(req: IncomingMessage, context: EntryContext, pool: string, tier: number): RequestTrace | undefined {
	return context.tracing?.start(req.headers, {pool, tier});
}

/** @returns The trace headers for the upstream: those of the request's own trace, or else the caller's. */
export function resolveTraceHeaders(req: IncomingMessage, trace: RequestTrace | undefined): Record<string, string> {
	if (trace !== undefined) {
		return trace.headers();
	}

	const {traceparent, tracestate} = req.headers;
	return {
		...(typeof traceparent === 'string' && {traceparent}),
		...(typeof tracestate === 'string' && {tracestate}),
	};
}
