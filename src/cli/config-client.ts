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

/** Over the 5 s that a node waits for a change to come into force, and the 5 s for a region's state. */
const ANSWER_TIMEOUT_MS = 30_000;

/** Settings of every command that talks to a node. */
export const clientSettings = {
	address: {description: 'Address of a node', schema: z.string().regex(/^[^\s\/]+:\d{1,5}$/v, 'expected HOST:PORT').default('127.0.0.1:8080'), valueHint: 'HOST:PORT'},
	team: {description: 'Team whose subtree is meant', schema: z.string('expected a team'), valueHint: 'NAME'},
	'operator-key': {
		description: 'Operator key; better set in the environment, where other users cannot see it', schema: z.string('expected an operator key').min(1, 'expected an operator key'), valueHint: 'KEY',
	},
} as const satisfies SettingDefinitions;

/** Settings of the commands that concern all teams. */
export const bootstrapSettings = {
	address: clientSettings.address,
	'bootstrap-key': {
		description: 'Bootstrap key of the process; better set in the environment, where other users cannot see it',
		schema: z.string('expected the bootstrap key').min(1, 'expected the bootstrap key'),
		valueHint: 'KEY',
	},
} as const satisfies SettingDefinitions;

/** A node, and the key that is sent to it. */
export type Target = {
	readonly address: string;
	readonly key: string;
};

/** Where and as whom to connect. */
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

type Call = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Path with its query; `callNode` puts the team's configuration before it. */
	readonly path: string;
	readonly body?: unknown;
	/** The version that a change was made from. */
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
const notReachableKinds = new Set<string>([ErrorKind.StoreUnavailable, ErrorKind.OutcomeUnknown, ErrorKind.NotReady, ErrorKind.Draining]);

/** Sends one request about the team's configuration. */
export async function callNode<Answer>(options: ClientOptions, call: Call, schema: z.ZodType<Answer>): Promise<Result<Answer, Failure>> {
	return callPath({address: options.address, key: options['operator-key']}, {...call, path: configPath(options.team) + call.path}, schema);
}

/** Sends one request. */
export async function callPath<Answer>(target: Target, call: Call, schema: z.ZodType<Answer>): Promise<Result<Answer, Failure>> {
	try {
		const res = await request(`http://${target.address}${call.path}`, {
			method: call.method,
			headers: headersOf(target, call),
			...(call.body !== undefined && {body: JSON.stringify(call.body)}),
			headersTimeout: ANSWER_TIMEOUT_MS,
			bodyTimeout: ANSWER_TIMEOUT_MS,
		});
		const json: unknown = await res.body.json();
		if (res.statusCode !== 200) {
			return Result.err(toFailure(json));
		}

		const answer = schema.safeParse(json);
		return answer.success ? ok(answer.data) : Result.err(toFailure(undefined));
	} catch (error) {
		return Result.err(notReachable(target, call, error as Error));
	}
}

/** @returns The URL of a path below the team's configuration. */
export function urlOf({address, team}: ClientOptions, path: string): string {
	return `http://${address}${configPath(team)}${path}`;
}

function configPath(team: string): string {
	return `/v1/teams/${encodeURIComponent(team)}/config`;
}

/** @returns One line for each difference. */
export function describeChanges(changes: ReadonlyArray<Pick<Change, 'path' | 'type' | 'from' | 'to'>>): string[] {
	return changes.map(({path, type, from, to}) => {
		if (type === 'change') {
			return `~ ${path}: ${JSON.stringify(from)} -> ${JSON.stringify(to)}`;
		}

		return type === 'add' ? `+ ${path}: ${JSON.stringify(to)}` : `- ${path}: ${JSON.stringify(from)}`;
	});
}

function headersOf({key}: Target, {body, fromVersion}: Call): Record<string, string> {
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
			status: ExitStatus.NotReachable, message: 'the address did not answer as a node does', details: [], next: 'check --address',
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

	return notReachableKinds.has(kind) ? ExitStatus.NotReachable : ExitStatus.Refused;
}

function notReachable({address}: Target, {method}: Call, error: Error): Failure {
	return {
		status: ExitStatus.NotReachable,
		message: `no answer from ${address}: ${error.message}`,
		details: [],
		next: method === 'PUT' ? 'the change may have been accepted: read `config log` at another address before you repeat it' : 'check --address, or use another node',
	};
}
