/**
 * Shared by the operators' routes: authentication, limits, and request and response bodies.
 */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {ErrorKind, Ran, SchedulerError} from '../base/errors.js';
import {type MemoryAccount} from '../base/memory-account.js';
import {type ConfigError, createConfigError} from '../config/config-error.js';
import {type ConfigService} from '../config/config-service.js';
import {type ConfigSync} from '../config/config-sync.js';
import {digestKey} from '../config/deployment.js';
import {readBody} from './body.js';
import {ErrorFormat, formatError} from './error-body.js';
import {type NodeOperations} from './node-status.js';
import {type SubtreeWatches} from './operator-watch.js';

/** Injection token of the operators' context. */
export const OPERATOR_CONTEXT = 'OperatorContext';

/** Maximum size of a subtree in a request body. */
export const MAX_SUBTREE_BYTES = 8 * 1024 * 1024;
const BODY_TIMEOUT_MS = 10_000;
/** Party of the account of held bytes that all operators are; no customer has this name. */
const OPERATOR_PARTY = 'operators:';

/** Services of the node that the operators' routes depend on. */
export type OperatorContext = {
	readonly clock: Clock;
	readonly memory: MemoryAccount;
	readonly service: ConfigService;
	readonly sync: ConfigSync;
	readonly watches: SubtreeWatches;
	/** SHA-256 digest in hex of the key that creates a team's first operator; where absent, no bootstrap key is accepted. */
	readonly bootstrapDigest: string | undefined;
	/** Operations on the node itself; where absent, the routes for node status and shutdown are not registered. */
	readonly node?: NodeOperations;
};

/** The authenticated sender of a request. */
export type OperatorIdentity = {
	readonly team: string;
	readonly name: string;
	/** Whether the bootstrap key was used, which may only create the team's first operator. */
	readonly isBootstrap: boolean;
};

const teamPattern = /^[a-z\d][a-z\d\-]{0,62}$/v;

/** Authenticates an operator of any team by the key digests in the applied subtrees. */
export function authenticateAnyOperator(req: IncomingMessage, context: OperatorContext): Result<OperatorIdentity, ConfigError> {
	const apiKey = readBearerToken(req);
	if (apiKey.isErr) {
		return Result.err(apiKey.error);
	}

	const digest = digestKey(apiKey.value);
	for (const {team} of context.sync.subtrees.heads) {
		const operators = Object.entries(context.sync.subtrees.get(team)?.subtree.operators ?? {});
		const operator = operators.find(([, {keyDigests}]) => keyDigests.includes(digest));
		if (operator !== undefined) {
			return ok({team, name: operator[0], isBootstrap: false});
		}
	}

	return Result.err(isBootstrapDigest(digest, context.bootstrapDigest)
		? createConfigError(ErrorKind.Forbidden, 'The bootstrap key belongs to no team; use an operator key.')
		: createConfigError(ErrorKind.Unauthenticated, 'The operator key is not known.'));
}

/** @returns The error of a request that was not sent with the bootstrap key of the process, otherwise `undefined`. */
export function checkBootstrapKey(req: IncomingMessage, context: OperatorContext): ConfigError | undefined {
	const apiKey = readBearerToken(req);
	if (apiKey.isErr) {
		return apiKey.error;
	}

	const digest = digestKey(apiKey.value);
	if (isBootstrapDigest(digest, context.bootstrapDigest)) {
		return undefined;
	}

	return isOperatorOfAnyTeam(digest, context)
		? createConfigError(ErrorKind.Forbidden, 'This concerns all teams and needs the bootstrap key of the process.')
		: createConfigError(ErrorKind.Unauthenticated, 'The key is not the bootstrap key of the process.');
}

