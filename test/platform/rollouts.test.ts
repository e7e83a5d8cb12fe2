import {readFileSync, writeFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {LEADER_TABLE} from '../../platform/leader-row.js';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {Random} from '../../src/base/random.js';
import {type PlatformServer, ServerMode} from '../../standins/platform-server.js';
import {AddressLayout, LayoutKind} from '../support/address-layout.js';
import {eventually} from '../support/eventually.js';

const SERVERS = 4;
const SLOTS = 6;
/** Period of the roll-outs, in s. */
const PERIOD_S = 10;
const CALL_INTERVAL_MS = 8;
const POLL_MS = 20;
const STATUS_KEY = 'rollout/desk';

describe('roll-outs over processes', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let candidates: PlatformServer[];
	let statuses: number[];
	let calling: AbortController;

	beforeEach(async () => {
		deployment = await PlatformDeployment.create(SERVERS, {vmCount: 3, layout: AddressLayout.create(LayoutKind.OneAddress, Random.create(7))});
		for (const vm of deployment.vms) {
			const settings = JSON.parse(readFileSync(vm.settingsPath, 'utf8')) as {bounds: Record<string, number>};
			const bounds = {
				...settings.bounds, exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5000,
			};
			writeFileSync(vm.settingsPath, JSON.stringify({...settings, contracts: ['rollout'], bounds}));
			vm.start();
		}

		await deployment.ready();
		await eventually(() => deployment.recordedLeader !== undefined, 50);
		statuses = [];
		calling = new AbortController();
	});

	afterEach(async () => {
		calling.abort();
		await deployment.stop();
	});

	/** Adds servers of a new version, and orders the roll-out. */
	async function order(mode: ServerMode): Promise<void> {
		candidates = await Promise.all(Array.from({length: SERVERS}, async () => deployment.addServer('desk', SLOTS, {version: 'v2', mode})));
		// Servers with the same ID share one entry; one server alone cannot carry the load when it is high.
		expect(new Set(candidates.map(({id}) => id)).size).to.equal(SERVERS);
		await sleep(POLL_MS);
		deployment.store.put('op', STATUS_KEY, {service: 'desk', to: 'v2', periodS: PERIOD_S});
	}

	async function callOne(index: number): Promise<void> {
		const vm = deployment.vms[index % deployment.vms.length]!;
		const {status} = await deployment.call(vm, index % 3 === 0 ? 'unsafe' : 'safe');
		statuses.push(status);
	}

	/** Sends requests at an even rate to all VMs until `calling` is aborted. */
	async function callAll(): Promise<void> {
		const calls: Array<Promise<void>> = [];
		while (!calling.signal.aborted) {
			calls.push(callOne(calls.length));
			await sleep(CALL_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- at intervals
		}

		await Promise.all(calls);
	}

	/** @returns The state in the status row once it is final, or after the period. */
	async function finalState(): Promise<string | undefined> {
		const endsAt = performance.now() + (PERIOD_S * 1000);
		let state: string | undefined;
		while (performance.now() < endsAt && state !== 'completed' && state !== 'rolled_back') {
			await sleep(POLL_MS); // eslint-disable-line no-await-in-loop -- polling
			({state} = (deployment.store.get('status', STATUS_KEY) ?? {}) as {state?: string});
		}

		return state;
	}

	/** @returns The log lines on roll-outs of all VMs, to be printed if a check fails. */
	function rolloutLines(): string {
		return deployment.vms.flatMap(({name, log}) => log.filter(line => line.includes('rollout: ')).map(line => `${name}: ${line}`)).join('\n');
	}

	function runCount(): number {
		return candidates.reduce((sum, server) => sum + server.runs.length, 0);
	}

	// Guards against a failing version that stays in use, at any VM, or that costs callers more than the bounds allow.
	it('roll a failing version back at all VMs', async () => {
		const calls = callAll();
		await order(ServerMode.Fails);
		expect(await finalState()).to.equal('rolled_back');
		const atVerdict = runCount();
		await sleep(2000);
		calling.abort();
		await calls;
		expect(runCount() - atVerdict).to.be.at.most(SERVERS);
		expect(runCount()).to.be.below(50 + (statuses.length / 10));
		expect(deployment.store.get('status', STATUS_KEY)).to.deep.equal({state: 'rolled_back', to: 'v2'});
	});

	async function untilRunning(): Promise<void> {
		await eventually(() => (deployment.store.get('status', STATUS_KEY) as {state?: string} | undefined)?.state === 'running', 50);
	}

	// Guards against a candidate that stays half in use, or gets the slack again, because the leader ended in the canary.
	it('roll a failing version back although the leader is killed in the canary', async () => {
		const calls = callAll();
		await order(ServerMode.Fails);
		await untilRunning();
		await deployment.recordedLeader!.terminate('SIGKILL');
		expect(await finalState()).to.equal('rolled_back');
		await sleep(1000);
		calling.abort();
		await calls;
		expect(runCount()).to.be.below(50 + (statuses.length / 10));
	});

	// Guards against a leader that was frozen, and goes on with the canary when it comes back, or overwrites the verdict.
	it('keep a verdict although the leader that was frozen in the canary comes back', async () => {
		const calls = callAll();
		await order(ServerMode.Fails);
		await untilRunning();
		const frozen = deployment.recordedLeader!;
		frozen.child!.kill('SIGSTOP');
		expect(await finalState()).to.equal('rolled_back');
		frozen.child!.kill('SIGCONT');
		const atReturn = runCount();
		await sleep(2000);
		calling.abort();
		await calls;
		expect(runCount() - atReturn).to.be.at.most(SERVERS);
		expect(deployment.store.get('status', STATUS_KEY)).to.deep.equal({state: 'rolled_back', to: 'v2'});
	});

	// Guards against old upstreams that are stopped while a VM still sends to them or waits for their responses.
	it('complete a good version, so that the old upstreams can be stopped at once', async () => {
		const old = [...deployment.servers].filter(([, {service}]) => service === 'desk').map(([id]) => id);
		const calls = callAll();
		await order(ServerMode.Healthy);
		expect(await finalState(), rolloutLines()).to.equal('completed');
		for (const id of old) {
			deployment.crashServer(id);
		}

		await sleep(2000);
		calling.abort();
		await calls;
		expect([...new Set(statuses)]).to.deep.equal([200]);
	});
});

describe('processes whose settings name no roll-outs', function () {
	this.timeout(60_000);

	// Guards against versions that are held, or rows that are written, in deployments without roll-outs.
	it('use each version at once and leave the rows alone', async () => {
		const deployment = await PlatformDeployment.start(1, 1);
		deployment.store.put('op', STATUS_KEY, {service: 'desk', to: 'v2', periodS: PERIOD_S});
		const server = await deployment.addServer('desk', SLOTS, {version: 'v2'});
		await eventually(async () => {
			await Promise.all(Array.from({length: SLOTS * 2}, async () => deployment.call(deployment.vms[0]!, 'safe')));
			return server.runs.length > 0;
		}, 50);
		const lines = deployment.vms.flatMap(({log}) => log.filter(line => line.includes('rollout: ')));
		expect([deployment.store.get('status', STATUS_KEY), deployment.store.get(LEADER_TABLE, STATUS_KEY), lines]).to.deep.equal([undefined, undefined, []]);
		await deployment.stop();
	});
});
