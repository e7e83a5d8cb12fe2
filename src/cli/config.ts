/**
 * `redwingspool config`: reads and changes a team's settings from the command line.
 */
import process from 'node:process';
import {defineCommand} from 'citty';
import {z} from 'zod';
import {toArguments} from '../base/settings.js';
import {checkSubtree} from '../config/check-subtree.js';
import {
	bootstrapSettings, callApi, callTeamApi, type ClientOptions, clientSettings, describeChanges, diffSchema, logSchema, putSchema, subtreeVersionSchema,
} from './config-client.js';
import {
	applyEdits, formatSubtree, parseEdit, readSubtreeFile, type SubtreeFile,
} from './config-files.js';
import {EXIT_STATUS_HELP, ExitStatus, unwrapOrExit} from './config-exit.js';
import {printEvents} from './config-watch.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const regionSchema = z.object({region: z.string()});
const json = {type: 'boolean', description: 'Print JSON', default: false} as const;
const force = {type: 'boolean', description: 'Accept the change even if a region is unreachable', default: false} as const;
const file = {type: 'positional', description: 'File in YAML or JSON; - is standard input', required: true} as const;
const connectionArguments = toArguments(clientSettings);

function meta(name: string, description: string): {name: string; description: string} {
	return {name, description: `${description}. ${EXIT_STATUS_HELP}`};
}

function readOptions(arguments_: Readonly<Record<string, unknown>>): ClientOptions {
	return readSettingsOrExit(clientSettings, arguments_);
}

async function readSubtreeOrExit(path: string, isJson: boolean): Promise<SubtreeFile> {
	return unwrapOrExit(await readSubtreeFile(path), isJson);
}

async function putOrExit(options: ClientOptions, change: {subtree: unknown; fromVersion: number; force: boolean}, isJson: boolean): Promise<void> {
	const response = unwrapOrExit(await callTeamApi(options, {
		method: 'PUT', path: change.force ? '?force=true' : '', body: change.subtree, fromVersion: change.fromVersion,
	}, putSchema), isJson);
	if (isJson) {
		console.log(JSON.stringify(response));
		return;
	}

	console.log(`accepted version ${response.version}`);
	for (const line of describeChanges(response.changes)) {
		console.log(`  ${line}`);
	}

	for (const region of response.regions) {
		const state = region.inForce ? 'in force' : 'not yet in force on every node';
		console.log(`${region.region}: ${state} (${region.nodesInForce} of ${region.nodes} nodes)`);
	}
}

function exitUsage(message: string): never {
	console.error(`error: ${message}`);
	process.exit(ExitStatus.Usage);
}

const getCommand = defineCommand({
	meta: meta('get', 'Print the subtree'),
	args: {...connectionArguments, json, version: {type: 'string', description: 'An older version', valueHint: 'N'}},
	async run({args}) {
		const options = readOptions(args);
		const path = args.version ? `?version=${encodeURIComponent(String(args.version))}` : '';
		const response = unwrapOrExit(await callTeamApi(options, {method: 'GET', path}, subtreeVersionSchema), args.json);
		if (response.mayBeOld) {
			console.error('warning: the store does not answer; this version may be old');
		}

		process.stdout.write(args.json ? `${JSON.stringify(response)}\n` : formatSubtree(options.team, response.version, response.subtree));
	},
});

const putCommand = defineCommand({
	meta: meta('put', 'Replace the subtree with the contents of a file'),
	args: {
		file, ...connectionArguments, json, force, from: {type: 'string', description: 'Version that the file is based on; read from the file if omitted', valueHint: 'N'},
	},
	async run({args}) {
		const options = readOptions(args);
		const {subtree, fromVersion} = await readSubtreeOrExit(args.file, args.json);
		const from = args.from === undefined ? fromVersion : Number(args.from);
		if (from === undefined || !Number.isInteger(from)) {
			exitUsage('the version that the file is based on is missing; give --from N, or --from 0 for a new subtree');
		}

		await putOrExit(options, {subtree, fromVersion: from, force: args.force}, args.json);
	},
});

