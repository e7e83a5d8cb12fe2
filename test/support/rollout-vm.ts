/**
 * A VM that takes part in roll-outs, without a network: the allocator, the roll-outs, and rows of a store in memory.
 */
import Result, {ok} from 'true-myth/result';
import {Allocator} from '../../src/allocation/allocator.js';
import {emptyReport} from '../../src/allocation/allocation.js';
import {globalScope, standaloneScope} from '../../src/allocation/scope.js';
import {Log} from '../../src/base/log.js';
import {Metrics} from '../../src/base/metrics.js';
import {Random} from '../../src/base/random.js';
import {type VirtualClock} from '../../src/base/virtual-clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {UpstreamLimits} from '../../src/gateway/upstream-limits.js';
import {type Upstream} from '../../src/gateway/upstream-list.js';
import {type Leader} from '../../src/link/messages.js';
import {type StoreVersion} from '../../src/link/store-version.js';
import {type RolloutPhase} from '../../src/rollout/rollout-course.js';
import {type ReadOrder, type StoredRollout} from '../../src/rollout/rollout-record.js';
import {type PoolRows, RolloutRegister, type RowVersions} from '../../src/rollout/rollout-register.js';
import {Rollouts} from '../../src/rollout/rollouts.js';
import {type StoreError} from '../../src/store/table.js';
import {createPlaceRequest} from './place-request.js';

const unavailable: StoreError = {failure: 'unavailable', detail: 'no answer'};
const SERVICE_MS = 40;
const VM_COUNT = 8;

/** The rows of one pool in a store, with versions as the store gives them. */
export class MemoryRows extends RolloutRegister {
	era = 1;
	/** Version at which the present leader claimed its term. */
	leader = 1;
	isAway = false;
	stored: StoredRollout | undefined;
	order: ReadOrder | undefined;
	/** Phases written, in order, without checkpoints. */
	readonly phases: RolloutPhase[] = [];
	#version = 10;
	#recordVersion = 0;

