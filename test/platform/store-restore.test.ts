/**
 * A store that comes back from a copy some seconds old: what the VMs wrote since is gone, and versions are given out again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {PlatformDeployment} from '../../soak/platform-deployment.js';
import {type VmProcess} from '../../soak/vm-process.js';
import {type PlatformServer} from '../../standins/platform-server.js';
import {type StoreCopy, StoreMode} from '../../standins/platform-store.js';
import {eventually} from '../support/eventually.js';

describe('platform processes and a store that goes back', function () {
	this.timeout(60_000);
	let deployment: PlatformDeployment;
	let copy: StoreCopy;

	beforeEach(async () => {
		deployment = await PlatformDeployment.start(4, 1);
		await agreed();
		copy = deployment.store.copy();
	});

	afterEach(async () => {
		await deployment.stop();
		expect(deployment.violations).to.deep.equal([]);
	});

	/** Waits until all running VMs list exactly the running VMs. */
	async function agreed(): Promise<void> {
		const running = deployment.vms.filter(vm => vm.child !== undefined);
		const expected = running.map(({front}) => front).toSorted();
		await eventually(async () => {
			const lists = await Promise.all(running.map(async vm => deployment.addresses(vm)));
			return lists.every(list => JSON.stringify(list.toSorted()) === JSON.stringify(expected));
		}, 50);
	}

	function recordedLeader(): VmProcess {
		const {name} = deployment.store.get('redwingspool', 'allocator') as {name: string};
		return deployment.vms.find(vm => vm.name === name)!;
	}

	/** Ends the recorded leader, and waits until another VM is recorded. */
	async function replaceLeader(): Promise<void> {
		const leader = recordedLeader();
		await leader.terminate('SIGKILL');
		await eventually(() => recordedLeader() !== leader);
	}

	/** Sends more requests at a time than one server has slots. */
	async function callAll(): Promise<number[]> {
		const answers = await Promise.all(deployment.vms.flatMap(vm => [1, 2, 3].map(async () => deployment.call(vm, 'unsafe'))));
		return answers.map(({status}) => status);
	}

	/** Sends requests for some time, and checks that all are answered by another server than the one that left. */
	async function checkServedWithout(departed: PlatformServer, durationMs: number): Promise<void> {
		const before = departed.runs.length;
		const endsAt = performance.now() + durationMs;
		while (performance.now() < endsAt) {
			expect(new Set(await callAll())).to.deep.equal(new Set([200])); // eslint-disable-line no-await-in-loop
			await sleep(100); // eslint-disable-line no-await-in-loop
		}

		expect(departed.runs).to.have.length(before);
	}

	// Guards against servers that left, without a word, and are used again because a copy lists them, and against servers that
	// came since the copy and are dropped before they could register again.
	it('use the servers that came, and not those that left, since the copy', async () => {
		const departed = [...deployment.servers.values()].find(({service}) => service === 'desk')!.server;
		const arrived = await deployment.addServer('desk', 6);
		await eventually(async () => {
			await callAll();
			return arrived.runs.length > 0;
		}, 50);
		deployment.store.delete('servers', departed.id);
		await eventually(async () => {
			const before = departed.runs.length;
			await callAll();
			return departed.runs.length === before;
		}, 50);
		await checkServedWithout(departed, 300);
		deployment.store.restore(copy);
		await checkServedWithout(departed, 1000);
		deployment.store.put('servers', arrived.id, arrived.entry('desk'));
		await checkServedWithout(departed, 2500);

		const leader = recordedLeader();
		await leader.terminate('SIGKILL');
		await eventually(() => recordedLeader() !== leader);
		leader.start();
		await deployment.ready();
		await agreed();
		await checkServedWithout(departed, 1000);

		deployment.store.put('servers', departed.id, {...departed.entry('desk'), slots: 7});
		const before = departed.runs.length;
		await eventually(async () => {
			await callAll();
			return departed.runs.length > before;
		}, 50);
	});

	// Guards against VMs that drop such a server for good because they had watched the store before they linked to the new leader.
	it('use a server that came since the copy at each VM if the leader ends while the store is away', async () => {
		const arrived = await deployment.addServer('desk', 6);
		await sleep(1500);
		const leader = recordedLeader();
		deployment.store.mode = StoreMode.Busy;
		await leader.terminate('SIGKILL');
		await sleep(1500);
		deployment.store.restore(copy);
		deployment.store.mode = StoreMode.Healthy;
		await sleep(1200);
		deployment.store.put('servers', arrived.id, arrived.entry('desk'));
		await sleep(4000);
		const before = [...deployment.servers.values()].find(({service, server}) => service === 'desk' && server !== arrived)!.server;
		deployment.drainServer(before.id);
		await sleep(3000);
		const answers = await Promise.all(deployment.vms.filter(vm => vm !== leader).map(async vm => deployment.call(vm, 'unsafe')));
		expect(answers.map(({status}) => status)).to.deep.equal([200, 200, 200]);
	});

	/** A configuration that is too large to be sent over a link without need. */
	function setLargeConfiguration(): void {
		deployment.setConfiguration(['/new/', ...Array.from({length: 400}, (_, index) => `/route-${index}/`)]);
	}

	async function eventuallyServedByAll(): Promise<void> {
		await eventually(async () => {
			const answers = await Promise.all(deployment.vms.map(async vm => deployment.call(vm, 'safe', '/new/')));
			return answers.every(({status}) => status === 200);
		}, 50);
	}

	// Guards against an invalid or older configuration of the store that comes into force, or after which a later one no longer does.
	it('keep the configuration in force beside invalid and older ones, and take the next', async () => {
		deployment.setConfiguration();
		deployment.setConfiguration(['/new/']);
		await eventuallyServedByAll();
		const confirmed = deployment.store.get('op', 'config') as {version: number};
		const {version} = confirmed;
		const unusable: unknown[] = [
			'{', {version: version + 1}, {...confirmed, version: String(version + 1)}, {...confirmed, version: version + 1, routes: 'none'}, {...confirmed, version: version - 1, routes: []}, {...confirmed, routes: []},
		];
		for (const value of unusable) {
			deployment.store.put('op', 'config', value);
			await sleep(300); // eslint-disable-line no-await-in-loop -- each one is read by itself
		}

		const answers = await Promise.all(deployment.vms.map(async vm => deployment.call(vm, 'safe', '/new/')));
		expect(answers.map(({status}) => status)).to.deep.equal([200, 200, 200, 200]);
		const countLines = (message: string) => deployment.vms.flatMap(vm => vm.log.filter(line => line.includes(message))).length;
		expect(countLines('Manifest not readable; the one before stays in force.')).to.equal(4);
		expect(countLines('Store has an older configuration than the one in force, which stays.')).to.equal(1);
		expect(countLines('Two configurations have the same version.')).to.equal(1);
		deployment.setConfiguration(['/next/']);
		await eventually(async () => {
			const next = await Promise.all(deployment.vms.map(async vm => deployment.call(vm, 'safe', '/next/')));
			return next.every(({status}) => status === 200);
		}, 50);
	});

	/** Restarts a VM and then the leader after the store has forgotten the configuration. */
	async function checkServedAfterRestarts(): Promise<void> {
		const leader = recordedLeader();
		await eventuallyServedByAll();
		deployment.store.restore(copy);
		for (const vm of [deployment.vms.find(other => other !== leader)!, leader]) {
			/* eslint-disable no-await-in-loop -- one restart after the other */
			await vm.terminate('SIGKILL');
			vm.start();
			await deployment.ready();
			await eventuallyServedByAll();
			/* eslint-enable no-await-in-loop */
		}
	}

	// Guards against a VM that goes on with the older configuration of the copy that it read when it started.
	it('serve a confirmed route also after restarts beside a copy without it', async () => {
		deployment.setConfiguration(['/new/']);
		await checkServedAfterRestarts();
	});

	it('serve a confirmed route of a large configuration also after restarts beside a copy without it', async () => {
		setLargeConfiguration();
		await checkServedAfterRestarts();
	});

	// Guards against VMs that refuse each leader whose term is lower than one from before the store went back.
	it('agree on one leader when the leader ends after the store forgot who it was', async () => {
		for (let count = 0; count < 20; count += 1) {
			deployment.setConfiguration();
		}

		await replaceLeader();
		await agreed();
		const leader = recordedLeader();
		deployment.store.restore(copy);
		deployment.setConfiguration();
		await leader.terminate('SIGKILL');
		await agreed();
	});
});