const editCommand = defineCommand({
	meta: meta('edit', 'Change individual values: `config edit customers.guest.weight=2`; an empty value removes the entry'),
	args: {
		edit: {type: 'positional', description: 'PATH=VALUE with a value in YAML; can be repeated', required: true}, ...connectionArguments, json, force,
	},
	async run({args}) {
		const options = readOptions(args);
		const edits = args._.map(text => parseEdit(text) ?? exitUsage(`expected PATH=VALUE with a value in YAML, got '${text}'`));
		const {version, subtree} = unwrapOrExit(await callTeamApi(options, {method: 'GET', path: ''}, subtreeVersionSchema), args.json);
		const edited = unwrapOrExit(applyEdits(subtree, edits), args.json);
		await putOrExit(options, {subtree: edited, fromVersion: version, force: args.force}, args.json);
	},
});

const diffCommand = defineCommand({
	meta: meta('diff', 'Show what a file would change'),
	args: {file, ...connectionArguments, json},
	async run({args}) {
		const options = readOptions(args);
		const {subtree} = await readSubtreeOrExit(args.file, args.json);
		const response = unwrapOrExit(await callTeamApi(options, {method: 'POST', path: '/diff', body: subtree}, diffSchema), args.json);
		console.log(args.json ? JSON.stringify(response) : [`from version ${response.version}:`, ...describeChanges(response.changes)].join('\n'));
	},
});

const validateCommand = defineCommand({
	meta: meta('validate', 'Check a file; needs no node'),
	args: {file, json},
	async run({args}) {
		const {subtree} = await readSubtreeOrExit(args.file, args.json);
		const problems = checkSubtree(subtree).match({Ok: () => [], Err: list => list});
		if (args.json) {
			console.log(JSON.stringify({problems}));
		} else if (problems.length === 0) {
			console.log(`${args.file}: valid`);
		}

		for (const {path, message} of problems) {
			console.error(`${args.file}: ${path || '(whole file)'}: ${message}`);
		}

		process.exit(problems.length === 0 ? ExitStatus.Done : ExitStatus.Refused);
	},
});

const logCommand = defineCommand({
	meta: meta('log', 'List the newest versions with base version, time, author and size'),
	args: {...connectionArguments, json, limit: {type: 'string', description: 'Maximum number of versions', default: '20'}},
	async run({args}) {
		const options = readOptions(args);
		const response = unwrapOrExit(await callTeamApi(options, {method: 'GET', path: `/log?limit=${encodeURIComponent(String(args.limit))}`}, logSchema), args.json);
		if (args.json) {
			console.log(JSON.stringify(response));
			return;
		}

		for (const {version, fromVersion, at, author, bytes} of response.versions) {
			console.log([version, fromVersion, new Date(at).toISOString(), author, bytes].join('\t'));
		}
	},
});

const watchCommand = defineCommand({
	meta: meta('watch', 'Print a line for each version when the node applies it, until interrupted'),
	args: {...connectionArguments, json},
	async run({args}) {
		unwrapOrExit(await printEvents(readOptions(args), args.json), args.json);
	},
});

const retireRegionCommand = defineCommand({
	meta: meta('retire-region', 'Remove a region that was taken out of service, so that changes no longer wait for it'),
	args: {region: {type: 'positional', description: 'Name of the region', required: true}, ...toArguments(bootstrapSettings), json},
	async run({args}) {
		const options = readSettingsOrExit(bootstrapSettings, args);
		const target = {address: options.address, key: options['bootstrap-key']};
		const response = unwrapOrExit(await callApi(target, {method: 'DELETE', path: `/v1/regions/${encodeURIComponent(args.region)}`}, regionSchema), args.json);
		console.log(args.json ? JSON.stringify(response) : `retired region ${response.region}`);
	},
});

/** The `config` sub-command. */
export const configCommand = defineCommand({
	meta: meta('config', 'Read and change the settings of a team'),
	subCommands: {
		get: getCommand, put: putCommand, edit: editCommand, diff: diffCommand, validate: validateCommand, log: logCommand, watch: watchCommand, 'retire-region': retireRegionCommand,
	},
});
