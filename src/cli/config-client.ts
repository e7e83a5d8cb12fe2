/**
 * Client of the operators' HTTP interface.
 */
import Result, {ok} from 'true-myth/result';
import {request} from 'undici';
import {z} from 'zod';
import {ErrorKind} from '../base/errors.js';
import {type SettingDefinitions} from '../base/settings.js';
import {type Change} from '../config/check-subtree.js';
import {ExitStatus, type Failure} from './config-exit.js';

/** Longer than the 5 s that a node waits until a change is applied plus the 5 s for the state of a region. */
const RESPONSE_TIMEOUT_MS = 30_000;

/** Settings of the commands that access a team's configuration on a node. */
export const clientSettings = {
	address: {description: 'Address of a node', schema: z.string().regex(/^[^\s\/]+:\d{1,5}$/v, 'expected HOST:PORT').default('127.0.0.1:8080'), valueHint: 'HOST:PORT'},
	team: {description: 'Team that owns the subtree', schema: z.string('expected a team'), valueHint: 'NAME'},
	'operator-key': {
		description: 'Operator key; prefer the environment variable, which other users cannot see', schema: z.string('expected an operator key').min(1, 'expected an operator key'), valueHint: 'KEY',
	},
} as const satisfies SettingDefinitions;

/** Settings of the commands that affect all teams. */
export const bootstrapSettings = {
	address: clientSettings.address,
	'bootstrap-key': {
		description: 'Bootstrap key of the process; prefer the environment variable, which other users cannot see',
		schema: z.string('expected the bootstrap key').min(1, 'expected the bootstrap key'),
		valueHint: 'KEY',
	},
} as const satisfies SettingDefinitions;

/** Address of a node and the key to authenticate with. */
export type ApiTarget = {
	readonly address: string;
	readonly key: string;
};

/** Node, team and operator key of a command. */
export type ClientOptions = {
	readonly address: string;
	readonly team: string;
	readonly 'operator-key': string;
};

const changeSchema = z.object({
	path: z.string(), type: z.enum(['add', 'remove', 'change']), from: z.unknown().optional(), to: z.unknown().optional(),
});
const problemSchema = z.object({
	kind: z.string(),
	detail: z.string(),
	problems: z.array(z.object({path: z.string(), message: z.string()})).default([]),
	currentVersion: z.number().optional(),
	difference: z.array(changeSchema).default([]),
});

export const subtreeVersionSchema = z.object({version: z.number(), subtree: z.record(z.string(), z.unknown()), mayBeOld: z.boolean()});
export const diffSchema = z.object({version: z.number(), changes: z.array(changeSchema)});
export const putSchema = diffSchema.extend({
	regions: z.array(z.object({
		region: z.string(), inForce: z.boolean(), nodes: z.number(), nodesInForce: z.number(),
	})),
});
export const logSchema = z.object({
	versions: z.array(z.object({
		version: z.number(), fromVersion: z.number(), author: z.string(), at: z.number(), digest: z.string(), bytes: z.number(),
	})),
});
export const problemsSchema = z.object({problems: z.array(z.object({path: z.string(), message: z.string()}))});

type ApiCall = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Path and query; for `callTeamApi` relative to the team's configuration. */
	readonly path: string;
	readonly body?: unknown;
	/** Base version of a change, sent as If-Match. */
	readonly fromVersion?: number;
};

const nextSteps: Partial<Record<string, string>> = {
	[ErrorKind.VersionConflict]: 'get the newest version, make your change again, and put it',
	[ErrorKind.InvalidConfig]: 'correct the values at these paths; `config validate FILE` checks a file without a node',
	[ErrorKind.RegionUnreachable]: 'repeat later, or add --force to accept the change although a region will get it late',
	[ErrorKind.StoreUnavailable]: 'nothing was changed; repeat when the store is back',
	[ErrorKind.OutcomeUnknown]: 'read `config log` to see whether the change was accepted before you repeat it',
	[ErrorKind.Unauthenticated]: 'set REDWINGSPOOL_OPERATOR_KEY to an operator key of this team; commands about all teams need REDWINGSPOOL_BOOTSTRAP_KEY',
	[ErrorKind.Forbidden]: 'act on the reason above; REDWINGSPOOL_OPERATOR_KEY is for one team, REDWINGSPOOL_BOOTSTRAP_KEY for what concerns all teams',
	[ErrorKind.NotFound]: 'check the name, and that the node runs this version',
};
const unreachableKinds = new Set<string>([ErrorKind.StoreUnavailable, ErrorKind.OutcomeUnknown, ErrorKind.NotReady, ErrorKind.Draining]);

