/**
 * What the controllers of the callers' interface share.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {
	ErrorKind, type KeyKnowledge, ranOf, SchedulerError,
} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type Metrics} from '../base/metrics.js';
import {type RequestTrace, type Tracing} from '../base/trace.js';
import {type Customer} from '../config/deployment.js';
import {type CurrentSettings} from '../config/current-settings.js';
import {type TierSettings} from '../config/schema.js';
import {type Dispatcher} from '../dispatch/dispatcher.js';
import {type EntriesAnswer} from '../members/entries.js';
import {type BodyBudget} from './body.js';
import {type ErrorFormat} from './error-body.js';
import {type RateLimiter} from './rate-limiter.js';
import {sendError} from './send-error.js';

/** Injection token of the context. */
export const ENTRY_CONTEXT = 'EntryContext';

/** Everything that the callers' interface needs from the rest of the node. */
export type EntryDependencies = {
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly settings: CurrentSettings;
	readonly dispatcher: Dispatcher;
	/** Addresses for a caller, by a stable identity of that caller. */
	readonly entriesFor: (caller: string) => EntriesAnswer;
	/** Metrics in the exposition format. */
	readonly metrics: () => Promise<string>;
	/** Where errors are counted that never reach the dispatcher. */
	readonly instruments?: Metrics | undefined;
	/** Present where traces are set up. */
	readonly tracing?: Tracing | undefined;
	/** Whether a planned stop has begun: callers are asked to close their connections. */
	readonly isLeaving?: () => boolean;
	/** Whether new work is refused, as callers should have left. */
	readonly isRefusing?: () => boolean;
	/** Whether the node takes requests, as `GET /readyz` answers. */
	readonly isReady: () => boolean;
};

/** What the controllers work with. */
export type EntryContext = EntryDependencies & {
	readonly rateLimiter: RateLimiter;
	readonly bodyBudget: BodyBudget;
};

const MAX_KEY_LENGTH = 255;
/** Headers whose repetition would leave open which value applies. */
const singleHeaders = new Set(['authorization', 'idempotency-key', 'redwingspool-attempt', 'redwingspool-tier']);

/** A request that belongs to a known customer. */
export type CallerRequest = {
	readonly customer: Customer;
	/** Value of the Idempotency-Key header. */
	readonly idempotencyKey: string | undefined;
	readonly keyKnowledge: KeyKnowledge;
};

/** @returns What a request says about its idempotency key. */
export function keyKnowledgeOf(req: IncomingMessage): KeyKnowledge {
	return {
		isKeyed: req.headers['idempotency-key'] !== undefined,
		holdsClaim: false,
		isFirstAttempt: req.headers['redwingspool-attempt'] === '1',
	};
}

/** Finds the customer by API key and reads the idempotency key. */
export function identifyCaller(req: IncomingMessage, context: EntryContext): Result<CallerRequest, SchedulerError> {
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
	if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > MAX_KEY_LENGTH)) {
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, `Idempotency-Key needs 1 to ${MAX_KEY_LENGTH} characters.`));
	}

	return ok({customer, idempotencyKey, keyKnowledge: keyKnowledgeOf(req)});
}

function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
	const seen: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (singleHeaders.has(name)) {
			if (seen.includes(name)) {
				return name;
			}

			seen.push(name);
		}
	}

	return undefined;
}

/** Identifies the caller of a request that is to be run, and counts it against the customer's rate. */
export function admitCaller(req: IncomingMessage, context: EntryContext): Result<CallerRequest, SchedulerError> {
	if (context.isRefusing?.()) {
		return Result.err(SchedulerError.create(ErrorKind.Draining));
	}

	return identifyCaller(req, context).andThen(caller => context.rateLimiter.take(caller.customer).map(() => caller));
}

/** The tier of a request: its header, else the default. */
export function resolveTier(
	req: IncomingMessage,
	tiers: readonly TierSettings[],
	defaultTier: string,
): Result<{rank: number; deadlineMs: number}, SchedulerError> {
	const wanted = req.headers['redwingspool-tier']?.toString() ?? defaultTier;
	const rank = tiers.findIndex(tier => tier.name === wanted);
	if (rank === -1) {
		const names = tiers.map(tier => tier.name).join(', ');
		return Result.err(SchedulerError.create(ErrorKind.MalformedRequest, `Redwingspool-Tier: expected one of ${names}.`));
	}

	return ok({rank, deadlineMs: tiers[rank]!.deadlineMs});
}

const traceparentPattern = /^[\da-f]{2}-(?<traceId>[\da-f]{32})-/v;

/** @returns The ID of this request's trace, else of the trace that the caller named, for log lines. */
export function traceIdOf(req: IncomingMessage, trace: RequestTrace | undefined): string | undefined {
	const {traceparent} = req.headers;
	return trace?.traceId ?? (typeof traceparent === 'string' ? traceparentPattern.exec(traceparent)?.groups?.traceId : undefined);
}

/** Answers a request that never reached the dispatcher. */
export function answerError(res: ServerResponse, err: SchedulerError, format: ErrorFormat, metrics: Metrics | undefined): void {
	metrics?.countError(err.kind);
	sendError(res, err, ranOf(err.kind, keyKnowledgeOf(res.req)), format);
}

/** Starts the trace of a request; `traceHeaders` has what is passed on to the upstream. */
export function startTrace(req: IncomingMessage, context: EntryContext, pool: string, tier: number): RequestTrace | undefined {
	return context.tracing?.start(req.headers, {pool, tier});
}

/** @returns The trace headers for the upstream: those of this request's trace, else the caller's own. */
export function traceHeaders(req: IncomingMessage, trace: RequestTrace | undefined): Record<string, string> {
	if (trace !== undefined) {
		return trace.headers();
	}

	const {traceparent, tracestate} = req.headers;
	return {
		...(typeof traceparent === 'string' && {traceparent}),
		...(typeof tracestate === 'string' && {tracestate}),
	};
}
