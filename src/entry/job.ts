/**
 * Creates and runs the dispatcher's job for a request; shared by the routes of model services and plain services.
 */
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {type Result} from 'true-myth/result';
import {type SchedulerError} from '../base/errors.js';
import {type RequestTrace} from '../base/trace.js';
import {type ClaimRequest} from '../coordination/claims.js';
import {type Job} from '../dispatch/dispatcher.js';
import {RequestLifecycle} from '../dispatch/request-lifecycle.js';
import {type Work} from '../policy/scheduler.js';
import {type UpstreamRequest} from '../upstream/exchange.js';
import {
	respondWithError, type CallerRequest, type EntryContext, startTrace, resolveTraceHeaders, resolveTraceId,
} from './context.js';
import {type ErrorFormat} from './error-body.js';
import {HttpSink} from './http-sink.js';

/** A request whose caller, pool and tier have been resolved. */
export type ResolvedCall = {
	readonly req: FastifyRequest;
	readonly reply: FastifyReply;
	readonly caller: CallerRequest;
	readonly pool: string;
	readonly tier: {readonly rank: number; readonly deadlineMs: number};
	readonly isIdempotent: boolean;
	readonly errorFormat: ErrorFormat;
};

/** Properties of a job that depend on the kind of service. */
export type CallDetails = Pick<Work, 'model' | 'isWhole' | 'promptTokens' | 'expectedOutputTokens' | 'prefix'> & {
	/** Digest of the request, in hex. */
	readonly digest: string;
	/** The upstream request without its dispatch ID and trace headers, which are added here. */
	readonly request: Omit<UpstreamRequest, 'dispatchId'>;
	/** Whether the response is stored for retries with the same idempotency key; `undefined` for requests without a claim. */
	readonly keepsAnswer: boolean | undefined;
};

/** Creates the job for a request and starts its trace. */
export function createJob(call: ResolvedCall, context: EntryContext, details: CallDetails): Job {
	const {req, reply, caller, pool, tier, isIdempotent, errorFormat} = call;
	const {request, digest} = details;
	const trace = startTrace(req.raw, context, pool, tier.rank);
	const lifecycle = RequestLifecycle.create({invariants: context.invariants, key: caller.keyKnowledge, isIdempotent});
	return {
		lifecycle,
		work: createWork(call, lifecycle.id, details, context.clock.now()),
		request: {
			dispatchId: lifecycle.id,
			method: request.method,
			path: request.path,
			headers: createUpstreamHeaders(req, request.headers, lifecycle.id, trace),
			body: request.body,
			idleTimeoutMs: request.idleTimeoutMs,
		},
		claimRequest: createClaimRequest(call, digest, details.keepsAnswer),
		trace,
		traceId: resolveTraceId(req.raw, trace),
		sink: HttpSink.create(reply.raw, errorFormat, {
			account: context.memory, party: caller.customer.id, rank: tier.rank, idleMs: request.idleTimeoutMs,
		}),
	};
}

function createWork({pool, caller: {customer}, tier}: ResolvedCall, id: string, details: CallDetails, now: number): Work {
	return {
		id,
		pool,
		customer: customer.id,
		customerWeight: customer.settings.weight,
		tier: tier.rank,
		model: details.model,
		isWhole: details.isWhole,
		promptTokens: details.promptTokens,
		expectedOutputTokens: details.expectedOutputTokens,
		prefix: details.prefix,
		arrivedAt: now,
		deadlineAt: now + tier.deadlineMs,
		fingerprint: `${pool}:${details.digest}`,
		excluded: [],
	};
}

function createClaimRequest({pool, caller}: ResolvedCall, digest: string, keepsAnswer: boolean | undefined): ClaimRequest | undefined {
	return caller.idempotencyKey === undefined || keepsAnswer === undefined
		? undefined
		: {
			pool,
			customer: caller.customer.id,
			key: caller.idempotencyKey,
			digest,
			isFirstAttempt: caller.keyKnowledge.isFirstAttempt,
			keepsAnswer,
		};
}

function createUpstreamHeaders(req: FastifyRequest, headers: UpstreamRequest['headers'], dispatchId: string, trace: RequestTrace | undefined): Record<string, string> {
	return {...headers, 'dispatch-id': dispatchId, ...resolveTraceHeaders(req.raw, trace)};
}

/** Runs a job to completion, or sends the error that prevented its creation. */
export async function runJob(job: Result<Job, SchedulerError>, reply: FastifyReply, context: EntryContext, format: ErrorFormat): Promise<void> {
	if (job.isErr) {
		respondWithError(reply.raw, job.error, format, context.instruments);
		return;
	}

	await context.dispatcher.run(job.value);
}
