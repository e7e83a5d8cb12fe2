/**
 * VMs that choose an allocator and ask it for places, in virtual time with faults, and what must hold meanwhile. All but
 * the network, the store's row and the callers is the program's own code. The properties stand beside the world that they
 * read, hence the length.
 */
import {Allocator} from '../src/allocation/allocator.js';
import {globalScope} from '../src/allocation/scope.js';
import {SwitchedAllocation} from '../src/allocation/switched-allocation.js';
import {Log} from '../src/base/log.js';
import {Random} from '../src/base/random.js';
import {VirtualClock} from '../src/base/virtual-clock.js';
import {DeploymentState} from '../src/gateway/deployment-state.js';
import {type Configuration} from '../src/gateway/routing-table.js';
import {type Upstream} from '../src/gateway/upstream-list.js';
import {Coordinator, Role} from '../src/link/coordinator.js';
import {type Member} from '../src/link/messages.js';
import {
	LinkDemand, QUOTA, REPEATS, TOLERANCE,
} from './link-demand.js';
import {LinkFabric} from './link-fabric.js';
import {beginFault, endFault, type FaultTargets} from './link-faults.js';
import {type LinkPlan} from './link-plans.js';
import {LinkRow, ModelRegister} from './link-store.js';
import {ProcessClock} from './process-clock.js';

/**
 * Time after the last fault within which every VM is linked to one allocator, in ms. The longest way of the constants:
 * the silence of the allocator (700), a look that began before (connection 700, silence 700), VMs asked about it
 * (700 + 700), the rank of the weakest (1,500), the next look of a VM that lost the claim (300 + 700 + 700), the pause of
 * a look without the store (1,000), and the list of VMs (80): 7,780.
 */
export const LINKED_WITHIN_MS = 8000;
/** Time after the last fault within which a configuration is in force and an upstream that left is known everywhere, in ms: the pages' 5 s after the VMs are linked. */
export const KNOWN_WITHIN_MS = LINKED_WITHIN_MS + 5000;
/** Time until a VM notices that the store is away, in ms: its watch waits 700 and is given up 600 later. */
const STORE_NOTICED_MS = 1300;
/** How often a VM that watches the store hears of changes, in ms. */
const WATCH_MS = 100;
const UPSTREAMS = 6;
const SLOTS = 8;
const MS_PER_SECOND = 1000;
/** Details of a finding that are told. */
const MAX_TOLD = 5;

/** What must hold. */
export const LinkProperty = {
	/** No two processes allocate under one term, and the register's terms only rise. */
	OneTerm: 'one allocator a term',
	/** No VM follows an allocator of an earlier term than one that it followed. */
	NoWayBack: 'no way back to an earlier term',
	/** Once the faults are over, all VMs are linked to one allocator and know of each other. */
	Linked: 'all linked in time',
	/** In any window, a customer is granted no more than its quota and what is tolerated, over all VMs. */
	Quota: 'quota over all VMs',
	/** In any window, no more repeats than the budget allows, over all VMs. */
	Repeats: 'budget of repeats over all VMs',
	/** An upstream that said that it leaves is granted to nobody once all know of it, and never at the VM that was told. */
	Leaving: 'no work for an upstream that leaves',
	/** A configuration comes into force everywhere. */
	Configuration: 'configuration in force everywhere',
} as const;

export type LinkProperty = (typeof LinkProperty)[keyof typeof LinkProperty];

/** What was seen. */
export type LinkFinding = {
	readonly property: LinkProperty;
	readonly atMs: number;
	readonly detail: string;
};

export type LinkReport = {
	readonly findings: readonly LinkFinding[];
	readonly grants: number;
	readonly refusals: number;
	readonly claims: number;
	readonly messages: number;
	/** From the last fault until all were linked, in ms. */
	readonly linkedAfterMs: number;
};

/** One start of a VM. */
type Vm = {
	readonly member: Member;
	readonly clock: ProcessClock;
	readonly state: DeploymentState;
	readonly allocation: SwitchedAllocation;
	readonly coordinator: Coordinator;
	isWatching: boolean;
	/** Greatest term that it followed. */
	term: number;
	isStopping: boolean;
};