	/** Writes an order. */
	putOrder(to: string, periodMs = 12_000): ReadOrder {
		this.#version += 1;
		this.order = {
			pool: 'advice', to, periodMs, orderedAt: {era: this.era, version: this.#version},
		};
		return this.order;
	}

	async read(): Promise<Result<PoolRows, StoreError>> {
		return this.isAway
			? Result.err(unavailable)
			: ok({
				at: {era: this.era, record: this.#recordVersion, status: this.#recordVersion}, stored: this.stored, order: this.order, leader: this.leader,
			});
	}

	async write(stored: StoredRollout, at: RowVersions, term: StoreVersion): Promise<Result<RowVersions | undefined, StoreError>> {
		if (this.isAway) {
			return Result.err(unavailable);
		}

		if (at.era !== this.era || at.record !== this.#recordVersion || term.version !== this.leader) {
			return ok(undefined);
		}

		this.#version += 1;
		this.#recordVersion = this.#version;
		if (this.stored?.phase !== stored.phase || this.stored.to !== stored.to) {
			this.phases.push(stored.phase);
		}

		// Through JSON, as the real rows are.
		this.stored = JSON.parse(JSON.stringify(stored)) as StoredRollout; // eslint-disable-line unicorn/prefer-structured-clone
		return ok({era: this.era, record: this.#version, status: this.#version});
	}
}

/** @returns Upstreams of one version. */
export function createUpstreams(version: string, count: number, changes: Partial<Upstream> = {}): Upstream[] {
	return Array.from({length: count}, (_, index) => ({
		id: `${version}-${index}`, pool: 'advice', address: `10.0.0.${index + 1}:80`, dataCentre: 'a', region: 'r', slots: 4, isLeaving: false, startedAt: Number(version.slice(1)), version, ...changes,
	}));
}

/** How an upstream answers: the ending, and the time that it takes in ms. */
export type Behaviour = (upstreamId: string) => {readonly ending: Ending; readonly ms: number};

export const answers: Behaviour = () => ({ending: Ending.Answered, ms: SERVICE_MS});

/** @returns Upstreams of a version fail every second request. */
export function failsAt(version: string): Behaviour {
	let count = 0;
	return upstreamId => {
		count += 1;
		return {ending: upstreamId.startsWith(version) && count % 2 === 0 ? Ending.UpstreamError : Ending.Answered, ms: SERVICE_MS};
	};
}

/** One VM. */
export class RolloutVm {
	static create(clock: VirtualClock, register: RolloutRegister): RolloutVm {
		return new RolloutVm(clock, register);
	}

	readonly rollouts: Rollouts;
	readonly allocator: Allocator;
	readonly metrics = Metrics.create();
	/** Number of places granted, by version. */
	readonly granted = new Map<string, number>();
	refused = 0;
	readonly #clock: VirtualClock;
	#upstreams: readonly Upstream[] = [];
	#count = 0;

	private constructor(clock: VirtualClock, register: RolloutRegister) {
		this.#clock = clock;
		this.rollouts = Rollouts.create({
			clock, log: Log.create('silent'), metrics: this.metrics, bounds: {exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5000}, register,
			allocator: () => this.allocator,
		});
		this.allocator = Allocator.create({
			clock,
			random: Random.create(1),
			nodeId: 'vm',
			repeatBounds: {ratio: 0.2, slack: 20, windowMs: 10_000},
			quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000},
			limits: UpstreamLimits.create(),
			filters: [this.rollouts.gate],
			observer: this.rollouts.samples,
		});
	}

	get phase(): RolloutPhase | undefined {
		return this.rollouts.message.rollouts[0]?.record?.phase;
	}

	list(...upstreams: readonly Upstream[]): void {
		const ids = new Set(upstreams.map(({id}) => id));
		const removed = this.#upstreams.filter(({id}) => !ids.has(id)).map(({id}) => id);
		this.#upstreams = upstreams;
		this.rollouts.setUpstreams(upstreams);
		this.allocator.setUpstreams({changed: upstreams, removed});
	}

	lead(version: number, others: readonly string[] = [], era = 1): void {
		const leader: Leader = {
			name: 'vm', linkAddress: '10.0.1.1:80', boot: `vm-${version}`, term: {era, version}, vmCount: 1,
		};
		this.rollouts.beginLeading(leader, others);
		this.allocator.restart(globalScope(false));
	}

	beAlone(): void {
		this.rollouts.beginFollowing(false);
		this.allocator.restart(standaloneScope(VM_COUNT));
	}

	/** Asks for places at an even rate, and releases each as the upstream behaves. */
	async run(ms: number, behaviour: Behaviour = answers, perSecond = 100): Promise<void> {
		for (let sent = 0; sent < ms * perSecond / 1000; sent += 1) {
			this.#count += 1;
			const id = `ask-${this.#count}`;
			const route = `route-${this.#count % 2}`;
			this.allocator.ask(createPlaceRequest(id, {route}), {
				grant: upstreamId => {
					const version = upstreamId.split('-', 1)[0]!;
					this.granted.set(version, (this.granted.get(version) ?? 0) + 1);
					const {ending, ms: serviceMs} = behaviour(upstreamId);
					this.#clock.setTimer(serviceMs, () => {
						this.allocator.release(id, ending === Ending.Answered ? {...emptyReport(ending), firstMs: serviceMs} : emptyReport(ending));
					});
				},
				refuse: () => {
					this.refused += 1;
				},
			});
			await this.#clock.advanceAsync(1000 / perSecond); // eslint-disable-line no-await-in-loop -- at intervals
		}
	}

	/** @returns Number of places granted at a version since the last call. */
	takeGranted(version: string): number {
		const count = this.granted.get(version) ?? 0;
		this.granted.delete(version);
		return count;
	}
}
