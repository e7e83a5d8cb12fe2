/**
 * Simulation in virtual time of VMs that elect an allocator and request places from it while faults are injected. Only the
 * network, the store's register and the callers are simulated; everything else is the program's own code. The file is long
 * because the property checks read the state of the simulation and are kept with it.
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
import {isLater, type StoreVersion} from '../src/link/store-version.js';
import {
	SimulatedCallers, QUOTA, RETRY_BOUNDS, QUOTA_TOLERANCE,
} from './simulated-callers.js';
import {SimulatedNetwork} from './simulated-network.js';
import {beginFault, endFault, type FaultTargets} from './link-faults.js';
import {type LinkPlan} from './link-plans.js';
import {findLimitExcess, type LimitSpan} from './limit-rule.js';
import {LeaderRow, SimulatedRegister} from './simulated-register.js';
import {ProcessClock} from './process-clock.js';

/**
 * Time after the last fault within which every VM is linked to one allocator, in ms. The worst case is the sum of the
 * timeouts involved: detection of the allocator's silence (700), a search that began before (connection 700, silence 700),
 * asking the other VMs about the allocator (700 + 700), the claim delay of the lowest-ranked VM (1,500), the next search of
 * a VM that lost the claim (300 + 700 + 700), the search interval without the store (1,000), and the member list (80): 7,780.
 */
export const LINK_TIMEOUT_MS = 8000;
/** Time after the last fault within which every VM applies the configuration and knows the leaving upstream, in ms: the documented 5 s after the VMs are linked. */
export const CONVERGENCE_TIMEOUT_MS = LINK_TIMEOUT_MS + 5000;
/** Time until a VM detects that the store is unreachable, in ms: its watch waits 700 and times out 600 later. */
const STORE_LOSS_DETECTION_MS = 1300;
/** Interval at which VMs that watch the store receive changes, in ms. */
const WATCH_INTERVAL_MS = 100;
/** Time until the operator has written again what the store lost, in ms. */
const REWRITE_MS = 1500;
const UPSTREAM_COUNT = 6;
const SLOTS_PER_UPSTREAM = 8;
/** The upstream that states limits, and the limits in turn, in requests per second, beginning with one that depends on the seed. It is closest to the callers and would get about 38 without one. */
const LIMITED_UPSTREAM = 'up-1';
const LIMITS_PER_SECOND = [8, 0.5, 10] as const;
/** Time from the first statement of a limit until it must hold, in ms, as in the larger example deployments. */
const LIMIT_CONTACT_MS = 4500;
/**
 * Time at the end of a run in which the upstream states no limit any more while most others are leaving, in ms, and the
 * fewest requests that it must get then. With a limit of 0.5 per second, up to 2 s pass until a response shows that it has
 * ended; in the other 3 s the upstream could process about 110. The highest limit would allow 52 in the whole time.
 */
const UNLIMITED_MS = 5000;
const MIN_UNLIMITED_REQUESTS = 70;
const MS_PER_SECOND = 1000;
/** Maximum number of items that the detail of a violation lists. */
const MAX_DETAILS = 5;

/** Properties that each run checks. */
export const LinkProperty = {
	/** No two processes allocate under the same term, and the register's terms only increase. */
	OneAllocatorPerTerm: 'one allocator per term',
	/** No VM follows an allocator of an earlier term than that of its previous allocator. */
	MonotonicTerms: 'no return to an earlier term',
	/** Within `LINK_TIMEOUT_MS` after the faults, all VMs are linked to one allocator and know exactly the running VMs. */
	Linked: 'all linked in time',
	/** In any window, all VMs together grant a customer no more than its quota and the tolerated overage. */
	Quota: 'quota over all VMs',
	/** In any window, all VMs together grant no more retries than the budget allows. */
	RetryBudget: 'budget of repeats over all VMs',
	/** In any window, all VMs together send an upstream no more than the limit that it states allows, and they use it fully once it has ended. */
	Limit: 'limit of an upstream over all VMs',
	/** An upstream that announced that it is leaving gets no work once all VMs know of it, and none from the VM that received the announcement. */
	Leaving: 'no work for a leaving upstream',
	/** A new configuration is applied by every VM, and none goes back to an earlier one, even if the store did. */
	Configuration: 'configuration in force everywhere',
} as const;

