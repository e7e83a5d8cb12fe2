/**
 * Routes of the plain services, under `/services/<service>/...`.
 */
import {createHash} from 'node:crypto';
import {
	All, Controller, Inject, Req, Res,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import Result, {ok} from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Service} from '../config/deployment.js';
import {type PlainServiceSettings} from '../config/schema.js';
import {type Job} from '../dispatch/dispatcher.js';
import {hopByHopHeaders, parseConnectionOptions} from '../dispatch/hop-headers.js';
import {type UpstreamRequest} from '../upstream/exchange.js';
import {declaredLength, readBody} from './body.js';
import {CallerBody} from './caller-body.js';
import {
	admitCaller, type CallerRequest, ENTRY_CONTEXT, type EntryContext, resolveTier,
} from './context.js';
import {ErrorFormat} from './error-body.js';
import {createJob, runJob} from './job.js';
import {type Operation, resolveOperation} from './operation.js';
import {parseServicePath} from './service-path.js';

const forwardedMethods = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);
const allowedMethods = [...forwardedMethods].join(', ');

/** Request headers that are not forwarded: they are meant for this system, or this system sets its own. */
const strippedHeaders = new Set([
	'authorization',
	'content-length',
	'dispatch-id',
	'expect',
	'host',
	'redwingspool-attempt',
	'redwingspool-tier',
	// An upstream that honours these would run a different operation than the one resolved here.
	'x-http-method',
	'x-http-method-override',
	'x-method-override',
]);

/** A request whose service, operation and tier have been resolved. */
type ResolvedRequest = {
	readonly caller: CallerRequest;
	readonly service: Service<PlainServiceSettings>;
	readonly operation: Operation;
	/** Path and query below the service. */
	readonly path: string;
	readonly tier: {rank: number; deadlineMs: number};
};

/** Schedules requests to plain services. */
@Controller('services')
export class ServicesController {
	constructor(@Inject(ENTRY_CONTEXT) private readonly context: EntryContext) {}

	@All('*')
	async handle(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		void reply.hijack();
		await runJob(await this.#createJob(req, reply), reply, this.context, ErrorFormat.Problem);
	}

	async #createJob(req: FastifyRequest, reply: FastifyReply): Promise<Result<Job, SchedulerError>> {
		const resolved = this.#resolve(req, reply);
		if (resolved.isErr) {
			return Result.err(resolved.error);
		}

		const {operation, service} = resolved.value;
		const {bodyLimitBytes} = service.settings;
		const length = declaredLength(req.raw);
		// Other bodies are buffered: the digest of a claim covers the complete body, and the size of a chunked body is only
		// known at its end.
		if (operation.isIdempotent && length !== undefined && length > 0 && length <= bodyLimitBytes) {
			return ok(this.#toJob(req, reply, resolved.value, CallerBody.create(reply.raw, length)));
		}

		const body = await readBody(reply.raw, this.context.memory, {
			party: resolved.value.caller.customer.id, rank: resolved.value.tier.rank, maxBytes: bodyLimitBytes,
		});
		return body.map(bytes => this.#toJob(req, reply, resolved.value, bytes));
	}

	#resolve(req: FastifyRequest, reply: FastifyReply): Result<ResolvedRequest, SchedulerError> {
		const caller = admitCaller(req.raw, this.context);
		if (caller.isErr) {
			return Result.err(caller.error);
		}

		const target = parseServicePath(req.raw.url!);
		if (target.isErr) {
			return Result.err(target.error);
		}

		const {service: name, path} = target.value;
		const service = this.context.settings.deployment.findPlainService(caller.value.customer, name);
		if (service === undefined) {
			return Result.err(SchedulerError.create(ErrorKind.NotFound));
		}

		if (!forwardedMethods.has(req.method)) {
			reply.raw.setHeader('allow', allowedMethods);
			return Result.err(SchedulerError.create(ErrorKind.MethodNotAllowed));
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

	#toJob(req: FastifyRequest, reply: FastifyReply, resolved: ResolvedRequest, body: Uint8Array | CallerBody): Job {
		const {
			caller, service, operation, tier,
		} = resolved;
		const request = toUpstreamRequest(req, resolved, body);
		// For a streamed body the digest covers only its length.
		const digest = createHash('sha256').update(`${request.method} ${request.path}\n`)
			.update(body instanceof CallerBody ? String(body.length) : body).digest('hex');
		return createJob({
			req, reply, caller, pool: service.pool, tier, isIdempotent: operation.isIdempotent, errorFormat: ErrorFormat.Problem,
		}, this.context, {
			model: undefined,
			promptTokens: 0,
			expectedOutputTokens: 1,
			prefix: [],
			digest,
			request,
			keepsAnswer: operation.isIdempotent ? undefined : true,
		});
	}
}

function toUpstreamRequest(req: FastifyRequest, resolved: ResolvedRequest, body: Uint8Array | CallerBody): Omit<UpstreamRequest, 'dispatchId'> {
	const headers: Record<string, string> = {};
	const connectionHeaders = parseConnectionOptions(req.headers.connection);
	for (const [name, value] of Object.entries(req.headers)) {
		if (value !== undefined && !strippedHeaders.has(name) && !hopByHopHeaders.has(name) && !connectionHeaders.has(name)) {
			headers[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return {
		method: req.method,
		path: resolved.path,
		headers,
		body: body instanceof CallerBody || body.byteLength > 0 ? body : undefined,
		idleTimeoutMs: resolved.service.settings.idleTimeoutMs,
	};
}
