/**
 * Routes of the completions protocol: `POST /v1/chat/completions` and `GET /v1/models`.
 */
import {createHash} from 'node:crypto';
import {
	Controller, Get, Inject, Post, Req, Res,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import Result, {ok} from 'true-myth/result';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Customer} from '../config/deployment.js';
import {type Job} from '../dispatch/dispatcher.js';
import {readBody} from './body.js';
import {parseCompletionRequest} from './completion-request.js';
import {
	admitCaller, respondWithError, type CallerRequest, ENTRY_CONTEXT, type EntryContext, authenticateCaller, resolveTier,
} from './context.js';
import {ErrorFormat} from './error-body.js';
import {createJob, runJob} from './job.js';

const jsonHeaders = {'content-type': 'application/json'};

/** Schedules completions requests and lists the models of a customer. */
@Controller('v1')
export class CompletionsController {
	/** Cached body limits; a settings change creates new `Customer` objects, so that entries never become stale. */
	readonly #bodyLimits = new WeakMap<Customer, number>();

	constructor(@Inject(ENTRY_CONTEXT) private readonly context: EntryContext) {}

	@Get('models')
	listModels(@Req() req: FastifyRequest, @Res() reply: FastifyReply): void {
		const caller = authenticateCaller(req.raw, this.context);
		if (caller.isErr) {
			void reply.hijack();
			respondWithError(reply.raw, caller.error, ErrorFormat.Completions, this.context.instruments);
			return;
		}

		const services = this.context.settings.deployment.modelServices(caller.value.customer);
		const data = services.flatMap(service => service.settings.models.map(id => ({
			id, object: 'model', created: 0, owned_by: service.name,
		})));
		void reply.send({object: 'list', data});
	}

	@Post('chat/completions')
	async complete(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		void reply.hijack();
		await runJob(await this.#createJob(req, reply), reply, this.context, ErrorFormat.Completions);
	}

	async #createJob(req: FastifyRequest, reply: FastifyReply): Promise<Result<Job, SchedulerError>> {
		const caller = admitCaller(req.raw, this.context);
		if (caller.isErr) {
			return Result.err(caller.error);
		}

		const body = await readBody(reply.raw, this.context.memory, {
			party: caller.value.customer.id, rank: 0, maxBytes: this.#findBodyLimit(caller.value.customer),
		});
		return body.andThen(bytes => this.#toJob(req, reply, caller.value, bytes));
	}

	/** @returns The largest limit of the customer's services, because which of them is called is only known from the body. */
	#findBodyLimit(customer: Customer): number {
		let limitBytes = this.#bodyLimits.get(customer);
		if (limitBytes === undefined) {
			const services = this.context.settings.deployment.modelServices(customer);
			limitBytes = Math.max(0, ...services.map(service => service.settings.bodyLimitBytes));
			this.#bodyLimits.set(customer, limitBytes);
		}

		return limitBytes;
	}

	#toJob(req: FastifyRequest, reply: FastifyReply, caller: CallerRequest, body: Uint8Array): Result<Job, SchedulerError> {
		const {settings} = this.context;
		const parsed = parseCompletionRequest(body);
		if (parsed.isErr) {
			return Result.err(parsed.error);
		}

		const completion = parsed.value;
		const service = settings.deployment.findModelService(caller.customer, completion.model);
		if (service === undefined) {
			return Result.err(SchedulerError.create(ErrorKind.UnknownModel));
		}

		if (body.byteLength > service.settings.bodyLimitBytes) {
			return Result.err(SchedulerError.create(ErrorKind.BodyTooLarge, `The body is over ${service.settings.bodyLimitBytes} bytes.`));
		}

		const tier = resolveTier(req.raw, service.settings.tiers, service.settings.defaultTier);
		if (tier.isErr) {
			return Result.err(tier.error);
		}

		const digest = createHash('sha256').update(body).digest('hex');
		return ok(createJob({
			req, reply, caller, pool: service.pool, tier: tier.value, isIdempotent: false, errorFormat: ErrorFormat.Completions,
		}, this.context, {
			model: completion.model,
			isWhole: completion.isWhole,
			promptTokens: completion.promptTokens,
			expectedOutputTokens: completion.maxOutputTokens,
			prefix: completion.prefix,
			digest,
			request: {
				method: 'POST', path: '/v1/chat/completions', headers: jsonHeaders, body, idleTimeoutMs: service.settings.idleTimeoutMs,
			},
			keepsAnswer: false,
		}));
	}
}