/** The model. */
export class LinkWorld {
	/** Plays a plan to its end, which comes a while after the last fault. */
	static async run(plan: LinkPlan): Promise<LinkReport> {
		const world = new LinkWorld(plan);
		return world.#run();
	}

	readonly #plan: LinkPlan;
	readonly #random: Random;
	readonly #row = new LinkRow();
	readonly #clock = VirtualClock.create();
	readonly #fabric: LinkFabric;
	readonly #demand: LinkDemand;
	readonly #log = Log.create('silent');
	readonly #vms: Array<Vm | undefined> = [];
	readonly #findings: LinkFinding[] = [];
	readonly #awaySince = new Map<string, number>();
	readonly #leaders = new Map<number, string>();
	#boots = 0;
	#version = 1;
	#leaving: Upstream | undefined;
	#leavingAt = Number.POSITIVE_INFINITY;
	#linkedAt: number | undefined;

	private constructor(plan: LinkPlan) {
		this.#plan = plan;
		this.#random = Random.create(plan.seed);
		this.#fabric = LinkFabric.create(this.#clock, this.#random, plan.sabotage?.tamper);
		this.#demand = LinkDemand.create({
			clock: this.#clock,
			random: this.#random,
			pick: () => {
				const vm = this.#random.pick(this.#running);
				return vm.clock.isPaused || vm.isStopping ? undefined : {boot: vm.member.boot, clock: vm.clock, allocation: vm.allocation};
			},
			onGrant: (boot, upstreamId) => {
				this.#checkLeaving(boot, upstreamId);
			},
		});
	}

	get #now(): number {
		return this.#clock.now();
	}

	get #quietFrom(): number {
		return Math.max(0, ...this.#plan.faults.map(({until}) => until));
	}

	async #run(): Promise<LinkReport> {
		const plan = this.#plan;
		for (let index = 0; index < plan.vms; index += 1) {
			this.#start(index);
		}

		for (const fault of plan.faults) {
			this.#at(fault.at, () => {
				beginFault(fault, this.#targets);
			});
			this.#at(fault.until, () => {
				endFault(fault, this.#targets);
			});
		}

		// In the middle of the faults, one VM hears that an upstream leaves, and the store has a new configuration.
		const middle = this.#quietFrom / 2;
		this.#at(middle, () => {
			this.#version = 2;
			this.#hearOfLeaving();
		});
		this.#watch();
		this.#demand.start();

		const quietFrom = this.#quietFrom;
		await this.#clock.advanceAsync(quietFrom);
		while (this.#linkedAt === undefined && this.#now < quietFrom + LINKED_WITHIN_MS) {
			await this.#clock.advanceAsync(WATCH_MS); // eslint-disable-line no-await-in-loop -- time goes on step by step
			this.#linkedAt = this.#isLinked ? this.#now : undefined;
		}

		if (this.#linkedAt === undefined) {
			this.#find(LinkProperty.Linked, this.#wrong.slice(0, MAX_TOLD).join('; '));
		}

		await this.#clock.advanceAsync(quietFrom + KNOWN_WITHIN_MS - this.#now);
		this.#checkKnown();
		this.#checkShared();
		for (const vm of this.#running) {
			vm.coordinator.stop();
		}

		return {
			findings: this.#findings, grants: this.#demand.grants, refusals: this.#demand.refusals, claims: this.#row.claims, messages: this.#fabric.delivered, linkedAfterMs: (this.#linkedAt ?? Number.POSITIVE_INFINITY) - quietFrom,
		};
	}

	get #running(): Vm[] {
		return this.#vms.filter(vm => vm !== undefined);
	}

	get #isLinked(): boolean {
		const running = this.#running;
		return running.filter(vm => vm.coordinator.role === Role.Leading).length === 1
			&& running.filter(vm => vm.coordinator.role === Role.Linked).length === running.length - 1
			&& running.every(vm => vm.state.members.length === running.length);
	}

	/** VMs that are not linked, or do not know just the VMs that run. */
	get #wrong(): string[] {
		const running = this.#running;
		const boots = new Set(running.map(({member}) => member.boot));
		const told = running.filter(({coordinator}) => coordinator.role !== Role.Linked).map(({member, coordinator}) => `${member.boot} ${coordinator.role}`);
		for (const {member, state} of running) {
			const known = state.members.map(({boot}) => boot);
			const missing = [...boots].filter(boot => !known.includes(boot));
			const surplus = known.filter(boot => !boots.has(boot));
			if (known.length !== boots.size || missing.length > 0) {
				told.push(`${member.boot} knows ${known.length} of ${boots.size} (not ${missing.slice(0, MAX_TOLD).join(' ')}; gone ${surplus.slice(0, MAX_TOLD).join(' ')})`);
			}
		}

		return told;
	}

	#at(ms: number, action: () => void): void {
		this.#clock.setTimer(ms - this.#now, action);
	}

	#find(property: LinkProperty, detail: string): void {
		this.#findings.push({property, atMs: Math.round(this.#now), detail});
	}

	#start(index: number): void {
		this.#boots += 1;
		const name = `vm-${index}`;
		const clock = ProcessClock.create(this.#clock);
		const state = DeploymentState.create(this.#log);
		const allocator = Allocator.create({
			clock, random: this.#random, nodeId: `${name}-${this.#boots}`, repeatBounds: REPEATS, quotaTolerance: TOLERANCE,
		});
		const {scope} = this.#plan.sabotage ?? {};
		if (scope !== undefined) {
			const restart = allocator.restart.bind(allocator);
			allocator.restart = told => {
				restart(scope(told));
			};

			const setShare = allocator.setShare.bind(allocator);
			allocator.setShare = share => {
				setShare(scope({...globalScope(true), share}).share);
			};
		}

		state.listen({
			onUpstreams(changes) {
				allocator.setUpstreams(changes);
			},
			onTable(table) {
				allocator.setTable(table);
			},
		});
		const member: Member = {
			name, frontAddress: `10.0.0.${index}:80`, linkAddress: `10.0.0.${index}:81`, dataCentre: 'a', region: 'r', strength: 1 - (index / 1000), boot: `${name}-${this.#boots}`, isReady: true,
		};
		const allocation = SwitchedAllocation.create(clock);
		const vm: Vm = {
			member,
			clock,
			state,
			allocation,
			isWatching: false,
			term: 0,
			isStopping: false,
			coordinator: Coordinator.create({
				clock,
				random: this.#random,
				log: this.#log,
				state,
				allocator,
				allocation,
				register: ModelRegister.create({
					row: this.#row, random: this.#random, clock, name, ignoresTerms: this.#plan.sabotage?.ignoresTerms === true,
				}),
				network: this.#fabric.networkOf(name, clock),
				self: member,
				seeds: this.#seeds(index),
				reachesStore: () => this.#noticesStore(name),
				onVersion() {
					// The configuration is small and comes itself.
				},
				onWatchNeeded(isNeeded) {
					vm.isWatching = isNeeded;
				},
			}),
		};
		this.#vms[index] = vm;
		void vm.coordinator.start();
	}

	/** A VM notices that the store is away when a call has failed. */
	#noticesStore(name: string): boolean {
		if (!this.#row.isAwayFor(name)) {
			this.#awaySince.delete(name);
			return true;
		}

		const since = this.#awaySince.get(name) ?? this.#now;
		this.#awaySince.set(name, since);
		return this.#now - since < STORE_NOTICED_MS;
	}

	/** Each VM knows two others by its settings. */
	#seeds(index: number): string[] {
		const {vms} = this.#plan;
		return [1, 2].map(step => `10.0.0.${(index + step) % vms}:81`);
	}

	get #targets(): FaultTargets {
		return {
			vms: this.#plan.vms,
			fabric: this.#fabric,
			row: this.#row,
			clock: this.#clock,
			clockOf: index => this.#vms[index]?.clock,
			kill: index => {
				this.#kill(index);
			},
			start: index => {
				this.#start(index);
			},
			stop: index => {
				this.#stop(index);
			},
		};
	}

	#stop(index: number): void {
		const vm = this.#vms[index];
		if (vm !== undefined) {
			vm.isStopping = true;
			vm.coordinator.resign();
			vm.coordinator.setReady(false);
		}
	}

	#kill(index: number): void {
		const vm = this.#vms[index];
		if (vm !== undefined) {
			vm.clock.end();
			vm.coordinator.stop();
			this.#vms[index] = undefined;
		}
	}

	/** What the store tells VMs that watch it, and looks at who allocates. */
	#watch(): void {
		for (const vm of this.#running) {
			if (!vm.clock.isPaused && vm.isWatching && !this.#row.isAwayFor(vm.member.name)) {
				if (this.#row.leader !== undefined) {
					vm.coordinator.noteLeader(this.#row.leader);
				}

				vm.state.replaceUpstreams(this.#listed);
				vm.state.applyConfiguration(this.#configuration);
			}

			this.#checkTerm(vm);
		}

		this.#clock.setTimer(WATCH_MS, () => {
			this.#watch();
		});
	}

	#checkTerm(vm: Vm): void {
		const {coordinator: {leader, role}, member} = vm;
		if (role === Role.Alone || leader === undefined) {
			return;
		}

		if (leader.term < vm.term) {
			this.#find(LinkProperty.NoWayBack, `${member.name}: ${vm.term} before, ${leader.term} now`);
		}

		vm.term = leader.term;
		if (role === Role.Leading) {
			const before = this.#leaders.get(leader.term) ?? member.boot;
			this.#leaders.set(leader.term, before);
			if (before !== member.boot) {
				this.#find(LinkProperty.OneTerm, `${before} and ${member.boot} under ${leader.term}`);
			}
		}
	}

	get #listed(): Upstream[] {
		return Array.from({length: UPSTREAMS}, (_, index) => ({
			id: `up-${index}`, pool: 'desk', address: `10.1.0.${index}:80`, dataCentre: 'a', region: 'r', slots: SLOTS, isLeaving: false, startedAt: 1,
		}));
	}

	get #configuration(): Configuration {
		return {
			version: this.#version,
			routes: [],
			customers: [{
				name: 'hot', apiKeys: [], rank: undefined, quota: {...QUOTA, isInTokens: false, plainTokens: 1},
			}],
			pools: [{
				name: 'desk', slots: undefined, maxConnections: 100, isEngine: false, tokensPerEvent: 1,
			}],
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 10_000,
			},
			hasCustomers: true,
		};
	}

	#hearOfLeaving(): void {
		const vm = this.#running.find(({clock, state}) => !clock.isPaused && state.upstreams.get('up-0') !== undefined);
		if (vm === undefined) {
			return;
		}

		this.#leaving = vm.state.upstreams.get('up-0');
		this.#leavingAt = this.#now;
		vm.state.noteLeaving([this.#leaving!]);
	}

	/** The request path checks what its own VM knows; the allocator may be behind until all are linked again. */
	#checkLeaving(boot: string, upstreamId: string): void {
		const vm = this.#running.find(({member}) => member.boot === boot);
		// What only VMs knew that were lost before they could tell, nobody can know.
		const isUsed = this.#isKnown && upstreamId === this.#leaving?.id && vm?.state.upstreams.get(upstreamId)?.isLeaving === false;
		if (isUsed && this.#now > Math.max(this.#leavingAt, this.#quietFrom) + KNOWN_WITHIN_MS - MS_PER_SECOND) {
			this.#find(LinkProperty.Leaving, `${upstreamId} at ${boot}`);
		}
	}

	get #isKnown(): boolean {
		return this.#leaving !== undefined && this.#running.some(({state}) => state.upstreams.get(this.#leaving!.id)?.isLeaving === true);
	}

	#checkShared(): void {
		const {beyondQuota, beyondBudget} = this.#demand;
		if (beyondQuota !== undefined) {
			this.#find(LinkProperty.Quota, beyondQuota);
		}

		if (beyondBudget !== undefined) {
			this.#find(LinkProperty.Repeats, beyondBudget);
		}
	}

	/** What all VMs must know by now. */
	#checkKnown(): void {
		for (const {member, state} of this.#running) {
			if (state.table?.version !== this.#version) {
				this.#find(LinkProperty.Configuration, `${member.name} has ${state.table?.version}, not ${this.#version}`);
			}

			if (this.#isKnown && state.upstreams.get(this.#leaving!.id)?.isLeaving !== true) {
				this.#find(LinkProperty.Leaving, `${member.name} does not know that ${this.#leaving!.id} leaves`);
			}
		}
	}
}