/** Authenticates an operator of a team by the key digests in the team's applied subtree. */
export function authenticateOperator(req: IncomingMessage, team: string, context: OperatorContext): Result<OperatorIdentity, ConfigError> {
	const apiKey = readBearerToken(req);
	if (apiKey.isErr) {
		return Result.err(apiKey.error);
	}

	if (!teamPattern.test(team)) {
		return Result.err(createConfigError(ErrorKind.NotFound, 'There is no such team.'));
	}

	const digest = digestKey(apiKey.value);
	const operators = Object.entries(context.sync.subtrees.get(team)?.subtree.operators ?? {});
	const operator = operators.find(([, {keyDigests}]) => keyDigests.includes(digest));
	if (operator !== undefined) {
		return ok({team, name: operator[0], isBootstrap: false});
	}

	if (isBootstrapDigest(digest, context.bootstrapDigest)) {
		return operators.some(([, {keyDigests}]) => keyDigests.length > 0)
			? Result.err(createConfigError(ErrorKind.Forbidden, 'The team has an operator; the bootstrap key no longer applies to it.'))
			: ok({team, name: 'bootstrap', isBootstrap: true});
	}

	return isOperatorOfAnyTeam(digest, context)
		? Result.err(createConfigError(ErrorKind.Forbidden, 'The key belongs to another team; an operator may use only its own subtree.'))
		: Result.err(createConfigError(ErrorKind.Unauthenticated, 'The operator key is not known.'));
}

/** Reads and parses a JSON body, within `MAX_SUBTREE_BYTES` and `BODY_TIMEOUT_MS`. */
export async function readJson(res: ServerResponse, {clock, memory}: OperatorContext): Promise<Result<unknown, ConfigError>> {
	const timer = clock.setTimer(BODY_TIMEOUT_MS, () => {
		res.req.destroy(new Error('The request body did not arrive in time.'));
	});
	const body = await readBody(res, memory, {party: OPERATOR_PARTY, rank: 0, maxBytes: MAX_SUBTREE_BYTES});
	timer.cancel();
	if (body.isErr) {
		return Result.err({err: body.error});
	}

	try {
		return ok(JSON.parse(Buffer.from(body.value).toString('utf8')));
	} catch {
		return Result.err(createConfigError(ErrorKind.MalformedRequest, 'The body is not JSON.'));
	}
}

/** Sends a result as JSON, with its version as the ETag, or the problem details of an error. */
export function sendOperatorResponse(res: ServerResponse, result: Result<unknown, ConfigError>, version?: number): void {
	if (result.isOk) {
		const headers = {'content-type': 'application/json', 'cache-control': 'no-store', ...(version !== undefined && {etag: `"${version}"`})};
		res.writeHead(200, headers);
		res.end(JSON.stringify(result.value));
		return;
	}

	const {err, ...details} = result.error;
	const ran = err.kind === ErrorKind.OutcomeUnknown ? Ran.Unknown : err.answer.ran;
	const {status, headers, body} = formatError(err, ran, ErrorFormat.Problem);
	// Closes the connection, so that the rest of an unread body is not read.
	res.writeHead(status, {...headers, connection: 'close'});
	res.end(JSON.stringify({...JSON.parse(body) as Record<string, unknown>, ...details}));
}

/** @returns The error for an unexpected exception; its message is not exposed to the caller. */
export function internalRefusal(): ConfigError {
	return {err: SchedulerError.create(ErrorKind.Internal)};
}

function readBearerToken(req: IncomingMessage): Result<string, ConfigError> {
	const apiKey = /^Bearer (?<key>\S{1,500})$/v.exec(req.headers.authorization ?? '')?.groups?.key;
	return apiKey === undefined ? Result.err(createConfigError(ErrorKind.Unauthenticated, 'An operator key is required as a bearer token.')) : ok(apiKey);
}

function isBootstrapDigest(digest: string, expected: string | undefined): boolean {
	return expected?.length === digest.length && timingSafeEqual(Buffer.from(digest), Buffer.from(expected));
}

function isOperatorOfAnyTeam(digest: string, {sync}: OperatorContext): boolean {
	return sync.subtrees.heads.some(({team}) => {
		const operators = Object.values(sync.subtrees.get(team)?.subtree.operators ?? {});
		return operators.some(({keyDigests}) => keyDigests.includes(digest));
	});
}
