/**
 * Randomised runs of the real program as separate processes, with external faults: signals, a faulty store or a faulty
 * connection to it, servers that lose, truncate or refuse requests, and frequent changes of the configuration and of the
 * servers. Callers use persistent connections and check every answer; servers record which requests ran.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '../src/base/address.js';
import {Random} from '../src/base/random.js';
import {AddressLayout, LayoutKind} from '../test/support/address-layout.js';
import {canConnect, findForeignPorts} from '../test/support/port-table.js';
import {callOnConnection} from './connection-callers.js';
import {versionPrefix} from './operator.js';
import {ContractLoad} from './contract-load.js';
import {PlatformDeployment, timestamp} from './platform-deployment.js';
import {faultChoices, type FaultKind, faults} from './process-faults.js';
import {ResourceGauge} from './resource-gauge.js';
import {RolloutRun} from './rollout-run.js';
import {type VmProcess} from './vm-process.js';
import {BundleProgram, SourceProgram, type VmProgram} from './vm-program.js';

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
/** Time within which all VMs must be ready, in ms: the platform starts traffic after it. */
const START_TIMEOUT_MS = 12_000;
/** Longest time between the starts of two VMs at the beginning, in ms, as on the platform. */
const MAX_START_DELAY_MS = 300;
/** Share of the VMs that are killed during their first start, and longest time until then, in ms. */
const RESTARTED_SHARE = 0.4;
const MAX_RESTART_DELAY_MS = 500;
/** Time after which the platform kills a process that it has asked to stop, in ms. */
const STOP_TIMEOUT_MS = 8000;
/** Ways to the store that fail by themselves. */
const STORE_PROXY_COUNT = 3;
/** Zone of each VM of a large deployment, as on mahabir-tables. */
const largeZones = ['zone-a', 'zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b', 'zone-b', 'zone-c', 'zone-c'];
/** Default number of VMs in a run. */
export const VM_COUNT = 4;
const SERVER_COUNT = 3;
const ROUND_INTERVAL_MS = 100;
/** Added to the seed for the decisions of roll-outs and of the load, so that the other decisions of each seed stay as they were. */
const ROLLOUT_SEED_OFFSET = 1_000_000_000;
const LOAD_SEED_OFFSET = 2_000_000_000;

export type ProcessRunOptions = {
	readonly layout?: LayoutKind;
	/** Whether there are nine VMs in three zones. */
	readonly isLarge?: boolean;
	/** Whether the processes run the bundle, not the sources. */
	readonly isBundled?: boolean;
	readonly vmCount?: number;
	/** Kinds of faults, as often as they are chosen. */
	readonly kinds?: readonly FaultKind[];
	/** Whether the settings name the contracts `pressure` and `rollout`; those of even seeds do by default. */
	readonly hasContracts?: boolean;
};

/** What a run with the contracts has beside the faults. */
type AdditionalLoad = Pick<ProcessRun, 'rollouts' | 'contractLoad'>;

/** One run. */
export class ProcessRun {
	static async create(seed: number, options: ProcessRunOptions = {}): Promise<ProcessRun> {
		const {layout = LayoutKind.OneAddress, isLarge = false, isBundled = false, kinds = faultChoices, hasContracts = seed % 2 === 0} = options;
		const {vmCount = isLarge ? largeZones.length : VM_COUNT} = options;
		const random = Random.create(seed);
		const program = isBundled ? await BundleProgram.create() : SourceProgram.create();
		const addresses = AddressLayout.create(layout, random);
		const deployment = await PlatformDeployment.create(SERVER_COUNT, {
			vmCount, layout: addresses, zones: isLarge ? largeZones : ['zone-a'], program, isSupervised: true, storeProxyCount: STORE_PROXY_COUNT,
			contracts: hasContracts ? ['pressure', 'rollout'] : [],
		});
		const contractLoad = hasContracts ? ContractLoad.create(deployment, Random.create(seed + LOAD_SEED_OFFSET)) : undefined;
		const rollouts = hasContracts ? await RolloutRun.create(deployment, Random.create(seed + ROLLOUT_SEED_OFFSET)) : undefined;
		const run = new ProcessRun(random, deployment, program, addresses.isShared, kinds, {rollouts, contractLoad});
		await run.#start();
		await deployment.addServer('counter', 6);
		await deployment.addServer('counter', 6);
		deployment.operator.change('withdrawKey', random);
		deployment.operator.change('removeTenant', random);
		return run;
	}

