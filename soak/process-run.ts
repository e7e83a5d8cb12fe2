/**
 * Randomised runs of the real program as separate processes, with external faults: signals, a faulty store or a faulty
 * connection to it, servers that lose, truncate or refuse requests, and frequent changes of the configuration and of the
 * servers. Callers use persistent connections and check every answer; servers record which requests ran.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../src/base/random.js';
import {ServerMode} from '../standins/platform-server.js';
import {StoreMode} from '../standins/platform-store.js';
import {ProxyMode} from '../standins/tcp-proxy.js';
import {callOnConnection} from './connection-callers.js';
import {type ManifestChange, manifestChanges} from './operator.js';
import {PlatformDeployment, timestamp} from './platform-deployment.js';
import {type VmProcess} from './vm-process.js';

/** Mean time between two requests, in ms. */
const MEAN_REQUEST_INTERVAL_MS = 12;
/** Mean time between two faults, in ms. */
const MEAN_FAULT_INTERVAL_MS = 700;
/** Maximum duration of a fault, in ms. */
const MAX_FAULT_DURATION_MS = 2500;
/** Limits that servers state, in requests per second, and how long they do, in ms: several windows in which requests are counted. */
const LIMITS_PER_SECOND = [0, 0.4, 2, 7.5, 1e9] as const;
const LIMIT_DURATION_MS = {min: 5000, max: 12_000} as const;
/** Changes of the configuration in series, and the longest time between two of them, in ms. */
const MAX_CHANGES_IN_SERIES = 5;
const MAX_CHANGE_INTERVAL_MS = 500;
/** Callers at each VM that use one connection for many requests. */
const CONNECTIONS_PER_VM = 3;
/** Longest time between two connections of such a caller, in ms. */
const MAX_CONNECTION_INTERVAL_MS = 100;
/** Time after which the platform kills a process that it has asked to stop, in ms. */
const STOP_TIMEOUT_MS = 8000;
/** Time after the last fault within which every VM must serve again, in ms. */
const RECOVERY_TIMEOUT_MS = 12_000;
/** Default number of VMs in a run. */
export const VM_COUNT = 4;
const SERVER_COUNT = 3;
/** Value of `recovery` once all VMs have answered every call of a round; it is 0 until then. Any positive number would do. */
const RECOVERED = 20;

/** Entries that another writer leaves among those of the servers, as JSON. */
const oddEntry = {
	service: 'desk', address: '127.0.0.1:9', zone: 'zone-a', slots: 6, state: 'ready', born: 1,
};
const oddEntries: readonly string[] = [
	JSON.stringify({...oddEntry, address: '127.0.0.1:70000'}),
	JSON.stringify({...oddEntry, slots: 'many', state: 7}),
	JSON.stringify(oddEntry).replace('6', '1e999'),
	JSON.stringify(oddEntry).replace('"zone-a"', `${'['.repeat(20_000)}${']'.repeat(20_000)}`),
	'{',
];