/** Sends a request to the API of the team's configuration. */
export async function callTeamApi<ResponseBody>(options: ClientOptions, call: ApiCall, schema: z.ZodType<ResponseBody>): Promise<Result<ResponseBody, Failure>> {
	return callApi({address: options.address, key: options['operator-key']}, {...call, path: teamConfigPath(options.team) + call.path}, schema);
}

/** Sends a request to a node and validates the response body. */
export async function callApi<ResponseBody>(target: ApiTarget, call: ApiCall, schema: z.ZodType<ResponseBody>): Promise<Result<ResponseBody, Failure>> {
	try {
		const res = await request(`http://${target.address}${call.path}`, {
			method: call.method,
			headers: createHeaders(target, call),
			...(call.body !== undefined && {body: JSON.stringify(call.body)}),
			headersTimeout: RESPONSE_TIMEOUT_MS,
			bodyTimeout: RESPONSE_TIMEOUT_MS,
		});
		const json: unknown = await res.body.json();
		if (res.statusCode !== 200) {
			return Result.err(toFailure(json));
		}

		const parsed = schema.safeParse(json);
		return parsed.success ? ok(parsed.data) : Result.err(toFailure(undefined));
	} catch (error) {
		return Result.err(connectionFailure(target, call, error as Error));
	}
}

/** @returns The URL of a path relative to the team's configuration. */
export function teamConfigUrl({address, team}: ClientOptions, path: string): string {
	return `http://${address}${teamConfigPath(team)}${path}`;
}

function teamConfigPath(team: string): string {
	return `/v1/teams/${encodeURIComponent(team)}/config`;
}

/** @returns One line per difference. */
export function describeChanges(changes: ReadonlyArray<Pick<Change, 'path' | 'type' | 'from' | 'to'>>): string[] {
	return changes.map(({path, type, from, to}) => {
		if (type === 'change') {
			return `~ ${path}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`;
		}

		return type === 'add' ? `+ ${path}: ${JSON.stringify(to)}` : `- ${path}: ${JSON.stringify(from)}`;
	});
}

function createHeaders({key}: ApiTarget, {body, fromVersion}: ApiCall): Record<string, string> {
	return {
		authorization: `Bearer ${key}`,
		...(body !== undefined && {'content-type': 'application/json'}),
		...(fromVersion !== undefined && {'if-match': `"${fromVersion}"`}),
	};
}

function toFailure(json: unknown): Failure {
	const problem = problemSchema.safeParse(json);
	if (!problem.success) {
		return {
			status: ExitStatus.NotReachable, message: 'the response is not from a redwingspool node', details: [], next: 'check --address',
		};
	}

	const {kind, detail, problems, currentVersion, difference} = problem.data;
	const details = problems.map(({path, message}) => `${path || '(whole file)'}: ${message}`);
	if (currentVersion !== undefined) {
		details.push(`the newest version is ${currentVersion}; it differs from yours by:`, ...describeChanges(difference));
	}

	return {
		status: statusOf(kind), message: `${kind}: ${detail}`, details, next: nextSteps[kind] ?? '',
	};
}

function statusOf(kind: string): ExitStatus {
	if (kind === ErrorKind.VersionConflict) {
		return ExitStatus.Conflict;
	}

	return unreachableKinds.has(kind) ? ExitStatus.NotReachable : ExitStatus.Refused;
}

function connectionFailure({address}: ApiTarget, {method}: ApiCall, error: Error): Failure {
	return {
		status: ExitStatus.NotReachable,
		message: `no answer from ${address}: ${error.message}`,
		details: [],
		next: method === 'PUT' ? 'the change may have been accepted: read `config log` at another address before you repeat it' : 'check --address, or use another node',
	};
}
