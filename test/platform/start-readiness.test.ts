import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {Random} from '../../src/base/random.js';
import {StoreMode} from '../../standins/platform-store.js';
import {BuiltVms, type BuiltVm} from '../support/built-vms.js';
import {occupyAddress} from '../support/occupy-address.js';

/** Time within which all VMs of a deployment are started, in ms. */
const START_SPREAD_MS = 300;
/** Bounds of the example of the platform's pages, in ms. */
const CONTACT_MS = 3000;
const CONFIG_APPLY_MS = 2500;
const RECOVER_MS = 12_000;
/** How long the store is away, and when configuration and servers come, in ms after the first start. */
const STORE_AWAY_MS = 5000;
const LATE_CONFIGURATION_MS = 6000;
const LATE_SERVERS_MS = 3000;
/** Time between the first start and the restarts, in ms; no VM is ready by then. */
const RESTART_AFTER_MS = 250;
const HELD_MS = 4000;
const SLOW_MS = {min: 1000, max: 3000} as const;
const SEED = 42;
/** Environment variable that, if set, lets the tests print what they measure. */
const SHOW_VARIABLE = 'SHOW_READINESS';

// Guards against VMs that are not ready in time, or whose processes end, because something is late when all start (report FAULT).
describe('start of nine VMs', function () {
	this.timeout(60_000);
	let deployment: BuiltVms;
	let vms: readonly BuiltVm[];

	beforeEach(async () => {
		deployment = await BuiltVms.create();
		({vms} = deployment);
	});

	afterEach(async () => {
		await deployment.stop();
	});

	/** Waits until all are ready; each must be `boundMs` after its own start and after `availableAt`. */
	async function checkReadiness(boundMs: number, availableAt = Number.NEGATIVE_INFINITY): Promise<void> {
		const from = (vm: BuiltVm) => Math.max(vm.startedAt, availableAt);
		await Promise.all(vms.map(async vm => vm.awaitReady(from(vm) + boundMs + RECOVER_MS)));
		const delays = vms.map(vm => Math.round(vm.readyAt - from(vm)));
		const problems = new Map<string, number>();
		for (const [message, count] of vms.flatMap(vm => [...vm.problems])) {
			problems.set(message, (problems.get(message) ?? 0) + count);
		}

		const seen = `ready after ${delays.join(', ')} ms; ${[...problems].map(([message, count]) => `${count} '${message}'`).join(', ')}`;
		if (process.env[SHOW_VARIABLE] !== undefined) {
			console.log(`        ${seen}`);
		}

		expect(vms.flatMap(({ends}) => ends)).to.deep.equal([]);
		expect(delays.every(delayMs => delayMs <= boundMs), seen).to.equal(true);
	}

	it('beside a calm store', async () => {
		deployment.configure();
		deployment.registerServers();
		await deployment.start(START_SPREAD_MS);
		await checkReadiness(CONTACT_MS);
	});

	it('beside a store that answers after 1 to 3 s', async () => {
		const random = Random.create(SEED);
		deployment.configure();
		deployment.registerServers();
		deployment.store.delayMs = () => random.integer(SLOW_MS.min, SLOW_MS.max);
		await deployment.start(START_SPREAD_MS);
		await checkReadiness(RECOVER_MS);
	});

	async function checkStoreAway(mode: StoreMode): Promise<void> {
		deployment.configure();
		deployment.registerServers();
		deployment.store.mode = mode;
		await deployment.start(START_SPREAD_MS);
		await sleep(STORE_AWAY_MS - START_SPREAD_MS);
		deployment.store.mode = StoreMode.Healthy;
		await checkReadiness(CONTACT_MS, performance.now());
	}

	it('beside a store that is silent for 5 s', async () => checkStoreAway(StoreMode.Silent));
	it('beside a store that refuses calls for 5 s', async () => checkStoreAway(StoreMode.Busy));

	it('before the servers register', async () => {
		deployment.configure();
		await deployment.start(START_SPREAD_MS);
		await sleep(LATE_SERVERS_MS - START_SPREAD_MS);
		deployment.registerServers();
		await checkReadiness(CONTACT_MS, performance.now());
	});

	it('before there is a configuration', async () => {
		deployment.registerServers();
		await deployment.start(START_SPREAD_MS);
		await sleep(LATE_CONFIGURATION_MS - START_SPREAD_MS);
		deployment.configure();
		await checkReadiness(CONFIG_APPLY_MS, performance.now());
	});

	async function checkRestarts(signal: NodeJS.Signals): Promise<void> {
		// Without servers no VM becomes ready.
		deployment.configure();
		await deployment.start(START_SPREAD_MS);
		await sleep(RESTART_AFTER_MS);
		const statuses = await Promise.all(vms.map(async vm => {
			const status = await vm.end(signal);
			vm.start();
			return status;
		}));
		expect(new Set(statuses)).to.deep.equal(new Set([signal === 'SIGTERM' ? 0 : null]));
		deployment.registerServers();
		await checkReadiness(CONTACT_MS, performance.now());
	}

	it('of which each is restarted by SIGTERM before one is ready', async () => checkRestarts('SIGTERM'));
	it('of which each is restarted by SIGKILL before one is ready', async () => checkRestarts('SIGKILL'));

	it('of which three have an address in use', async () => {
		deployment.configure();
		deployment.registerServers();
		const names = ['front', 'ready', 'control'] as const;
		const held = await Promise.all(names.map(async (name, index) => occupyAddress(vms[index * 4]!.listen[name])));
		await deployment.start(START_SPREAD_MS);
		await sleep(HELD_MS);
		for (const server of held) {
			server.close();
		}

		await checkReadiness(CONTACT_MS, performance.now());
	});
});
