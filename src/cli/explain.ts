/**
 * `redwingspool explain`: shows where a request would be sent now, and why.
 */
import {readFileSync} from 'node:fs';
import {defineCommand} from 'citty';
import Table from 'cli-table3';
import Result, {ok} from 'true-myth/result';
import {z} from 'zod';
import {type SettingDefinitions, toArguments} from '../base/settings.js';
import {callApi, clientSettings} from './config-client.js';
import {
	EXIT_STATUS_HELP, ExitStatus, type Failure, unwrapOrExit,
} from './config-exit.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const textSchema = z.string().min(1).optional();
const sizeSchema = z.string().regex(/^\d+(?:\.\d+)?$/v, 'expected a number').optional();
const explainSettings = {
	address: {...clientSettings.address, description: 'Operator address of a VM'},
	'explain-key': {
		description: 'Key for explanations; prefer the environment variable, which other users cannot see', schema: z.string('expected a key').min(1, 'expected a key'), valueHint: 'KEY',
	},
	file: {description: 'JSON file with the fields route, customer, promptTokens, outputEvents, dataCentre and service; flags take precedence', schema: textSchema, valueHint: 'FILE'},
	route: {description: 'Name of the route', schema: textSchema, valueHint: 'NAME'},
	customer: {description: 'Name of the customer', schema: textSchema, valueHint: 'NAME'},
	'prompt-tokens': {description: 'Tokens of the prompt', schema: sizeSchema, valueHint: 'NUMBER'},
	'output-events': {description: 'Expected number of events of the response', schema: sizeSchema, valueHint: 'NUMBER'},
	'data-centre': {description: 'Data centre where the request arrives; that of the VM if it is not given', schema: textSchema, valueHint: 'NAME'},
	service: {description: 'Service of the route; the one with the largest weight if it is not given', schema: textSchema, valueHint: 'NAME'},
} as const satisfies SettingDefinitions;

const fileSchema = z.strictObject({
	route: z.string(), customer: z.string(), promptTokens: z.number(), outputEvents: z.number(), dataCentre: z.string(), service: z.string(),
}).partial();

const rangeSchema = z.object({min: z.number(), max: z.number()});
const explanationSchema = z.object({
	pool: z.string(),
	outcome: z.string(),
	upstreamId: z.string().optional(),
	refusal: z.object({kind: z.string(), status: z.number(), retryAfterMs: rangeSchema}).optional(),
	upstreams: z.array(z.object({
		id: z.string(),
		dataCentre: z.string(),
		region: z.string(),
		leftOut: z.string().optional(),
		costMs: z.number().optional(),
		parts: z.record(z.string(), z.number()).optional(),
		expectedFirstMs: z.number().optional(),
		held: z.number(),
		slots: z.number(),
		paceFactor: z.number(),
		reportAgeMs: z.number().optional(),
		statementAgeMs: z.number().optional(),
	})),
	unlistedUpstreams: z.number(),
	queue: z.object({waiting: z.number(), waitingOfCustomer: z.number(), expectedWaitMs: z.number()}),
	share: z.object({weight: z.number(), leadMs: z.number(), serviceMs: z.number()}).optional(),
	quota: z.object({
		perSecond: z.number(), burst: z.number(), left: z.number(), share: z.number(), cost: z.number(),
	}).optional(),
	isStandalone: z.boolean(),
});
const responseSchema = z.union([z.object({explanation: explanationSchema}), z.object({allocator: z.object({vm: z.string(), address: z.string()})})]);

type ExplanationView = z.infer<typeof explanationSchema>;

