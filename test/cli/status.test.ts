import {execFile} from 'node:child_process';
import process from 'node:process';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {digestKey} from '../../src/config/deployment.js';
import {SettingsTree} from '../../src/config/settings-tree.js';
import {Node} from '../../src/serve/node.js';
import {MemoryObjectStore, MemoryTable} from '../../src/store/memory-table.js';
import {eventually} from '../support/eventually.js';
import {createStrictLog} from '../support/strict-log.js';

type CommandResult = {status: number | undefined; stdout: string; stderr: string};

describe('status and drain commands', () => {
	let node: Node;

	before(async () => {
		const clock = SystemClock.create();
		const platform = {table: MemoryTable.create(), objects: MemoryObjectStore.create()};
		await SettingsTree.create({...platform, clock}).commit({
			team: 'skimmers', fromVersion: 0, author: 'test', body: JSON.stringify({operators: {rana: {keyDigests: [digestKey('operator')]}}}),
		});
		node = Node.create({
			clock, log: createStrictLog(), platform, host: '127.0.0.1', port: 0, region: 'azraq', dataCentre: 'azraq-1', bootstrapDigest: digestKey('bootstrap'), throwOnViolation: true,
		});
		await node.start();
		await eventually(() => node.settings.isLoaded);
	});

	after(async () => {
		await node.stop();
	});

	async function redwingspool(line: string, keys: Record<string, string> = {}): Promise<CommandResult> {
		const env = {PATH: process.env.PATH, REDWINGSPOOL_ADDRESS: node.address, ...keys};
		return new Promise(resolve => {
			const child = execFile(process.execPath, ['--import', 'tsx', 'src/main.ts', ...line.split(' ')], {env}, (_error, stdout, stderr) => {
				resolve({status: child.exitCode ?? undefined, stdout, stderr});
			});
		});
	}

	// Guards against exit statuses that do not distinguish a rejected request, an unreachable node and a usage error.
	it('exit with the documented statuses and report what is wrong', async () => {
		const operator = {REDWINGSPOOL_OPERATOR_KEY: 'operator'};
		const cases: Array<[string, Record<string, string>, number, RegExp]> = [
			['status', operator, 0, /^$/v],
			['status --help', {}, 0, /^$/v],
			['status', {REDWINGSPOOL_OPERATOR_KEY: 'wrong'}, 1, /unauthenticated.*\nnext: /v],
			['status', {}, 2, /--operator-key/v],
			['status --address 127.0.0.1:1', operator, 4, /no answer.*\nnext: /v],
			['drain', {REDWINGSPOOL_BOOTSTRAP_KEY: 'operator'}, 1, /forbidden.*\nnext: /v],
			['config retire-region aqaba', {REDWINGSPOOL_BOOTSTRAP_KEY: 'bootstrap'}, 1, /not-found.*\nnext: /v],
			['config retire-region', {REDWINGSPOOL_BOOTSTRAP_KEY: 'bootstrap'}, 2, /REGION/v],
			['drian', {}, 2, /Unknown command/v],
		];
		const runs = await Promise.all(cases.map(async ([line, keys]) => redwingspool(line, keys)));
		for (const [index, [line, , status, message]] of cases.entries()) {
			const {status: actual, stderr} = runs[index]!;
			expect(actual, `${line}: ${stderr}`).to.equal(status);
			expect(stderr).to.match(message);
		}
	}).timeout(60_000);

	// Guards against a drain that reports success without starting the shutdown.
	it('print JSON, and start the shutdown of the node', async () => {
		const status = await redwingspool('status --json', {REDWINGSPOOL_OPERATOR_KEY: 'operator'});
		expect(JSON.parse(status.stdout)).to.deep.include({team: 'skimmers', upstreams: []});
		expect(node.drainRequested.aborted).to.equal(false);
		const drain = await redwingspool('drain --json', {REDWINGSPOOL_BOOTSTRAP_KEY: 'bootstrap'});
		expect(JSON.parse(drain.stdout)).to.include({inFlight: 0});
		expect(node.drainRequested.aborted).to.equal(true);
	}).timeout(60_000);
});