export type LinkProperty = (typeof LinkProperty)[keyof typeof LinkProperty];

/** A violation of a property. */
export type LinkViolation = {
	readonly property: LinkProperty;
	readonly atMs: number;
	readonly detail: string;
};

export type LinkReport = {
	readonly violations: readonly LinkViolation[];
	readonly grants: number;
	readonly refusals: number;
	readonly claims: number;
	readonly messages: number;
	/** Time from the end of the last fault until all VMs were linked, in ms. */
	readonly linkedAfterMs: number;
};

/** One process of a VM. */
type Vm = {
	readonly member: Member;
	readonly clock: ProcessClock;
	readonly state: DeploymentState;
	readonly allocation: SwitchedAllocation;
	readonly coordinator: Coordinator;
	isWatchingStore: boolean;
	/** Term of the last allocator that it followed. */
	term: StoreVersion;
	/** Version of the configuration that it had when it was last checked. */
	version: number;
	isStopping: boolean;
};

/** The simulated deployment. */
export class LinkSimulation {
	/** Runs a plan until `CONVERGENCE_TIMEOUT_MS` after its last fault. */
	static async run(plan: LinkPlan): Promise<LinkReport> {
		const simulation = new LinkSimulation(plan);
		return simulation.#execute();
	}

	readonly #plan: LinkPlan;
	readonly #random: Random;
	readonly #row = new LeaderRow();
	readonly #clock = VirtualClock.create();
	readonly #network: SimulatedNetwork;
	readonly #callers: SimulatedCallers;
	readonly #log = Log.create('silent');
	readonly #vms: Array<Vm | undefined> = [];
	readonly #violations: LinkViolation[] = [];
	readonly #storeUnreachableSince = new Map<string, number>();
	readonly #leaderBootByTerm = new Map<string, string>();
	#bootCount = 0;
	#version = 1;
	/** Version that the store has, which may have gone back. */
	#storedVersion = 1;
	#versionChangedAt = Number.POSITIVE_INFINITY;
	#leavingUpstream: Upstream | undefined;
	#leavingAt = Number.POSITIVE_INFINITY;
	#linkedAt: number | undefined;
	readonly #limitedArrivals: number[] = [];

