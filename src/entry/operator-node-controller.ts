/**
 * Operators' routes for the node and the deployment: status, graceful shutdown, retirement of regions.
 */
import {
	Controller, Delete, Get, Inject, Post, Req, Res,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import Result, {ok} from 'true-myth/result';
import {ErrorKind} from '../base/errors.js';
import {type ConfigError, createConfigError} from '../config/config-error.js';
import {type NodeOperations} from './node-status.js';
import {
	sendOperatorResponse, authenticateAnyOperator, internalRefusal, OPERATOR_CONTEXT, type OperatorContext, checkBootstrapKey,
} from './operator-context.js';

const regionPattern = /^[a-z\d][a-z\d\-]{0,62}$/v;

type RegionRequest = FastifyRequest<{Params: {region: string}}>;

/**
 * Operators of a team can see the node and their own pools. Operations that affect all teams, which are stopping a node
 * and retiring a region, require the bootstrap key of the process.
 */
@Controller('v1')
export class OperatorNodeController {
	constructor(@Inject(OPERATOR_CONTEXT) private readonly context: OperatorContext) {}

	@Get('status')
	async status(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(reply, async () => authenticateAnyOperator(req.raw, this.context).map(({team}) => this.#node.status(team)));
	}

	@Post('drain')
	async drain(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(reply, async () => {
			const rejection = checkBootstrapKey(req.raw, this.context);
			return rejection === undefined ? ok(this.#node.requestDrain()) : Result.err(rejection);
		});
	}

	@Delete('regions/:region')
	async retireRegion(@Req() req: RegionRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(reply, async () => {
			const rejection = checkBootstrapKey(req.raw, this.context);
			if (rejection !== undefined) {
				return Result.err(rejection);
			}

			const {region} = req.params;
			return regionPattern.test(region)
				? this.context.service.retireRegion(region)
				: Result.err(createConfigError(ErrorKind.MalformedRequest, 'region: expected lower-case letters, digits and hyphens.'));
		});
	}

	get #node(): NodeOperations {
		return this.context.node!;
	}

	async #respond(reply: FastifyReply, action: () => Promise<Result<unknown, ConfigError>>): Promise<void> {
		void reply.hijack();
		try {
			sendOperatorResponse(reply.raw, await action());
		} catch {
			sendOperatorResponse(reply.raw, Result.err(internalRefusal()));
		}
	}
}