/** Injects each kind of fault, and ends it. */
const faults = {
	async kill(run: ProcessRun) {
		const vm = run.pickVm();
		await vm.terminate('SIGKILL');
		await run.waitForFaultDuration();
		vm.start();
	},
	async stop(run: ProcessRun) {
		const vm = run.pickVm();
		const startedAt = performance.now();
		await vm.terminate('SIGTERM');
		const tookMs = performance.now() - startedAt;
		run.deployment.check(tookMs < STOP_TIMEOUT_MS || vm.disturbed.overlaps(startedAt, startedAt + tookMs), `${vm.name} took ${Math.round(tookMs)} ms to stop`);
		vm.start();
	},
	async pause(run: ProcessRun) {
		const endDisturbance = run.deployment.beginDisturbance();
		const vm = run.pickVm();
		vm.signal('SIGSTOP');
		await run.waitForFaultDuration();
		vm.signal('SIGCONT');
		endDisturbance();
	},
	async hup(run: ProcessRun) {
		run.pickVm().signal('SIGHUP');
	},
	async store(run: ProcessRun) {
		const endDisturbance = run.deployment.beginDisturbance();
		run.deployment.store.mode = run.random.pick([StoreMode.Busy, StoreMode.Silent, StoreMode.LosesAnswers]);
		await run.waitForFaultDuration();
		run.deployment.store.mode = StoreMode.Healthy;
		endDisturbance();
	},
	async storeForgets(run: ProcessRun) {
		run.deployment.store.compact();
	},
	async storeLink(run: ProcessRun) {
		const endDisturbance = run.deployment.beginDisturbance();
		run.deployment.storeProxy.setMode(run.random.pick([ProxyMode.Delay, ProxyMode.Silent, ProxyMode.OneWay, ProxyMode.Reset]));
		await run.waitForFaultDuration();
		run.deployment.storeProxy.setMode(ProxyMode.Pass);
		endDisturbance();
	},
	async server(run: ProcessRun) {
		const {server} = run.random.pick([...run.deployment.servers.values()]);
		server.mode = run.random.pick(Object.values(ServerMode));
		run.note(`${server.id} ${server.mode}`);
		await run.waitForFaultDuration();
		server.mode = ServerMode.Healthy;
	},
	async serverCrash(run: ProcessRun) {
		const {server, service} = run.random.pick([...run.deployment.servers.values()]);
		run.deployment.crashServer(server.id);
		await run.deployment.addServer(service, server.slots);
	},
	async serverLeaves(run: ProcessRun) {
		const {server, service} = run.random.pick([...run.deployment.servers.values()]);
		await run.deployment.addServer(service, server.slots);
		run.deployment.drainServer(server.id);
	},
	async limit(run: ProcessRun) {
		const {server} = run.random.pick([...run.deployment.servers.values()]);
		if (server.limit !== undefined) {
			return;
		}

		const endLimit = run.deployment.limitServer(server, run.random.pick(LIMITS_PER_SECOND));
		await sleep(run.random.integer(LIMIT_DURATION_MS.min, LIMIT_DURATION_MS.max));
		endLimit();
	},
	async unusableLimit(run: ProcessRun) {
		const {server} = run.random.pick([...run.deployment.servers.values()]);
		if (server.limit !== undefined) {
			return;
		}

		server.limit = run.random.pick(['many', '-1', '', '2;3']);
		await run.waitForFaultDuration();
		server.limit = undefined;
	},
	async oddEntry(run: ProcessRun) {
		const key = `odd-${run.random.integer(1, 3)}`;
		run.deployment.store.putText('servers', key, run.random.pick(oddEntries));
		await run.waitForFaultDuration();
		run.deployment.store.delete('servers', key);
	},
	async configuration(run: ProcessRun) {
		for (let count = run.random.integer(1, MAX_CHANGES_IN_SERIES); count > 0; count -= 1) {
			const change = run.random.pick(Object.keys(manifestChanges) as ManifestChange[]);
			run.deployment.operator.change(change, run.random);
			run.note(`${change}, version ${run.deployment.operator.manifest.version}`);
			await sleep(run.random.integer(0, MAX_CHANGE_INTERVAL_MS)); // eslint-disable-line no-await-in-loop -- changes in series
		}
	},
} as const satisfies Record<string, (run: ProcessRun) => Promise<void>>;

type FaultKind = keyof typeof faults;

/** The kinds as often as they are chosen: changes of the configuration and planned work are more frequent than the others. */
const faultChoices: readonly FaultKind[] = [...Object.keys(faults) as FaultKind[], 'configuration', 'configuration', 'configuration', 'stop', 'stop', 'server'];

/** One run. */
export class ProcessRun {
	static async create(seed: number, vmCount = VM_COUNT): Promise<ProcessRun> {
		const deployment = await PlatformDeployment.start(vmCount, SERVER_COUNT);
		await deployment.addServer('counter', 6);
		await deployment.addServer('counter', 6);
		const random = Random.create(seed);
		deployment.operator.change('withdrawKey', random);
		deployment.operator.change('removeTenant', random);
		return new ProcessRun(random, deployment);
	}

