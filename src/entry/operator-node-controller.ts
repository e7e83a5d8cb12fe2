/**
 * Operators' routes about the node and the deployment: status, planned stop, retired regions.
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
	answerOperator, identifyAnyOperator, internalRefusal, OPERATOR_CONTEXT, type OperatorContext, refuseWithoutBootstrap,
} from './operator-context.js';

const regionPattern = /^[a-z\d][a-z\d\-]{0,62}$/v;

type RegionRequest = FastifyRequest<{Params: {region: string}}>;

/**
 * A team's operators see the node and their own pools. What concerns all teams, the stop of a node or a region, needs
 * the bootstrap key of the process.
 */
@Controller('v1')
export class OperatorNodeController {
	constructor(@Inject(OPERATOR_CONTEXT) private readonly context: OperatorContext) {}

	@Get('status')
	async status(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#answer(reply, async () => identifyAnyOperator(req.raw, this.context).map(({team}) => this.#node.status(team)));
	}

	@Post('drain')
	async drain(@Req() req: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#answer(reply, async () => {
			const refused = refuseWithoutBootstrap(req.raw, this.context);
			return refused === undefined ? ok(this.#node.requestDrain()) : Result.err(refused);
		});
	}

	@Delete('regions/:region')
	async retireRegion(@Req() req: RegionRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#answer(reply, async () => {
			const refused = refuseWithoutBootstrap(req.raw, this.context);
			if (refused !== undefined) {
				return Result.err(refused);
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

	async #answer(reply: FastifyReply, action: () => Promise<Result<unknown, ConfigError>>): Promise<void> {
		void reply.hijack();
		try {
			answerOperator(reply.raw, await action());
		} catch {
			answerOperator(reply.raw, Result.err(internalRefusal()));
		}
	}
}
