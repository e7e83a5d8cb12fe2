/**
 * VMs that elect a leader over loopback connections, with a leader record in memory.
 */
import Result, {ok} from 'true-myth/result';
import {Allocator} from '../../src/allocation/allocator.js';
import {SwitchedAllocation} from '../../src/allocation/switched-allocation.js';
import {SystemClock} from '../../src/base/clock.js';
import {Log} from '../../src/base/log.js';
import {Random} from '../../src/base/random.js';
import {DeploymentState} from '../../src/gateway/deployment-state.js';
import {type Configuration} from '../../src/gateway/routing-table.js';
import {Coordinator, Role} from '../../src/link/coordinator.js';
import {type LeaderRecord, LeaderRegister} from '../../src/link/leader-register.js';
import {type Leader, type Member} from '../../src/link/messages.js';
import {type StoreVersion} from '../../src/link/store-version.js';
import {TcpNetwork} from '../../src/link/tcp-network.js';
import {type StoreError} from '../../src/store/table.js';
import {eventually} from './eventually.js';
import {freePort} from './free-port.js';

/** Time until a VM that begins to watch the store knows its rows, in ms. */
const WATCH_START_MS = 20;
const unavailable: StoreError = {failure: 'unavailable', detail: 'no answer'};

/** The leader record in the store, shared by all VMs of a test. */
export class MemoryRow {
	leader: Leader | undefined;
	/** Rises each time the store goes back. */
	era = 1;
	readonly unreachableFor = new Set<string>();
	/** Claims take effect immediately, but are answered only when this resolves. */
	claimAnswers: Promise<void> | undefined;

	get record(): LeaderRecord {
		return {at: {era: this.era, version: this.leader?.term.version ?? 0}, leader: this.leader};
	}

	isUnreachableFor(name: string): boolean {
		return this.unreachableFor.has(name) || this.unreachableFor.has('all');
	}
}

class MemoryRegister extends LeaderRegister {
	readonly #row: MemoryRow;
	readonly #name: string;

	constructor(row: MemoryRow, name: string) {
		super();
		this.#row = row;
		this.#name = name;
	}

	async read(): Promise<Result<LeaderRecord, StoreError>> {
		return this.#row.isUnreachableFor(this.#name) ? Result.err(unavailable) : ok(this.#row.record);
	}

	async claim(candidate: Omit<Leader, 'term'>, at: StoreVersion): Promise<Result<LeaderRecord, StoreError>> {
		if (this.#row.isUnreachableFor(this.#name)) {
			return Result.err(unavailable);
		}

		if (this.#row.record.at.version === at.version) {
			this.#row.leader = {...candidate, term: {era: at.era, version: at.version + 1}};
		}

		const {record} = this.#row;
		await this.#row.claimAnswers;
		return ok(record);
	}
}

/** One process of a VM. */
export type Vm = {
	readonly name: string;
	readonly boot: string;
	readonly linkAddress: string;
	readonly coordinator: Coordinator;
	readonly state: DeploymentState;
	readonly allocation: SwitchedAllocation;
	isWatchingStore: boolean;
	/** Configuration versions that the leader announced without sending them. */
	versions: number[];
};

/** The VMs of a test, and their leader record. */
export class LinkedVms {
	static create(): LinkedVms {
		return new LinkedVms();
	}

	readonly row = new MemoryRow();
	/** The running VMs. */
	readonly vms: Vm[] = [];
	#startCount = 0;

	private constructor() {
		// Instances come from `create`.
	}

	/** @param prepare - Called with the VM's state and allocator before it looks for a leader. */
	async start(name: string, strength: number, seeds: readonly string[] = [], prepare?: (state: DeploymentState, allocator: Allocator) => void): Promise<Vm> {
		const {row} = this;
		const clock = SystemClock.create();
		const log = Log.create('silent');
		const state = DeploymentState.create(log);
		const random = Random.create(strength);
		const allocator = Allocator.create({
			clock, random, nodeId: name, repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: state.limits,
		});
		state.listen({
			onUpstreams(changes) {
				allocator.setUpstreams(changes);
			},
		});
		const allocation = SwitchedAllocation.create(clock);
		this.#startCount += 1;
		const self: Member = {
			name, frontAddress: `10.1.0.${this.#startCount}:80`, linkAddress: `127.0.0.1:${await freePort()}`, dataCentre: 'a', region: 'r', strength, boot: `${name}-${this.#startCount}`, isReady: true,
		};
		const vm: Vm = {
			name,
			boot: self.boot,
			linkAddress: self.linkAddress,
			state,
			allocation,
			isWatchingStore: false,
			versions: [],
			coordinator: Coordinator.create({
				clock,
				random,
				log,
				state,
				allocator,
				allocation,
				register: new MemoryRegister(row, name),
				network: TcpNetwork.create(clock, Log.create('silent')),
				self,
				seeds,
				reachesStore: () => !row.isUnreachableFor(name),
				onVersion(version) {
					vm.versions.push(version);
				},
				onWatchNeeded: isNeeded => {
					vm.isWatchingStore = isNeeded;
					// A watch begins with what is recorded.
					clock.setTimer(WATCH_START_MS, () => {
						this.#tellRecord(vm);
					});
				},
			}),
		};
		this.vms.push(vm);
		prepare?.(state, allocator);
		await vm.coordinator.start();
		return vm;
	}

	async startThree(): Promise<void> {
		await this.start('strong', 3);
		await this.start('middle', 2);
		await this.start('weak', 1);
		await this.settled(3);
	}

	/** Waits until one of the running VMs allocates and all others are linked to it. */
	async settled(count: number): Promise<Vm> {
		const {vms} = this;
		const countOf = (role: Role) => vms.filter(vm => vm.coordinator.role === role).length;
		await eventually(() => countOf(Role.Leading) === 1 && countOf(Role.Linked) === count - 1
			&& vms.every(vm => vm.state.members.length === count));
		return vms.find(vm => vm.coordinator.role === Role.Leading)!;
	}

	/** The store comes back with an earlier record, or none, and the VMs that watch it are told. */
	restore(leader: Leader | undefined): void {
		this.row.leader = leader;
		this.row.era += 1;
		this.tellRecord();
	}

	/** Tells the VMs that watch the store what it records. */
	tellRecord(): void {
		for (const vm of this.vms) {
			this.#tellRecord(vm);
		}
	}

	kill(vm: Vm): void {
		vm.coordinator.stop();
		this.vms.splice(this.vms.indexOf(vm), 1);
	}

	stop(): void {
		for (const {coordinator} of this.vms) {
			coordinator.stop();
		}
	}

	#tellRecord(vm: Vm): void {
		if (vm.isWatchingStore && !this.row.isUnreachableFor(vm.name)) {
			vm.coordinator.noteRecord(this.row.record);
		}
	}
}

/** @returns A configuration with the given number of pools, by which its size can be chosen. */
export function createConfiguration(version: number, poolCount: number): Configuration {
	return {
		version,
		routes: [],
		customers: [],
		pools: Array.from({length: poolCount}, (_, index) => ({
			name: `pool-${index}`, isEngine: false, slots: undefined, maxConnections: 10, tokensPerEvent: 1,
		})),
		limits: {
			maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000, maxHeaderBytes: 1000,
		},
		hasCustomers: false,
	};
}
