import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {type Server} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {type ExplainOptions} from '../../platform/explain-endpoint.js';
import {operatorHandler, serve} from '../../platform/http-endpoints.js';
import {SystemClock} from '../../src/base/clock.js';
import {Metrics} from '../../src/base/metrics.js';
import {Role} from '../../src/link/coordinator.js';
import {type Gateway} from '../../src/gateway/gateway.js';
import {freePort} from '../support/free-port.js';
import {GatewayHarness} from '../support/gateway-harness.js';
import {createStrictLog} from '../support/strict-log.js';

type CommandResult = {status: number; stdout: string; stderr: string};

/** A VM that follows the leader at an operator address. */
function follower(operatorAddress: string): Gateway {
	return {
		state: {table: undefined, members: [{boot: 'b1', operatorAddress}]}, coordinator: {role: Role.Linked, leader: {name: 'vm', boot: 'b1'}},
	} as unknown as Gateway;
}

describe('explain command and endpoint', function () {
	this.timeout(60_000);
	let harness: GatewayHarness;
	const servers: Server[] = [];

	async function listen(gateway: Gateway, key: string | undefined): Promise<string> {
		const address = `127.0.0.1:${await freePort()}`;
		const options: ExplainOptions = {
			gateway, regions: {a: 'r'}, dataCentre: 'a', key,
		};
		const log = createStrictLog();
		servers.push(await serve(address, operatorHandler(Metrics.create(), log, options), {clock: SystemClock.create(), log}));
		return address;
	}

	async function explain(address: string, line: string, key = 'secret'): Promise<CommandResult> {
		const env = {PATH: process.env.PATH, REDWINGSPOOL_ADDRESS: address, REDWINGSPOOL_EXPLAIN_KEY: key};
		return new Promise(resolve => {
			const child = execFile(process.execPath, ['--import', 'tsx', 'src/main.ts', 'explain', ...line.split(' ')], {env}, (_error, stdout, stderr) => {
				resolve({status: child.exitCode!, stdout, stderr});
			});
		});
	}

	before(async () => {
		harness = await GatewayHarness.start(1000, () => undefined);
	});

	after(async () => {
		for (const server of servers) {
			server.close();
		}

		await harness.gateway.stop();
	});

	// Guards against an explanation that a program or a person cannot read, and against a request that is sent.
	it('tells the upstream, from the leader and by way of a follower', async () => {
		const route = harness.gateway.state.table!.configuration.routes[0]!.name;
		const leader = await listen(harness.gateway, 'secret');
		const json = await explain(leader, `--route ${route} --json`);
		expect(json.status, json.stderr).to.equal(0);
		const value = JSON.parse(json.stdout) as {outcome: string; upstreamId: string; upstreams: Array<{id: string; parts: Record<string, number>}>};
		expect(value).to.include({outcome: 'granted', upstreamId: 'u1', isStandalone: false});
		expect(value.upstreams[0]!.parts).to.include.keys('firstEvent', 'totalTime', 'locality', 'failures', 'delayedStreams', 'rules');
		const file = path.join(await mkdtemp(path.join(tmpdir(), 'explain-')), 'request.json');
		await writeFile(file, JSON.stringify({route, dataCentre: 'a'}));
		const text = await explain(await listen(follower(leader), 'secret'), `--file ${file}`);
		await rm(path.dirname(file), {recursive: true});
		expect(text.status, text.stderr).to.equal(0);
		expect(text.stdout).to.match(/granted, sent to u1\nqueue: 0 waiting/v);
		expect(harness.upstream.received).to.have.length(0);
	});

	// Guards against failures that cannot be told apart by their exit status or message.
	it('reports what is wrong, each with its exit status', async () => {
		const route = harness.gateway.state.table!.configuration.routes[0]!.name;
		const leader = await listen(harness.gateway, 'secret');
		const noAllocator = {state: {table: undefined, members: []}, coordinator: {role: Role.Alone}} as unknown as Gateway;
		const cases: Array<[address: string, line: string, key: string, status: number, message: RegExp]> = [
			[leader, '--route nowhere', 'secret', 1, /not-found: Unknown route 'nowhere'/v],
			[leader, `--route ${route} --customer nobody`, 'secret', 1, /Unknown customer 'nobody'/v],
			[leader, `--route ${route} --data-centre nowhere`, 'secret', 1, /Unknown data centre 'nowhere'/v],
			[leader, `--route ${route}`, 'wrong', 1, /unauthenticated/v],
			[leader, '--prompt-tokens 5', 'secret', 2, /no route/v],
			[leader, '--file package.json', 'secret', 2, /package\.json: .*Unrecognized/v],
			[leader, '--file nowhere.json', 'secret', 2, /nowhere\.json/v],
			[leader, `--route ${route} --prompt-tokens many`, 'secret', 2, /--prompt-tokens/v],
			['127.0.0.1:1', `--route ${route}`, 'secret', 4, /no answer from 127\.0\.0\.1:1/v],
			[await listen(noAllocator, 'secret'), `--route ${route}`, 'secret', 4, /not-ready/v],
			[await listen(follower('127.0.0.1:1'), 'secret'), `--route ${route}`, 'secret', 4, /vm at 127\.0\.0\.1:1, which allocates according to/v],
		];
		for (const [address, line, key, status, message] of cases) {
			const run = await explain(address, line, key); // eslint-disable-line no-await-in-loop -- one process at a time
			expect(run.status, `${line}: ${run.stderr}`).to.equal(status);
			expect(run.stderr).to.match(message);
		}
	});

	// Guards against explanations for anyone who reaches the address, and against a key that is in force without the setting.
	it('serves nothing without the setting, and nothing to a wrong key', async () => {
		const statusOf = async (configured: string | undefined, given: string) => {
			const res = await fetch(`http://${await listen(harness.gateway, configured)}/explain?route=x`, {headers: {authorization: given}});
			return res.status;
		};

		expect(await statusOf(undefined, 'Bearer undefined')).to.equal(404);
		expect(await statusOf('secret', 'Bearer wrong')).to.equal(401);
		expect(await statusOf('secret', '')).to.equal(401);
	});
});
