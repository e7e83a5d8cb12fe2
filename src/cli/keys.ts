/**
 * `redwingspool keys`: API keys of customers and operators. A key is made here and shown once; the node receives its
 * digest only.
 */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {defineCommand} from 'citty';
import {type Result} from 'true-myth/result';
import {toArguments} from '../base/settings.js';
import {digestKey} from '../config/deployment.js';
import {
	callNode, type ClientOptions, clientSettings, putSchema, subtreeVersionSchema,
} from './config-client.js';
import {
	EXIT_STATUS_HELP, ExitStatus, type Failure, unwrapOrExit,
} from './config-exit.js';
import {
	addDigest, findHolder, type HolderGroup, listHolders, removeDigest,
} from './keys-subtree.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const KEY_BYTES = 32;

const shared = {
	...toArguments(clientSettings),
	json: {type: 'boolean', description: 'Print JSON', default: false},
	customer: {type: 'string', description: 'Customer that the key belongs to', valueHint: 'NAME'},
	operator: {type: 'string', description: 'Operator that the key belongs to', valueHint: 'NAME'},
} as const;

type Arguments = {readonly json: boolean; readonly customer?: string; readonly operator?: string};

function meta(name: string, description: string): {name: string; description: string} {
	return {name, description: `${description}. ${EXIT_STATUS_HELP}`};
}

function readHolder({customer, operator}: Arguments): {group: HolderGroup; name: string} {
	if ((customer === undefined) === (operator === undefined)) {
		console.error('error: give either --customer NAME or --operator NAME');
		process.exit(ExitStatus.Usage);
	}

	return customer === undefined ? {group: 'operators', name: operator!} : {group: 'customers', name: customer};
}

async function getOrExit(options: ClientOptions, isJson: boolean): Promise<{version: number; subtree: Record<string, unknown>}> {
	return unwrapOrExit(await callNode(options, {method: 'GET', path: ''}, subtreeVersionSchema), isJson);
}

async function put(options: ClientOptions, fromVersion: number, subtree: Record<string, unknown>): Promise<Result<{version: number}, Failure>> {
	return callNode(options, {
		method: 'PUT', path: '', body: subtree, fromVersion,
	}, putSchema);
}

function makeKey(): string {
	return `rws_${randomBytes(KEY_BYTES).toString('base64url')}`;
}

const makeCommand = defineCommand({
	meta: meta('make', 'Make a key and print it once; a customer or operator that does not exist is made too'),
	args: shared,
	async run({args}) {
		const options = readSettingsOrExit(clientSettings, args);
		const {group, name} = readHolder(args);
		const {version, subtree} = await getOrExit(options, args.json);
		const key = makeKey();
		const answer = await put(options, version, addDigest(subtree, group, name, digestKey(key)));
		if (answer.isErr && answer.error.status === ExitStatus.NotReachable) {
			// The change may have been accepted, and the key cannot be shown again.
			console.error(`the key is ${key}; it works only if the change was accepted`);
		}

		const accepted = unwrapOrExit(answer, args.json).version;
		console.log(args.json ? JSON.stringify({key, digest: digestKey(key), version: accepted}) : key);
		console.error(`made a key in version ${accepted}; it is not shown again`);
	},
});

const listCommand = defineCommand({
	meta: meta('list', 'List the digests of keys with their holders'),
	args: {...toArguments(clientSettings), json: shared.json},
	async run({args}) {
		const {subtree} = await getOrExit(readSettingsOrExit(clientSettings, args), args.json);
		const holders = listHolders(subtree);
		if (args.json) {
			console.log(JSON.stringify({keys: holders}));
			return;
		}

		for (const {group, name, digest} of holders) {
			console.log(`${group}\t${name}\t${digest}`);
		}
	},
});

const revokeCommand = defineCommand({
	meta: meta('revoke', 'Revoke a key by its digest, of which the first 8 or more digits suffice'),
	args: {digest: {type: 'positional', description: 'Digest, as `keys list` shows it', required: true}, ...toArguments(clientSettings), json: shared.json},
	async run({args}) {
		const options = readSettingsOrExit(clientSettings, args);
		const {version, subtree} = await getOrExit(options, args.json);
		const holder = findHolder(subtree, args.digest);
		if (holder === undefined) {
			console.error(`error: no single key has a digest that starts with '${args.digest}'\nnext: copy the digest from \`keys list\``);
			process.exit(ExitStatus.Refused);
		}

		const accepted = unwrapOrExit(await put(options, version, removeDigest(subtree, holder)), args.json).version;
		console.log(args.json ? JSON.stringify({digest: holder.digest, version: accepted}) : `revoked the key of ${holder.name} in version ${accepted}`);
	},
});

const bootstrapCommand = defineCommand({
	meta: meta('bootstrap', 'Make a bootstrap key and its digest for the setting --bootstrap-digest; needs no node'),
	args: {json: shared.json},
	run({args}) {
		const key = makeKey();
		const digest = digestKey(key);
		console.log(args.json ? JSON.stringify({key, digest}) : `key\t${key}\ndigest\t${digest}`);
	},
});

/** The `keys` sub-command. */
export const keysCommand = defineCommand({
	meta: meta('keys', 'Make, list and revoke the keys of customers and operators'),
	subCommands: {
		make: makeCommand, list: listCommand, revoke: revokeCommand, bootstrap: bootstrapCommand,
	},
});
