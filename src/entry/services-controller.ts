/**
 * Plain services under `/services/<service>/...`.
 */
import {createHash, randomUUID} from 'node:crypto';
import {
	All, Controller, Inject, Req, Res,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import Result from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Service} from '../config/deployment.js';
import {type PlainServiceSettings} from '../config/schema.js';
import {type Job} from '../dispatch/dispatcher.js';
import {Ticket} from '../dispatch/ticket.js';
import {type UpstreamRequest} from '../upstream/exchange.js';
import {readBody} from './body.js';
import {
	answerError, callerSignal, type CallerRequest, ENTRY_CONTEXT, type EntryContext, identifyCaller, keyKnowledgeOf, resolveTier,
} from './context.js';
import {ErrorFormat} from './error-body.js';
import {HttpSink} from './http-sink.js';
import {type Operation, resolveOperation} from './operation.js';

/** Headers that are the caller's affair with this system alone, or end at this hop. */
const withheldHeaders = new Set([
	'authorization',
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'proxy-authorization',
	'redwingspool-attempt',
	'redwingspool-tier',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** A request whose service, operation and tier are known. */
type ResolvedRequest = {
	readonly caller: CallerRequest;
	readonly service: Service<PlainServiceSettings>;
	readonly operation: Operation;
	/** Path and query below the service. */
	readonly path: string;
	readonly tier: {rank: number; deadlineMs: number};
};

/** Routes of the plain services. */
@Controller('services')
export class ServicesController {
	constructor(@Inject(ENTRY_CONTEXT) private readonly context: EntryContext) {}

	@All('*')
	async handle(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		void reply.hijack();
		const job = await this.#createJob(req, reply);
		if (job.isErr) {
			answerError(reply.raw, job.error, ErrorFormat.Problem, keyKnowledgeOf(req.raw));
			return;
		}

		await this.context.dispatcher.run(job.value);
	}

	async #createJob(req: FastifyRequest, reply: FastifyReply): Promise<Result<Job, SchedulerError>> {
		const resolved = this.#resolve(req);
		if (resolved.isErr) {
			return Result.err(resolved.error);
		}

		const body = await readBody(req.raw, resolved.value.service.settings.bodyLimitBytes);
		return body.map(bytes => this.#toJob(req, reply, resolved.value, bytes));
	}

	#resolve(req: FastifyRequest): Result<ResolvedRequest, SchedulerError> {
		const caller = identifyCaller(req.raw, this.context);
		if (caller.isErr) {
			return Result.err(caller.error);
		}

		const {name, path} = splitPath(req.raw.url!);
		const service = this.context.settings.deployment.findPlainService(caller.value.customer, name);
		if (service === undefined) {
			return Result.err(SchedulerError.create(ErrorKind.NotFound));
		}

		const operation = resolveOperation(service.settings, req.method, path);
		if (!operation.isIdempotent && caller.value.idempotencyKey === undefined) {
			return Result.err(SchedulerError.create(ErrorKind.KeyRequired));
		}

		const tier = resolveTier(req.raw, service.settings.tiers, operation.tier ?? service.settings.defaultTier);
		return tier.map(value => ({
			caller: caller.value, service, operation, path, tier: value,
		}));
	}

	#toJob(req: FastifyRequest, reply: FastifyReply, resolved: ResolvedRequest, body: Uint8Array): Job {
		const {clock, invariants} = this.context;
		const {
			caller, service, operation, tier,
		} = resolved;
		const ticket = Ticket.create({invariants, key: caller.keyKnowledge, isIdempotent: operation.isIdempotent});
		const request = toUpstreamRequest(req, resolved, ticket.id, body);
		const digest = createHash('sha256').update(`${request.method} ${request.path}\n`).update(body).digest('hex');
		const now = clock.now();
		return {
			ticket,
			work: {
				id: randomUUID(),
				pool: service.pool,
				customer: caller.customer.id,
				customerWeight: caller.customer.settings.weight,
				tier: tier.rank,
				model: undefined,
				promptTokens: 0,
				expectedOutputTokens: 1,
				prefix: [],
				arrivedAt: now,
				deadlineAt: now + tier.deadlineMs,
				fingerprint: `${service.pool}:${digest}`,
				excluded: [],
			},
			request,
			claimRequest: operation.isIdempotent
				? undefined
				: {
					pool: service.pool,
					customer: caller.customer.id,
					key: caller.idempotencyKey!,
					digest,
					isFirstAttempt: caller.keyKnowledge.isFirstAttempt,
					keepsAnswer: true,
				},
			sink: HttpSink.create(reply.raw, ErrorFormat.Problem),
			signal: callerSignal(reply.raw),
		};
	}
}

function splitPath(url: string): {name: string; path: string} {
	const match = /^\/services\/(?<name>[^\/?]*)(?<path>.*)$/sv.exec(url);
	const path = match?.groups?.path ?? '';
	return {name: match?.groups?.name ?? '', path: path.startsWith('/') ? path : `/${path}`};
}

function toUpstreamRequest(req: FastifyRequest, resolved: ResolvedRequest, dispatchId: string, body: Uint8Array): UpstreamRequest {
	const headers: Record<string, string> = {'dispatch-id': dispatchId};
	for (const [name, value] of Object.entries(req.headers)) {
		if (value !== undefined && !withheldHeaders.has(name)) {
			headers[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return {
		dispatchId,
		method: req.method,
		path: resolved.path,
		headers,
		body: body.byteLength > 0 ? body : undefined,
		idleTimeoutMs: resolved.service.settings.idleTimeoutMs,
	};
}