	private constructor(plan: LinkPlan) {
		this.#plan = plan;
		this.#random = Random.create(plan.seed);
		this.#row.risesEra = plan.defect?.ignoresEra !== true;
		this.#network = SimulatedNetwork.create(this.#clock, this.#random, plan.defect?.messageFilter);
		this.#callers = SimulatedCallers.create({
			clock: this.#clock,
			random: this.#random,
			pick: () => {
				const vm = this.#random.pick(this.#running);
				return vm.clock.isPaused || vm.isStopping ? undefined : {boot: vm.member.boot, clock: vm.clock, allocation: vm.allocation};
			},
			onGrant: (boot, upstreamId) => {
				this.#checkLeavingUpstream(boot, upstreamId);
				if (upstreamId === LIMITED_UPSTREAM) {
					this.#limitedArrivals.push(this.#now);
				}
			},
			onResponse: (boot, upstreamId, sentAt) => {
				this.#stateLimit(boot, upstreamId, sentAt);
			},
		});
	}

	get #now(): number {
		return this.#clock.now();
	}

	get #faultsEndAt(): number {
		return Math.max(0, ...this.#plan.faults.map(({until}) => until));
	}

	async #execute(): Promise<LinkReport> {
		const plan = this.#plan;
		for (let index = 0; index < plan.vms; index += 1) {
			this.#start(index);
		}

		for (const fault of plan.faults) {
			this.#schedule(fault.at, () => {
				beginFault(fault, this.#faultTargets);
			});
			this.#schedule(fault.until, () => {
				endFault(fault, this.#faultTargets);
			});
		}

		// Halfway through the faults, one VM learns that an upstream is leaving, and the store receives a new configuration.
		const middleOfFaults = this.#faultsEndAt / 2;
		this.#schedule(middleOfFaults, () => {
			this.#version = 2;
			this.#storedVersion = 2;
			this.#versionChangedAt = this.#now;
			this.#announceLeaving();
		});
		this.#pollStore();
		this.#callers.start();

		const faultsEndAt = this.#faultsEndAt;
		await this.#clock.advanceAsync(faultsEndAt);
		while (this.#linkedAt === undefined && this.#now < faultsEndAt + LINK_TIMEOUT_MS) {
			await this.#clock.advanceAsync(WATCH_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- time advances step by step
			this.#linkedAt = this.#isLinked ? this.#now : undefined;
		}

		if (this.#linkedAt === undefined) {
			this.#addViolation(LinkProperty.Linked, this.#linkProblems.slice(0, MAX_DETAILS).join('; '));
		}

		await this.#clock.advanceAsync(faultsEndAt + CONVERGENCE_TIMEOUT_MS - this.#now);
		this.#checkConvergence();
		this.#checkSharedLimits();
		this.#checkUpstreamLimit();
		for (const vm of this.#running) {
			vm.coordinator.stop();
		}

		return {
			violations: this.#violations, grants: this.#callers.grants, refusals: this.#callers.refusals, claims: this.#row.claims, messages: this.#network.deliveredCount, linkedAfterMs: (this.#linkedAt ?? Number.POSITIVE_INFINITY) - faultsEndAt,
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

	/** Describes the VMs that are not linked, or whose member list differs from the running VMs. */
	get #linkProblems(): string[] {
		const running = this.#running;
		const boots = new Set(running.map(({member}) => member.boot));
		const problems = running.filter(({coordinator}) => coordinator.role !== Role.Linked).map(({member, coordinator}) => `${member.boot} ${coordinator.role}`);
		for (const {member, state} of running) {
			const known = state.members.map(({boot}) => boot);
			const missing = [...boots].filter(boot => !known.includes(boot));
			const stale = known.filter(boot => !boots.has(boot));
			if (known.length !== boots.size || missing.length > 0) {
				problems.push(`${member.boot} knows ${known.length} of ${boots.size} (missing: ${missing.slice(0, MAX_DETAILS).join(' ')}; stale: ${stale.slice(0, MAX_DETAILS).join(' ')})`);
			}
		}

		return problems;
	}

	#schedule(ms: number, action: () => void): void {
		this.#clock.setTimer(ms - this.#now, action);
	}

	#addViolation(property: LinkProperty, detail: string): void {
		this.#violations.push({property, atMs: Math.round(this.#now), detail});
	}

	#start(index: number): void {
		this.#bootCount += 1;
		const name = `vm-${index}`;
		const clock = ProcessClock.create(this.#clock);
		const state = DeploymentState.create(this.#log);
		const allocator = Allocator.create({
			clock, random: this.#random, nodeId: `${name}-${this.#bootCount}`, repeatBounds: RETRY_BOUNDS, quotaTolerance: QUOTA_TOLERANCE, limits: state.limits,
		});
		const {scope} = this.#plan.defect ?? {};
		if (scope !== undefined) {
			const restart = allocator.restart.bind(allocator);
			allocator.restart = original => {
				restart(scope(original));
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
			name, frontAddress: addressOf(index, 80), linkAddress: addressOf(index, 81), dataCentre: 'a', region: 'r', strength: 1 - (index / 1000), boot: `${name}-${this.#bootCount}`, isReady: true,
		};
		const allocation = SwitchedAllocation.create(clock);
		const vm: Vm = {
			member,
			clock,
			state,
			allocation,
			isWatchingStore: false,
			term: {era: 0, version: 0},
			version: 0,
			isStopping: false,
			coordinator: Coordinator.create({
				clock,
				random: this.#random,
				log: this.#log,
				state,
				allocator,
				allocation,
				register: SimulatedRegister.create({
					row: this.#row, random: this.#random, clock, name, claimsUnconditionally: this.#plan.defect?.claimsUnconditionally === true,
				}),
				network: this.#network.createHostNetwork(name, clock),
				self: member,
				seeds: this.#seeds(index),
				reachesStore: () => this.#appearsToReachStore(name),
				onVersion() {
					// The configuration is small enough to be sent over the links.
				},
				onWatchNeeded(isNeeded) {
					vm.isWatchingStore = isNeeded;
				},
			}),
		};
		this.#vms[index] = vm;
		void vm.coordinator.start();
	}

	/** A VM detects an unreachable store only after a delay, when its watch has timed out. */
	#appearsToReachStore(name: string): boolean {
		if (!this.#row.isUnreachableFor(name)) {
			this.#storeUnreachableSince.delete(name);
			return true;
		}

		const since = this.#storeUnreachableSince.get(name) ?? this.#now;
		this.#storeUnreachableSince.set(name, since);
		return this.#now - since < STORE_LOSS_DETECTION_MS;
	}

	/** Link addresses of two other VMs, as in the settings of each VM. */
	#seeds(index: number): string[] {
		const {vms} = this.#plan;
		return [1, 2].map(step => addressOf((index + step) % vms, 81));
	}

	get #faultTargets(): FaultTargets {
		return {
			vms: this.#plan.vms,
			network: this.#network,
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
			restoreStore: copiedAt => {
				this.#restoreStore(copiedAt);
			},
		};
	}

	/** The operator writes the configuration again some time later if the store lost it. */
	#restoreStore(copiedAt: number): void {
		this.#row.restore(copiedAt, this.#now);
		if (copiedAt < this.#versionChangedAt) {
			this.#storedVersion = 1;
			this.#clock.setTimer(REWRITE_MS, () => {
				this.#storedVersion = this.#version;
			});
		}
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

	/** Delivers store changes to the VMs that watch the store, and checks the terms of all VMs. */
	#pollStore(): void {
		for (const vm of this.#running) {
			if (!vm.clock.isPaused && vm.isWatchingStore && !this.#row.isUnreachableFor(vm.member.name)) {
				vm.coordinator.noteRecord(this.#row.record);
				vm.state.replaceUpstreams(this.#upstreamList);
				vm.state.applyConfiguration(this.#configuration);
			}

			this.#checkTerm(vm);
			this.#checkVersion(vm);
		}

		this.#clock.setTimer(WATCH_INTERVAL_MS, () => {
			this.#pollStore();
		});
	}

	#checkTerm(vm: Vm): void {
		const {coordinator: {leader, role}, member} = vm;
		if (role === Role.Alone || leader === undefined) {
			return;
		}

		const term = termText(leader.term);
		if (isLater(vm.term, leader.term)) {
			this.#addViolation(LinkProperty.MonotonicTerms, `${member.name} followed term ${termText(vm.term)}, then ${term}`);
		}

		vm.term = leader.term;
		if (role === Role.Leading) {
			const firstBoot = this.#leaderBootByTerm.get(term) ?? member.boot;
			this.#leaderBootByTerm.set(term, firstBoot);
			if (firstBoot !== member.boot) {
				this.#addViolation(LinkProperty.OneAllocatorPerTerm, `${firstBoot} and ${member.boot} allocate under term ${term}`);
			}
		}
	}

	#checkVersion(vm: Vm): void {
		const version = vm.state.table?.version ?? 0;
		if (version < vm.version) {
			this.#addViolation(LinkProperty.Configuration, `${vm.member.name} went back from version ${vm.version} to ${version}`);
		}

		vm.version = version;
	}

	get #upstreamList(): Upstream[] {
		return Array.from({length: UPSTREAM_COUNT}, (_, index) => ({
			id: `up-${index}`,
			pool: 'desk',
			address: `10.1.0.${index}:80`,
			dataCentre: `up-${index}` === LIMITED_UPSTREAM ? 'a' : 'b',
			region: 'r',
			slots: SLOTS_PER_UPSTREAM,
			// `up-0` announces its departure to a VM, and the registry never lists it as leaving.
			isLeaving: index > 1 && this.#now >= this.#unlimitedFrom,
			startedAt: 1,
		}));
	}

	get #configuration(): Configuration {
		return {
			version: this.#storedVersion,
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

	#announceLeaving(): void {
		const vm = this.#running.find(({clock, state}) => !clock.isPaused && state.upstreams.get('up-0') !== undefined);
		if (vm === undefined) {
			return;
		}

		this.#leavingUpstream = vm.state.upstreams.get('up-0');
		this.#leavingAt = this.#now;
		vm.state.noteLeaving([this.#leavingUpstream!]);
	}

	/** Checks against the state of the granting VM, as the request path does; the allocator may be out of date until all VMs are linked again. */
	#checkLeavingUpstream(boot: string, upstreamId: string): void {
		const vm = this.#running.find(({member}) => member.boot === boot);
		// A departure is lost if every VM that knew of it ended before it could inform others.
		const isGrantedWhileLeaving = this.#isLeavingKnown && upstreamId === this.#leavingUpstream?.id && vm?.state.upstreams.get(upstreamId)?.isLeaving === false;
		if (isGrantedWhileLeaving && this.#now > Math.max(this.#leavingAt, this.#faultsEndAt) + CONVERGENCE_TIMEOUT_MS - MS_PER_SECOND) {
			this.#addViolation(LinkProperty.Leaving, `${upstreamId} was granted to ${boot} while leaving`);
		}
	}

	get #isLeavingKnown(): boolean {
		return this.#leavingUpstream !== undefined && this.#running.some(({state}) => state.upstreams.get(this.#leavingUpstream!.id)?.isLeaving === true);
	}

	#checkSharedLimits(): void {
		const {quotaExcess, retryBudgetExcess} = this.#callers;
		if (quotaExcess !== undefined) {
			this.#addViolation(LinkProperty.Quota, quotaExcess);
		}

		if (retryBudgetExcess !== undefined) {
			this.#addViolation(LinkProperty.RetryBudget, retryBudgetExcess);
		}
	}

	get #unlimitedFrom(): number {
		return this.#faultsEndAt + CONVERGENCE_TIMEOUT_MS - UNLIMITED_MS;
	}

	/** The times during which the upstream states each limit: from the start of the run until shortly before its end. */
	get #limitSpans(): LimitSpan[] {
		const stepMs = this.#unlimitedFrom / LIMITS_PER_SECOND.length;
		return LIMITS_PER_SECOND.map((_, index) => ({
			perSecond: LIMITS_PER_SECOND[(this.#plan.seed + index) % LIMITS_PER_SECOND.length]!, from: index * stepMs, until: (index + 1) * stepMs,
		}));
	}

	/** Each response of the upstream states its limit, or none. */
	#stateLimit(boot: string, upstreamId: string, sentAt: number): void {
		const vm = this.#running.find(({member}) => member.boot === boot);
		const perSecond = upstreamId === LIMITED_UPSTREAM ? this.#limitSpans.find(({from, until}) => from <= this.#now && this.#now < until)?.perSecond : undefined;
		vm?.state.noteLimit({id: upstreamId, startedAt: 1, perSecond}, sentAt, vm.clock.now());
	}

	#checkUpstreamLimit(): void {
		const excess = findLimitExcess(this.#limitedArrivals, this.#limitSpans, {contactMs: LIMIT_CONTACT_MS});
		if (excess !== undefined) {
			this.#addViolation(LinkProperty.Limit, excess);
		}

		const count = this.#limitedArrivals.filter(at => at >= this.#unlimitedFrom).length;
		if (count < MIN_UNLIMITED_REQUESTS) {
			this.#addViolation(LinkProperty.Limit, `${count} requests in ${UNLIMITED_MS} ms after the limit has ended`);
		}
	}

	/** Checks that every VM has the configuration and knows of the leaving upstream. */
	#checkConvergence(): void {
		for (const {member, state} of this.#running) {
			if (state.table?.version !== this.#version) {
				this.#addViolation(LinkProperty.Configuration, `${member.name} has ${state.table?.version}, not ${this.#version}`);
			}

			if (this.#isLeavingKnown && state.upstreams.get(this.#leavingUpstream!.id)?.isLeaving !== true) {
				this.#addViolation(LinkProperty.Leaving, `${member.name} does not know that ${this.#leavingUpstream!.id} is leaving`);
			}
		}
	}
}

function termText({era, version}: StoreVersion): string {
	return `${era}.${version}`;
}

function addressOf(index: number, port: number): string {
	return `10.0.${Math.floor(index / 256)}.${index % 256}:${port}`;
}
