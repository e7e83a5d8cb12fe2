/**
 * Faults of a `ProcessRun`, each from its beginning to its end.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {ServerMode} from '../standins/platform-server.js';
import {StoreMode} from '../standins/platform-store.js';
import {ProxyMode} from '../standins/tcp-proxy.js';
import {herdFaults} from './herd-faults.js';
import {type ManifestChange, manifestChanges} from './operator.js';
import {type ProcessRun} from './process-run.js';
import {startFaults} from './start-faults.js';

/** Limits that servers state, in requests per second, and how long they do, in ms: several windows in which requests are counted. */
const LIMITS_PER_SECOND = [0, 0.4, 2, 7.5, 1e9] as const;
const LIMIT_DURATION_MS = {min: 5000, max: 12_000} as const;
/** Changes of the configuration in series, and the longest time between two of them, in ms. */
const MAX_CHANGES_IN_SERIES = 5;
const MAX_CHANGE_INTERVAL_MS = 500;
/** Age of the copy that the store comes back from, and how long the store is away before that, in ms. */
const COPY_AGE_MS = {min: 500, max: 4000} as const;
const STORE_AWAY_MS = {min: 300, max: 3000} as const;
/** Share of the returns to a copy of before the VMs started. */
const FIRST_COPY_SHARE = 0.3;

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
export const faults = {
	...startFaults,
	...herdFaults,
	async kill(run: ProcessRun) {
		const vm = run.pickVm();
		await vm.terminate('SIGKILL');
		await run.waitForFaultDuration();
		vm.start();
	},
	async stop(run: ProcessRun) {
		const vm = run.pickVm();
		await run.stopVm(vm);
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
		const endDisturbance = run.deployment.disturbStore();
		run.deployment.store.mode = run.random.pick([StoreMode.Busy, StoreMode.Silent, StoreMode.LosesAnswers]);
		await run.waitForFaultDuration();
		run.deployment.store.mode = StoreMode.Healthy;
		endDisturbance();
	},
	/** The store is away for a moment and comes back from a copy; what was written meanwhile is written again. */
	async restore(run: ProcessRun) {
		const {store} = run.deployment;
		// In the first copy is nothing that the VMs wrote.
		const isFirstCopy = run.random.next() < FIRST_COPY_SHARE;
		const [copy, copiedAt] = isFirstCopy ? [run.deployment.firstCopy, 0] : [store.copy(), performance.now()];
		await sleep(run.random.integer(COPY_AGE_MS.min, COPY_AGE_MS.max));
		const endDisturbance = run.deployment.disturbStore();
		store.mode = run.random.pick([StoreMode.Busy, StoreMode.Silent]);
		await sleep(run.random.integer(STORE_AWAY_MS.min, STORE_AWAY_MS.max));
		store.restore(copy);
		store.mode = StoreMode.Healthy;
		run.note(`store restored, era ${store.era}${isFirstCopy ? ', first copy' : ''}`);
		await run.deployment.writeAgain(copiedAt, run.random);
		endDisturbance();
	},
	async killLeader(run: ProcessRun) {
		const leader = run.deployment.recordedLeader;
		if (leader !== undefined) {
			run.note(`leader ${leader.name}`);
			await leader.terminate('SIGKILL');
			await run.waitForFaultDuration();
			leader.start();
		}
	},
	async storeForgets(run: ProcessRun) {
		run.deployment.store.compact();
	},
	async storeLink(run: ProcessRun) {
		const endDisturbance = run.deployment.disturbStore();
		run.deployment.setStoreLinks(run.random.pick([ProxyMode.Delay, ProxyMode.Silent, ProxyMode.OneWay, ProxyMode.Reset]));
		await run.waitForFaultDuration();
		run.deployment.setStoreLinks(ProxyMode.Pass);
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

export type FaultKind = keyof typeof faults;

/** The kinds as often as they are chosen: changes of the configuration and planned work are more frequent than the others. */
export const faultChoices: readonly FaultKind[] = [...Object.keys(faults) as FaultKind[], 'configuration', 'configuration', 'configuration', 'stop', 'stop', 'server', 'restore'];
