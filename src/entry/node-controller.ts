/**
 * Routes of the node itself: entry addresses, health, readiness, metrics.
 */
import {
	Controller, Get, Inject, Req, Res,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {
	respondWithError, ENTRY_CONTEXT, type EntryContext, authenticateCaller,
} from './context.js';
import {ErrorFormat} from './error-body.js';

/** Handles the routes that need no upstream. */
@Controller()
export class NodeController {
	constructor(@Inject(ENTRY_CONTEXT) private readonly context: EntryContext) {}

	@Get('v1/entries')
	entries(@Req() req: FastifyRequest, @Res() reply: FastifyReply): void {
		const caller = authenticateCaller(req.raw, this.context);
		if (caller.isErr) {
			void reply.hijack();
			respondWithError(reply.raw, caller.error, ErrorFormat.Problem, this.context.instruments);
			return;
		}

		const response = this.context.entriesFor(`${caller.value.customer.id}/${req.ip}`);
		void reply.header('cache-control', `max-age=${response.keepSeconds}`).send(response);
	}

	@Get('healthz')
	health(@Res() reply: FastifyReply): void {
		void reply.send({status: 'ok'});
	}

	@Get('readyz')
	ready(@Res() reply: FastifyReply): void {
		const isReady = this.context.isReady();
		void reply.status(isReady ? 200 : 503).send({status: isReady ? 'ready' : 'not-ready'});
	}

	@Get('metrics')
	async metrics(@Res() reply: FastifyReply): Promise<void> {
		const text = await this.context.metrics();
		void reply.header('content-type', 'text/plain; version=0.0.4; charset=utf-8').send(text);
	}
}
