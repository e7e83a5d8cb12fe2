/**
 * Randomised runs of the real program as separate processes, with faults from outside: signals, a store that misbehaves or
 * is reached through a failing link, servers that lose, truncate or refuse, configurations and leaving servers in series.
 * Callers keep their connections and check every answer; servers tell what ran.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../src/base/random.js';
import {ServerMode} from '../standins/platform-server.js';
import {StoreMode} from '../standins/platform-store.js';
import {ProxyMode} from '../standins/tcp-proxy.js';
import {PlatformDeployment, type VmProcess} from './platform-deployment.js';

/** Mean time between two requests, in ms, and between two faults. */
const REQUEST_MS = 12;
const FAULT_MS = 700;
/** Longest time that a fault lasts, in ms. */
const MAX_FAULT_MS = 2500;
/** After the last fault everything must work again within this time, in ms. */
const RECOVERY_MS = 12_000;
/** VMs of a run. */
export const VM_COUNT = 4;
const SERVER_COUNT = 3;
const FIRST_FREE_CALLS = 20;

/** Faults by kind. */
const faults = {
	async kill(run: ProcessRun) {
		const vm = run.pickVm();
		await vm.end('SIGKILL');
		await run.wait();
		vm.start();
	},
	async stop(run: ProcessRun) {
		const vm = run.pickVm();
		await vm.end('SIGTERM');
		vm.start();
	},
	async pause(run: ProcessRun) {
		const calm = run.deployment.disturb();
		const vm = run.pickVm();
		vm.signal('SIGSTOP');
		await run.wait();
		vm.signal('SIGCONT');
		calm();
	},
	async hup(run: ProcessRun) {
		run.pickVm().signal('SIGHUP');
	},
	async store(run: ProcessRun) {
		const calm = run.deployment.disturb();
		run.deployment.store.mode = run.random.pick([StoreMode.Busy, StoreMode.Silent, StoreMode.LosesAnswers]);
		await run.wait();
		run.deployment.store.mode = StoreMode.Healthy;
		calm();
	},
	async storeForgets(run: ProcessRun) {
		run.deployment.store.compact();
	},
	async storeLink(run: ProcessRun) {
		const calm = run.deployment.disturb();
		run.deployment.storeProxy.setMode(run.random.pick([ProxyMode.Delay, ProxyMode.Silent, ProxyMode.OneWay, ProxyMode.Reset]));
		await run.wait();
		run.deployment.storeProxy.setMode(ProxyMode.Pass);
		calm();
	},
	async server(run: ProcessRun) {
		const {server} = run.random.pick([...run.deployment.servers.values()]);
		server.mode = run.random.pick(Object.values(ServerMode));
		await run.wait();
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
	async configuration(run: ProcessRun) {
		run.deployment.setConfiguration(run.random.next() < 0.5 ? ['/extra/'] : []);
	},
} as const satisfies Record<string, (run: ProcessRun) => Promise<void>>;

type FaultKind = keyof typeof faults;

/** One run. */
export class ProcessRun {
	static async create(seed: number): Promise<ProcessRun> {
		return new ProcessRun(Random.create(seed), await PlatformDeployment.start(VM_COUNT, SERVER_COUNT));
	}

	readonly random: Random;
	readonly deployment: PlatformDeployment;
	readonly injected = new Map<FaultKind, number>();

	private constructor(random: Random, deployment: PlatformDeployment) {
		this.random = random;
		this.deployment = deployment;
	}

	pickVm(): VmProcess {
		return this.random.pick(this.deployment.vms);
	}

	async wait(): Promise<void> {
		await sleep(this.random.integer(100, MAX_FAULT_MS));
	}

	/** Sends requests and injects faults for a time, then checks that all works again. */
	async play(seconds: number): Promise<void> {
		const end = performance.now() + (seconds * 1000);
		const pending = new Set<Promise<unknown>>();
		let nextFaultAt = performance.now() + FAULT_MS;
		while (performance.now() < end) {
			this.#track(pending, this.deployment.call(this.random.pick(this.deployment.vms), this.random.pick(['unsafe', 'safe', 'stream'])));
			if (performance.now() >= nextFaultAt) {
				nextFaultAt += this.random.exponential(FAULT_MS);
				const kind = this.random.pick(Object.keys(faults) as FaultKind[]);
				this.injected.set(kind, (this.injected.get(kind) ?? 0) + 1);
				this.#track(pending, faults[kind](this));
			}

			await sleep(this.random.exponential(REQUEST_MS)); // eslint-disable-line no-await-in-loop -- a paced loop
		}

		await Promise.all(pending);
		for (const vm of this.deployment.vms.filter(one => one.hasEndedByItself)) {
			this.deployment.noteViolation(`the process of ${vm.name} ended by itself: status ${vm.child?.exitCode}, signal ${vm.child?.signalCode}`);
			vm.start();
		}

		await this.#recover();
		this.deployment.checkServers();
	}

	#track(pending: Set<Promise<unknown>>, promise: Promise<unknown>): void {
		pending.add(promise);
		void promise.finally(() => pending.delete(promise)); // eslint-disable-line promise/prefer-await-to-then -- kept beside others
	}

	async #recover(): Promise<void> {
		const end = performance.now() + RECOVERY_MS;
		let served = 0;
		while (served < FIRST_FREE_CALLS && performance.now() < end) {
			/* eslint-disable no-await-in-loop -- attempts follow each other */
			const answers = await Promise.all(this.deployment.vms.flatMap(vm => [this.deployment.call(vm, 'unsafe'), this.deployment.call(vm, 'stream')]));
			served = answers.every(({status, isWhole}) => status === 200 && isWhole) ? FIRST_FREE_CALLS : 0;
			await sleep(100);
			/* eslint-enable no-await-in-loop */
		}

		this.deployment.noteCheck();
		if (served === 0) {
			this.deployment.noteViolation(`not all VMs serve ${RECOVERY_MS} ms after the last fault`);
		}
	}
}
