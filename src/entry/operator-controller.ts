/**
 * Operators' routes for a team's configuration, under `/v1/teams/<team>/config`.
 */
import {type IncomingMessage} from 'node:http';
import {
	Controller, Get, Inject, Post, Put, Req, Res,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import Result, {ok} from 'true-myth/result';
import {ErrorKind} from '../base/errors.js';
import {checkSubtree, compareSubtrees} from '../config/check-subtree.js';
import {type ConfigError, createConfigError} from '../config/config-error.js';
import {
	sendOperatorResponse, authenticateOperator, internalRefusal, OPERATOR_CONTEXT, type OperatorContext, type OperatorIdentity, readJson,
} from './operator-context.js';
import {MAX_WATCHES} from './operator-watch.js';

const DEFAULT_LOG_LIMIT = 20;
const MAX_LOG_LIMIT = 200;

type TeamRequest = FastifyRequest<{Params: {team: string}; Querystring: Record<string, string | undefined>}>;
type Action = (operator: OperatorIdentity) => Promise<Result<unknown, ConfigError>>;

/** Reads, validates, changes and watches the subtree of one team. */
@Controller('v1/teams/:team/config')
export class OperatorController {
	constructor(@Inject(OPERATOR_CONTEXT) private readonly context: OperatorContext) {}

	@Get()
	async get(@Req() req: TeamRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(req, reply, async ({team}) => {
			const version = parseInteger(req.query.version, 'version');
			return version.isErr ? Result.err(version.error) : this.context.service.get(team, version.value);
		});
	}

	@Put()
	async put(@Req() req: TeamRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(req, reply, async operator => {
			const fromVersion = readIfMatch(req.raw);
			if (fromVersion.isErr) {
				return Result.err(fromVersion.error);
			}

			const subtree = await readJson(reply.raw, this.context);
			if (subtree.isErr) {
				return Result.err(subtree.error);
			}

			const rejection = operator.isBootstrap ? await this.#checkBootstrapChange(operator.team, subtree.value) : undefined;
			return rejection === undefined
				? this.context.service.put({
					team: operator.team, author: operator.name, fromVersion: fromVersion.value, subtree: subtree.value, force: req.query.force === 'true',
				})
				: Result.err(rejection);
		});
	}

	@Post('diff')
	async diff(@Req() req: TeamRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(req, reply, async ({team}) => {
			const subtree = await readJson(reply.raw, this.context);
			return subtree.isErr ? Result.err(subtree.error) : this.context.service.diff(team, subtree.value);
		});
	}

	@Post('validate')
	async validate(@Req() req: TeamRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(req, reply, async () => {
			const subtree = await readJson(reply.raw, this.context);
			return subtree.map(value => ({problems: checkSubtree(value).match({Ok: () => [], Err: problems => problems})}));
		});
	}

	@Get('log')
	async log(@Req() req: TeamRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(req, reply, async ({team}) => {
			const limit = parseInteger(req.query.limit, 'limit');
			if (limit.isErr) {
				return Result.err(limit.error);
			}

			const records = await this.context.service.log(team, Math.min(Math.max(limit.value ?? DEFAULT_LOG_LIMIT, 1), MAX_LOG_LIMIT));
			return records.map(list => ({versions: list.map(({body: _body, ...record}) => record)}));
		});
	}

	@Get('regions')
	async regions(@Req() req: TeamRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#respond(req, reply, async ({team}) => {
			const version = this.context.sync.subtrees.get(team)?.head.version ?? 0;
			return ok({version, regions: this.context.service.regionReports(team, version), status: this.context.sync.status.source});
		});
	}

	@Get('watch')
	watch(@Req() req: TeamRequest, @Res() reply: FastifyReply): void {
		void reply.hijack();
		const operator = authenticateOperator(req.raw, req.params.team, this.context);
		if (operator.isErr) {
			sendOperatorResponse(reply.raw, operator);
		} else if (this.context.watches.isFull) {
			sendOperatorResponse(reply.raw, Result.err(createConfigError(ErrorKind.Overloaded, `This node has ${MAX_WATCHES} watches; use another address.`)));
		} else {
			this.context.watches.start(reply.raw, operator.value.team);
		}
	}

	async #respond(req: TeamRequest, reply: FastifyReply, action: Action): Promise<void> {
		void reply.hijack();
		const operator = authenticateOperator(req.raw, req.params.team, this.context);
		if (operator.isErr) {
			sendOperatorResponse(reply.raw, operator);
			return;
		}

		try {
			sendOperatorResponse(reply.raw, await action(operator.value));
		} catch {
			sendOperatorResponse(reply.raw, Result.err(internalRefusal()));
		}
	}

	/** Rejects a change by the bootstrap key, unless the team has no operator key and only operators are changed. */
	async #checkBootstrapChange(team: string, subtree: unknown): Promise<ConfigError | undefined> {
		const current = await this.context.service.get(team);
		if (current.isErr) {
			return current.error;
		}

		// Checks the stored subtree, because the one applied on this node may be older.
		const checked = checkSubtree(current.value.subtree);
		if (checked.isOk && Object.values(checked.value.operators).some(({keyDigests}) => keyDigests.length > 0)) {
			return createConfigError(ErrorKind.Forbidden, 'The team has an operator; the bootstrap key no longer applies to it.');
		}

		const isObject = typeof subtree === 'object' && subtree !== null;
		const changes = isObject ? compareSubtrees(current.value.subtree, subtree as Record<string, unknown>) : [];
		return changes.every(({path}) => path.split('.', 1)[0] === 'operators')
			? undefined
			: createConfigError(ErrorKind.Forbidden, 'The bootstrap key may change only the operators; make an operator key first.');
	}
}

function parseInteger(text: string | undefined, name: string): Result<number | undefined, ConfigError> {
	if (text === undefined) {
		return ok(undefined);
	}

	return /^\d{1,10}$/v.test(text)
		? ok(Number(text))
		: Result.err(createConfigError(ErrorKind.MalformedRequest, `${name}: expected a whole number.`));
}

function readIfMatch(req: IncomingMessage): Result<number, ConfigError> {
	const version = /^"(?<version>\d{1,10})"$/v.exec(req.headers['if-match'] ?? '')?.groups?.version;
	return version === undefined
		? Result.err(createConfigError(ErrorKind.MalformedRequest, 'If-Match: expected the version that the change was made from, such as "7"; "0" for a new subtree.'))
		: ok(Number(version));
}
