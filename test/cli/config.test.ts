import {execFile} from 'node:child_process';
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {request} from 'undici';
import {checkSubtree} from '../../src/config/check-subtree.js';
import {parseSubtree} from '../../src/cli/config-files.js';
import {bootstrapKey, OperatorNode} from '../config/operator-node.js';

type CommandResult = {status: number; stdout: string; stderr: string};

async function runForStdout(env: Record<string, string>, ...arguments_: string[]): Promise<string> {
	const run = await redwingspool(env, ...arguments_);
	expect(run.status, run.stderr).to.equal(0);
	return run.stdout;
}

async function redwingspool(env: Record<string, string>, ...arguments_: string[]): Promise<CommandResult> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, ['--import', 'tsx', 'src/main.ts', ...arguments_], {env: {...process.env, ...env}}, (_error, stdout, stderr) => {
			resolve({status: child.exitCode ?? -1, stdout, stderr});
		});
	});
}

describe('config and keys commands', () => {
	let node: OperatorNode;
	let folder: string;
	let env: Record<string, string>;

	before(async () => {
		node = await OperatorNode.start();
		folder = await mkdtemp(path.join(tmpdir(), 'redwingspool-'));
		env = {REDWINGSPOOL_ADDRESS: node.address, REDWINGSPOOL_TEAM: 'skimmers', REDWINGSPOOL_OPERATOR_KEY: bootstrapKey};
		const made = await redwingspool(env, 'keys', 'make', '--operator', 'rana');
		expect(made.status, made.stderr).to.equal(0);
		env = {...env, REDWINGSPOOL_OPERATOR_KEY: made.stdout.trim()};
	});

	after(async () => {
		await node.stop();
	});

	it('validates the example deployments without a node', async () => {
		const files = ['skimmers', 'tea-rooms'].map(name => `examples/${name}/settings.yaml`);
		const texts = await Promise.all(files.map(async file => readFile(file, 'utf8')));
		for (const [index, text] of texts.entries()) {
			const file = files[index]!;
			const checked = parseSubtree(text, file).andThen(({subtree}) => checkSubtree(subtree));
			expect(checked.isOk && Object.keys(checked.value.customers)).to.have.length(5);
		}

		const file = path.join(folder, 'wrong.yaml');
		await writeFile(file, 'customers: {guest: {keyDigests: [], weight: 0}}');
		const run = await redwingspool({}, 'config', 'validate', file);
		expect(run.status).to.equal(1);
		expect(run.stderr).to.include('customers.guest.weight');
	});

	it('accepts only one of two changes with the same base version', async () => {
		const file = path.join(folder, 'settings.yaml');
		await writeFile(file, await runForStdout(env, 'config', 'get'));
		await runForStdout(env, 'config', 'edit', 'customers.guest.keyDigests=[]');
		const late = await redwingspool(env, 'config', 'put', file);
		expect(late.status).to.equal(3);
		expect(late.stderr).to.include('+ customers');
		const log = JSON.parse(await runForStdout(env, 'config', 'log', '--json')) as {versions: Array<{version: number; author: string}>};
		expect(log.versions.map(({version, author}) => [version, author])).to.deep.equal([[2, 'rana'], [1, 'bootstrap']]);
	});

	it('stores only the digest of a key, and revokes the key by it', async () => {
		const made = await redwingspool(env, 'keys', 'make', '--customer', 'guest', '--json');
		const {key, digest} = JSON.parse(made.stdout) as {key: string; digest: string};
		expect(node.settings.deployment.findCustomer(key)?.id).to.equal('skimmers/guest');
		const rows = JSON.stringify(await node.table.list('', 100));
		expect(rows).to.include(digest);
		expect(rows).to.not.include(key);
		const revoked = await redwingspool(env, 'keys', 'revoke', digest.slice(0, 12));
		expect(revoked.status, revoked.stderr).to.equal(0);
		expect(node.settings.deployment.findCustomer(key)).to.equal(undefined);
	});

	it('distinguishes usage errors, rejected requests and unreachable nodes by exit status', async () => {
		const statuses = await Promise.all([
			redwingspool(env, 'keys', 'make'),
			redwingspool(env, 'config', 'get', '--team', 'tea-rooms'),
			redwingspool(env, 'config', 'get', '--address', '127.0.0.1:1'),
			redwingspool({...env, REDWINGSPOOL_OPERATOR_KEY: bootstrapKey}, 'config', 'get'),
		]);
		expect(statuses.map(run => run.status)).to.deep.equal([2, 1, 4, 1]);
		expect(statuses[2].stderr).to.include('next: ');
	});

	it('rejects changes that are too large or lack If-Match', async () => {
		const url = `http://${node.address}/v1/teams/skimmers/config`;
		const authorization = `Bearer ${env.REDWINGSPOOL_OPERATOR_KEY}`;
		const large = await request(url, {method: 'PUT', headers: {authorization, 'if-match': '"0"'}, body: 'x'.repeat((8 * 1024 * 1024) + 1)});
		expect(large.statusCode).to.equal(413);
		await large.body.dump();
		const unversioned = await request(url, {method: 'PUT', headers: {authorization}, body: '{}'});
		expect(unversioned.statusCode).to.equal(400);
		expect(await unversioned.body.text()).to.include('If-Match');
	});

	it('allows the bootstrap key to change only the operators', async () => {
		const res = await request(`http://${node.address}/v1/teams/tea-rooms/config`, {
			method: 'PUT', headers: {authorization: `Bearer ${bootstrapKey}`, 'if-match': '"0"'}, body: '{"customers":{"guest":{"keyDigests":[]}}}',
		});
		const text = await res.body.text();
		expect(res.statusCode).to.equal(403);
		expect(text).to.not.include(bootstrapKey);
	});

	it('stops while a watch is open', async () => {
		const other = await OperatorNode.start();
		const digest = 'e'.repeat(64);
		const url = `http://${other.address}/v1/teams/tea-rooms/config`;
		const authorization = `Bearer ${bootstrapKey}`;
		const watch = await request(`${url}/watch`, {headers: {authorization}});
		const put = await request(url, {method: 'PUT', headers: {authorization, 'if-match': '"0"'}, body: `{"operators":{"o":{"keyDigests":["${digest}"]}}}`});
		expect(put.statusCode).to.equal(200);
		await put.body.dump();
		await other.stop();
		expect(await watch.body.text()).to.include('id: 1');
	});

	it('sends the applied version and later ones to watchers', async () => {
		const res = await request(`http://${node.address}/v1/teams/skimmers/config/watch`, {headers: {authorization: `Bearer ${env.REDWINGSPOOL_OPERATOR_KEY}`}});
		const edit = redwingspool(env, 'config', 'edit', 'customers.guest.weight=3');
		let text = '';
		for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
			text += new TextDecoder().decode(chunk);
			if (text.split('event: version').length > 2) {
				break;
			}
		}

		const versions = [...text.matchAll(/^id: (\d+)$/gmv)].map(match => Number(match[1]));
		expect(versions[1]).to.equal(versions[0]! + 1);
		const {status} = await edit;
		expect(status).to.equal(0);
	});
});
