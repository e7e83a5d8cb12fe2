/**
 * Randomised runs of the real program as separate processes, with external faults: signals, a faulty store or a faulty
 * connection to it, servers that lose, truncate or refuse requests, and frequent changes of the configuration and of the
 * servers. Callers use persistent connections and check every answer; servers record which requests ran.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../src/base/random.js';
import {callOnConnection} from './connection-callers.js';
import {versionPrefix} from './operator.js';
import {PlatformDeployment, timestamp} from './platform-deployment.js';
import {faultChoices, type FaultKind, faults} from './process-faults.js';
import {type VmProcess} from './vm-process.js';

/** Mean time between two requests, in ms. */
const MEAN_REQUEST_INTERVAL_MS = 12;
/** Mean time between two faults, in ms. */
const MEAN_FAULT_INTERVAL_MS = 700;
/** Maximum duration of a fault, in ms. */
const MAX_FAULT_DURATION_MS = 2500;
/** Callers at each VM that use one connection for many requests. */
const CONNECTIONS_PER_VM = 3;
/** Longest time between two connections of such a caller, in ms. */
const MAX_CONNECTION_INTERVAL_MS = 100;
/** Time after the last fault within which every VM must serve again, in ms. */
const RECOVERY_TIMEOUT_MS = 12_000;
/** Time after the last fault within which all VMs must follow one leader, in ms, as in the simulation of links. */
const LINK_TIMEOUT_MS = 8000;
/** Default number of VMs in a run. */
export const VM_COUNT = 4;
const SERVER_COUNT = 3;
const ROUND_INTERVAL_MS = 100;

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
		this.deployment.checkConfigurations();
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

	/** Checks that all VMs follow one leader, serve again, and have the newest configuration and the newest servers. */
	async #recover(): Promise<void> {
		const {deployment} = this;
		await deployment.ready();
		const startedAt = performance.now();
		deployment.retireOlderServers();
		let problem: string | undefined = '';
		let disagreement: string | undefined = '';
		while (problem !== undefined && performance.now() < startedAt + RECOVERY_TIMEOUT_MS) {
			/* eslint-disable no-await-in-loop -- rounds are sequential */
			problem = await this.#findProblem();
			disagreement = performance.now() < startedAt + LINK_TIMEOUT_MS ? await deployment.disagreement() : disagreement;
			await sleep(ROUND_INTERVAL_MS);
			/* eslint-enable no-await-in-loop */
		}

		deployment.check(disagreement === undefined, `no agreement ${LINK_TIMEOUT_MS} ms after the last fault: ${disagreement}`);
		deployment.check(problem === undefined, `not recovered ${RECOVERY_TIMEOUT_MS} ms after the last fault: ${problem}`);
	}

	async #findProblem(): Promise<string | undefined> {
		const {deployment} = this;
		const newest = versionPrefix(deployment.operator.manifest.version);
		const answers = await Promise.all(deployment.vms.flatMap(vm => [deployment.call(vm, 'unsafe'), deployment.call(vm, 'stream'), deployment.call(vm, 'safe', newest)]));
		const failed = answers.filter(({status, isWhole}) => status !== 200 || !isWhole).map(({id, status}) => `${id} ${status}`);
		return failed.length > 0 ? `not served: ${failed.join(', ')}` : undefined;
	}
}