	readonly random: Random;
	readonly deployment: PlatformDeployment;
	readonly injectedFaults = new Map<FaultKind, number>();
	/** What was done to the deployment, with its times. */
	readonly events: string[] = [];

	private constructor(random: Random, deployment: PlatformDeployment) {
		this.random = random;
		this.deployment = deployment;
	}

	pickVm(): VmProcess {
		const vm = this.random.pick(this.deployment.vms);
		this.note(`picked ${vm.name}`);
		return vm;
	}

	note(event: string): void {
		this.events.push(`${timestamp(performance.now())} ${event}`);
	}

	async waitForFaultDuration(): Promise<void> {
		await sleep(this.random.integer(100, MAX_FAULT_DURATION_MS));
	}

	/** Sends requests and injects faults for a duration, then checks that all VMs serve again. */
	async execute(seconds: number): Promise<void> {
		const end = performance.now() + (seconds * 1000);
		const pending = new Set<Promise<unknown>>();
		for (const vm of this.deployment.vms) {
			for (let index = 0; index < CONNECTIONS_PER_VM; index += 1) {
				this.#track(pending, this.#useConnections(vm, end));
			}
		}

		let nextFaultAt = performance.now() + MEAN_FAULT_INTERVAL_MS;
		while (performance.now() < end) {
			this.#track(pending, this.deployment.call(this.random.pick(this.deployment.vms), this.random.pick(['unsafe', 'safe', 'stream'])));
			if (performance.now() >= nextFaultAt) {
				nextFaultAt += this.random.exponential(MEAN_FAULT_INTERVAL_MS);
				this.#track(pending, this.#inject(this.random.pick(faultChoices)));
			}

			await sleep(this.random.exponential(MEAN_REQUEST_INTERVAL_MS)); // eslint-disable-line no-await-in-loop -- paces the requests
		}

		await Promise.all(pending);
		for (const vm of this.deployment.vms.filter(candidate => candidate.hasExitedUnexpectedly)) {
			this.deployment.addViolation(`the process of ${vm.name} exited unexpectedly: status ${vm.child?.exitCode}, signal ${vm.child?.signalCode}`);
			vm.start();
		}

		this.deployment.setConfiguration();
		await this.#recover();
		await this.deployment.checkAccounts();
		this.deployment.checkServers();
	}

	async #inject(kind: FaultKind): Promise<void> {
		this.injectedFaults.set(kind, (this.injectedFaults.get(kind) ?? 0) + 1);
		this.note(`${kind} begins`);
		await faults[kind](this);
		this.note(`${kind} ends`);
	}

	/** Opens one connection after the other, and uses each until the VM closes it. */
	async #useConnections(vm: VmProcess, end: number): Promise<void> {
		while (performance.now() < end) {
			/* eslint-disable no-await-in-loop -- one connection after the other */
			await callOnConnection(this.deployment, this.random, vm);
			await sleep(this.random.integer(1, MAX_CONNECTION_INTERVAL_MS));
			/* eslint-enable no-await-in-loop */
		}
	}

	#track(pending: Set<Promise<unknown>>, promise: Promise<unknown>): void {
		pending.add(promise);
		void promise.finally(() => pending.delete(promise)); // eslint-disable-line promise/prefer-await-to-then -- runs concurrently with other promises
	}

	async #recover(): Promise<void> {
		const end = performance.now() + RECOVERY_TIMEOUT_MS;
		let recovery = 0;
		while (recovery < RECOVERED && performance.now() < end) {
			/* eslint-disable no-await-in-loop -- rounds are sequential */
			const answers = await Promise.all(this.deployment.vms.flatMap(vm => [this.deployment.call(vm, 'unsafe'), this.deployment.call(vm, 'stream')]));
			recovery = answers.every(({status, isWhole}) => status === 200 && isWhole) ? RECOVERED : 0;
			await sleep(100);
			/* eslint-enable no-await-in-loop */
		}

		this.deployment.countCheck();
		if (recovery === 0) {
			this.deployment.addViolation(`not all VMs serve ${RECOVERY_TIMEOUT_MS} ms after the last fault`);
		}
	}
}