	readonly random: Random;
	readonly deployment: PlatformDeployment;
	readonly program: VmProgram;
	/** Whether the VMs share an IP address with the outgoing connections of one another. */
	readonly sharesAddress: boolean;
	readonly gauge: ResourceGauge;
	/** Factor on the rate of the requests. */
	rateFactor = 1;
	/** Time from the first start of a process until all were ready, in ms. */
	readyAfterMs = Number.NaN;
	/** Roll-outs beside the faults; `undefined` without the contracts. */
	readonly rollouts: RolloutRun | undefined;
	/** Load that the contracts call for; `undefined` without them. */
	readonly contractLoad: ContractLoad | undefined;
	readonly injectedFaults = new Map<FaultKind, number>();
	/** What was done to the deployment, with its times. */
	readonly events: string[] = [];
	readonly #kinds: readonly FaultKind[];

	// eslint-disable-next-line max-params -- called in one place
	private constructor(random: Random, deployment: PlatformDeployment, program: VmProgram, sharesAddress: boolean, kinds: readonly FaultKind[], {rollouts, contractLoad}: AdditionalLoad) {
		this.random = random;
		this.deployment = deployment;
		this.program = program;
		this.sharesAddress = sharesAddress;
		this.#kinds = kinds;
		this.rollouts = rollouts;
		this.contractLoad = contractLoad;
		this.gauge = ResourceGauge.start(deployment.vms, detail => {
			deployment.addViolation(detail);
		});
	}

	pickVm(): VmProcess {
		const vm = this.random.pick(this.deployment.vms);
		this.note(`picked ${vm.name}`);
		return vm;
	}

	/** Passes a VM whose settings and addresses no other fault changes meanwhile; does nothing if there is none. */
	async withReservedVm(action: (vm: VmProcess) => Promise<void>): Promise<void> {
		const free = this.deployment.vms.filter(({isReserved}) => !isReserved);
		if (free.length === 0) {
			return;
		}

		const vm = this.random.pick(free);
		vm.isReserved = true;
		this.note(`picked ${vm.name}`);
		await action(vm);
		vm.isReserved = false;
	}

	/** Stops a VM as planned and checks how long that takes. */
	async stopVm(vm: VmProcess): Promise<void> {
		const startedAt = performance.now();
		await vm.terminate('SIGTERM');
		const tookMs = performance.now() - startedAt;
		this.deployment.check(tookMs < STOP_TIMEOUT_MS || vm.disturbed.overlaps(startedAt, startedAt + tookMs), `${vm.name} took ${Math.round(tookMs)} ms to stop`);
	}

