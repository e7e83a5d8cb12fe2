/**
 * `redwingspool keys`: manages the keys of customers and operators. Keys are generated locally and printed once; the node
 * only receives their digests.
 */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {defineCommand} from 'citty';
import {type Result} from 'true-myth/result';
import {toArguments} from '../base/settings.js';
import {digestKey} from '../config/deployment.js';
import {
	callTeamApi, type ClientOptions, clientSettings, putSchema, subtreeVersionSchema,
} from './config-client.js';
import {
	EXIT_STATUS_HELP, ExitStatus, type Failure, unwrapOrExit,
} from './config-exit.js';
import {
	addDigest, findKey, type KeyOwnerGroup, listKeys, removeDigest,
} from './keys-subtree.js';
import {readSettingsOrExit} from './read-settings-or-exit.js';

const KEY_BYTES = 32;

const sharedArguments = {
	...toArguments(clientSettings),
	json: {type: 'boolean', description: 'Print JSON', default: false},
	customer: {type: 'string', description: 'Customer that the key belongs to', valueHint: 'NAME'},
	operator: {type: 'string', description: 'Operator that the key belongs to', valueHint: 'NAME'},
} as const;

type Arguments = {readonly json: boolean; readonly customer?: string; readonly operator?: string};

function meta(name: string, description: string): {name: string; description: string} {
	return {name, description: `${description}. ${EXIT_STATUS_HELP}`};
}

function readOwner({customer, operator}: Arguments): {group: KeyOwnerGroup; name: string} {
	if ((customer === undefined) === (operator === undefined)) {
		console.error('error: give either --customer NAME or --operator NAME');
		process.exit(ExitStatus.Usage);
	}

	return customer === undefined ? {group: 'operators', name: operator!} : {group: 'customers', name: customer};
}

async function getOrExit(options: ClientOptions, isJson: boolean): Promise<{version: number; subtree: Record<string, unknown>}> {
	return unwrapOrExit(await callTeamApi(options, {method: 'GET', path: ''}, subtreeVersionSchema), isJson);
}

async function put(options: ClientOptions, fromVersion: number, subtree: Record<string, unknown>): Promise<Result<{version: number}, Failure>> {
	return callTeamApi(options, {
		method: 'PUT', path: '', body: subtree, fromVersion,
	}, putSchema);
}

function generateKey(): string {
	return `rws_${randomBytes(KEY_BYTES).toString('base64url')}`;
}

const makeCommand = defineCommand({
	meta: meta('make', 'Create a key and print it once; the customer or operator is created if it does not exist'),
	args: sharedArguments,
	async run({args}) {
		const options = readSettingsOrExit(clientSettings, args);
		const {group, name} = readOwner(args);
		const {version, subtree} = await getOrExit(options, args.json);
		const key = generateKey();
		const response = await put(options, version, addDigest(subtree, group, name, digestKey(key)));
		if (response.isErr && response.error.status === ExitStatus.NotReachable) {
			// The change may have been accepted, and the key cannot be recovered later.
			console.error(`the key is ${key}; it works only if the change was accepted`);
		}

		const accepted = unwrapOrExit(response, args.json).version;
		console.log(args.json ? JSON.stringify({key, digest: digestKey(key), version: accepted}) : key);
		console.error(`made a key in version ${accepted}; it is not shown again`);
	},
});

const listCommand = defineCommand({
	meta: meta('list', 'List the digests of keys with their owners'),
	args: {...toArguments(clientSettings), json: sharedArguments.json},
	async run({args}) {
		const {subtree} = await getOrExit(readSettingsOrExit(clientSettings, args), args.json);
		const records = listKeys(subtree);
		if (args.json) {
			console.log(JSON.stringify({keys: records}));
			return;
		}

		for (const {group, name, digest} of records) {
			console.log(`${group}\t${name}\t${digest}`);
		}
	},
});

const revokeCommand = defineCommand({
	meta: meta('revoke', 'Revoke a key by its digest, of which the first 8 or more digits suffice'),
	args: {digest: {type: 'positional', description: 'Digest, as printed by `keys list`', required: true}, ...toArguments(clientSettings), json: sharedArguments.json},
	async run({args}) {
		const options = readSettingsOrExit(clientSettings, args);
		const {version, subtree} = await getOrExit(options, args.json);
		const record = findKey(subtree, args.digest);
		if (record === undefined) {
			console.error(`error: no single key has a digest that starts with '${args.digest}'\nnext: copy the digest from \`keys list\``);
			process.exit(ExitStatus.Refused);
		}

		const accepted = unwrapOrExit(await put(options, version, removeDigest(subtree, record)), args.json).version;
		console.log(args.json ? JSON.stringify({digest: record.digest, version: accepted}) : `revoked the key of ${record.name} in version ${accepted}`);
	},
});

const bootstrapCommand = defineCommand({
	meta: meta('bootstrap', 'Create a bootstrap key and its digest for the setting --bootstrap-digest; needs no node'),
	args: {json: sharedArguments.json},
	run({args}) {
		const key = generateKey();
		const digest = digestKey(key);
		console.log(args.json ? JSON.stringify({key, digest}) : `key\t${key}\ndigest\t${digest}`);
	},
});

/** The `keys` sub-command. */
export const keysCommand = defineCommand({
	meta: meta('keys', 'Create, list and revoke the keys of customers and operators'),
	subCommands: {
		make: makeCommand, list: listCommand, revoke: revokeCommand, bootstrap: bootstrapCommand,
	},
});