/** @returns The explanation as text with a table. */
export function describeExplanation(explanation: ExplanationView): string {
	const {pool, outcome, upstreamId, refusal, upstreams, unlistedUpstreams, queue, share, quota, isStandalone} = explanation;
	const table = new Table({head: ['upstream', 'data centre', 'cost', 'components', 'first ms', 'held', 'pace', 'report age', 'pace age', 'left out'], style: {head: [], border: [], compact: true}});
	table.push(...upstreams.map(({id, dataCentre, costMs, parts = {}, expectedFirstMs, held, slots, paceFactor, reportAgeMs, statementAgeMs, leftOut}) => [
		id,
		dataCentre,
		format(costMs),
		Object.entries(parts).filter(([, ms]) => ms !== 0).map(([name, ms]) => `${name} ${format(ms)}`).join(', '),
		format(expectedFirstMs),
		`${held} of ${slots}`,
		paceFactor.toFixed(2),
		format(reportAgeMs),
		format(statementAgeMs),
		leftOut ?? '',
	]));
	const result = refusal === undefined
		? (upstreamId === undefined ? 'waits for a place' : `sent to ${upstreamId}`)
		: `refused with ${refusal.status} (${refusal.kind}), Retry-After ${format(refusal.retryAfterMs.min)} to ${format(refusal.retryAfterMs.max)} ms`;
	return [
		`${pool}: ${outcome}, ${result}`,
		isStandalone ? 'the VM decides alone: it has no link to the VM that allocates' : '',
		`queue: ${queue.waiting} waiting, ${queue.waitingOfCustomer} of the customer; expected wait ${format(queue.expectedWaitMs)} ms`,
		share === undefined ? '' : `share: weight ${share.weight.toFixed(2)}, ${format(share.leadMs)} ms ahead, ${format(share.serviceMs)} ms for this request`,
		quota === undefined ? '' : `quota: ${format(quota.left)} of ${format(quota.burst)} left, ${quota.perSecond} per second, this request costs ${quota.cost}`,
		table.toString(),
		unlistedUpstreams === 0 ? '' : `${unlistedUpstreams} more upstreams`,
	].filter(Boolean).join('\n');
}

function format(value: number | undefined): string {
	return value === undefined ? '' : value.toFixed(1);
}

/** The `explain` sub-command. */
export const explainCommand = defineCommand({
	meta: {name: 'explain', description: `Show where a request would be sent now, and why, without sending it. ${EXIT_STATUS_HELP}`},
	args: {...toArguments(explainSettings), json: {type: 'boolean', description: 'Print JSON', default: false}},
	async run({args}) {
		const options = readSettingsOrExit(explainSettings, args);
		const fromFile = unwrapOrExit(readRequest(options.file), args.json);
		const fields = {
			...fromFile,
			...definedOnly({
				route: options.route, customer: options.customer, promptTokens: options['prompt-tokens'], outputEvents: options['output-events'],
				dataCentre: options['data-centre'], service: options.service,
			}),
		};
		if (fields.route === undefined) {
			unwrapOrExit(usageFailure('the request has no route', 'set --route, or "route" in --file'), args.json);
		}

		const query = new URLSearchParams(Object.entries(fields).map(([name, value]): [string, string] => [name, String(value)]));
		const explanation = unwrapOrExit(await requestExplanation(options.address, options['explain-key'], query), args.json);
		console.log(args.json ? JSON.stringify(explanation) : describeExplanation(explanation));
	},
});

/** Asks a VM and, if another one allocates, that one. */
async function requestExplanation(address: string, key: string, query: URLSearchParams): Promise<Result<ExplanationView, Failure>> {
	const call = {method: 'GET', path: `/explain?${query.toString()}`} as const;
	const first = await callApi({address, key}, call, responseSchema);
	if (first.isErr || 'explanation' in first.value) {
		return first.map(response => (response as {explanation: ExplanationView}).explanation);
	}

	const {vm, address: allocatorAddress} = first.value.allocator;
	const second = await callApi({address: allocatorAddress, key}, call, responseSchema);
	if (second.isErr) {
		return Result.err({...second.error, message: `${vm} at ${allocatorAddress}, which allocates according to ${address}: ${second.error.message}`});
	}

	return 'explanation' in second.value
		? ok(second.value.explanation)
		: Result.err({
			status: ExitStatus.NotReachable, message: `${vm} at ${allocatorAddress} no longer allocates; ${second.value.allocator.vm} does`, details: [], next: 'repeat the command',
		});
}

function readRequest(path: string | undefined): Result<z.infer<typeof fileSchema>, Failure> {
	if (path === undefined) {
		return ok({});
	}

	try {
		const parsed = fileSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')));
		return parsed.success ? ok(parsed.data) : usageFailure(`${path}: ${parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')}`, 'correct the file');
	} catch (error) {
		return usageFailure(`${path}: ${(error as Error).message}`, 'correct the file');
	}
}

function usageFailure<Value>(message: string, next: string): Result<Value, Failure> {
	return Result.err({
		status: ExitStatus.Usage, message, details: [], next,
	});
}

function definedOnly<Value>(values: Readonly<Record<string, Value | undefined>>): Record<string, Value> {
	return Object.fromEntries(Object.entries(values).filter((entry): entry is [string, Value & {}] => entry[1] !== undefined));
}