	async stop(): Promise<void> {
		this.gauge.stop();
		await this.deployment.stop();
		await this.program.remove();
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

		if (this.contractLoad !== undefined) {
			this.#track(pending, this.contractLoad.execute(end));
		}

		if (this.rollouts !== undefined) {
			this.#track(pending, this.rollouts.execute(end, event => {
				this.note(event);
			}));
		}

		let nextFaultAt = performance.now() + MEAN_FAULT_INTERVAL_MS;
		while (performance.now() < end) {
			this.#track(pending, this.deployment.call(this.random.pick(this.deployment.vms), this.random.pick(['unsafe', 'safe', 'stream'])));
			if (performance.now() >= nextFaultAt) {
				nextFaultAt += this.random.exponential(MEAN_FAULT_INTERVAL_MS);
				this.#track(pending, this.#inject(this.random.pick(this.#kinds)));
			}

			await sleep(this.random.exponential(MEAN_REQUEST_INTERVAL_MS / this.rateFactor)); // eslint-disable-line no-await-in-loop -- paces the requests
		}

		await Promise.all(pending);
		for (const vm of this.deployment.vms) {
			// Overlapping faults, or an end that was recorded a moment ago.
			vm.start();
		}

		this.deployment.setConfiguration();
		await this.#recover();
		await this.deployment.checkAccounts();
		this.rollouts?.check();
		this.deployment.checkServers();
		this.deployment.checkConfigurations();
	}

	/** Starts all VMs at almost the same time, some of them twice. */
	async #start(): Promise<void> {
		const {deployment, random} = this;
		const startedAt = performance.now();
		await Promise.all(deployment.vms.map(async vm => {
			const [delayMs, restartDelayMs] = [random.integer(0, MAX_START_DELAY_MS), random.integer(0, MAX_RESTART_DELAY_MS)];
			const isRestarted = random.next() < RESTARTED_SHARE;
			await sleep(delayMs);
			vm.start();
			if (isRestarted) {
				await sleep(restartDelayMs);
				await vm.terminate('SIGKILL');
				vm.start();
			}
		}));
		const unready = await deployment.findUnready(START_TIMEOUT_MS);
		this.readyAfterMs = Math.round(performance.now() - startedAt);
		deployment.check(unready === undefined, `at the start: ${unready}`);
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
		await this.#checkListening();
		const unready = await deployment.findUnready(START_TIMEOUT_MS);
		deployment.check(unready === undefined, `after the last fault: ${unready}`);
		const startedAt = performance.now();
		deployment.retireOlderServers();
		let problem: string | undefined = '';
		let disagreement: string | undefined = '';
		while ((problem !== undefined || disagreement !== undefined) && performance.now() < startedAt + RECOVERY_TIMEOUT_MS) {
			/* eslint-disable no-await-in-loop -- rounds are sequential */
			problem = await this.#findProblem();
			disagreement = performance.now() < startedAt + LINK_TIMEOUT_MS ? await deployment.disagreement() : disagreement;
			await sleep(ROUND_INTERVAL_MS);
			/* eslint-enable no-await-in-loop */
		}

		deployment.check(disagreement === undefined, `no agreement ${LINK_TIMEOUT_MS} ms after the last fault: ${disagreement}`);
		deployment.check(problem === undefined, `not recovered ${RECOVERY_TIMEOUT_MS} ms after the last fault: ${problem}`);
	}

	/** Checks that all addresses are listened on. Waits for those whose port a connection of another program has, or had a minute ago. */
	async #checkListening(): Promise<void> {
		const {deployment} = this;
		const startedAt = performance.now();
		let missing = deployment.vms.flatMap(vm => Object.values(vm.addresses));
		while (missing.length > 0) {
			/* eslint-disable no-await-in-loop -- rounds are sequential */
			const connectable = await Promise.all(missing.map(async address => canConnect(address)));
			missing = missing.filter((_address, index) => !connectable[index]);
			if (performance.now() - startedAt > START_TIMEOUT_MS) {
				const foreign = await findForeignPorts(new Set([...deployment.connectionTargets, ...deployment.vms.map(({control}) => splitAddress(control).port)]));
				const unexplained = missing.filter(address => !foreign.has(splitAddress(address).port));
				deployment.check(unexplained.length === 0, `not listening after the last fault: ${unexplained.join(', ')}`);
				missing = missing.filter(address => !unexplained.includes(address));
			}

			await sleep(ROUND_INTERVAL_MS);
			/* eslint-enable no-await-in-loop */
		}
	}

	async #findProblem(): Promise<string | undefined> {
		const {deployment} = this;
		const newest = versionPrefix(deployment.operator.manifest.version);
		const answers = await Promise.all(deployment.vms.flatMap(vm => [deployment.call(vm, 'unsafe'), deployment.call(vm, 'stream'), deployment.call(vm, 'safe', newest)]));
		const failed = answers.filter(({status, isWhole}) => status !== 200 || !isWhole).map(({id, status}) => `${id} ${status}`);
		return failed.length > 0 ? `not served: ${failed.join(', ')}` : undefined;
	}
}
