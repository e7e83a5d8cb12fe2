/**
 * The roll-outs of all pools, as one VM takes part in them. The leader carries them out: it starts a course for each order,
 * tells the VMs of each phase, and writes it to the store. The other VMs only keep what they are told, by which they decide
 * when they are alone or lead next.
 */
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Metrics} from '../base/metrics.js';
import {type Upstream} from '../gateway/upstream-list.js';
import {type Leader} from '../link/messages.js';
import {InformedVms} from './informed-vms.js';
import {PoolKnowledge, type KnownPool} from './pool-knowledge.js';
import {type RolloutAllocator} from './pool-places.js';
import {PoolRollout} from './pool-rollout.js';
import {type RolloutBounds} from './rollout-bounds.js';
import {
	type PoolVersions, type ReadOrder, type RolloutRecord, type RolloutsMessage, type StoredRollout,
} from './rollout-record.js';
import {type PoolRows, type RolloutRegister} from './rollout-register.js';
import {RolloutSamples} from './rollout-samples.js';
import {type PoolGate, VersionGate} from './version-gate.js';
import {VersionRule} from './version-rules.js';

/** Interval at which courses are advanced and writes are tried, in ms. */
const TICK_MS = 100;
/** Time between two attempts to read whether an order names a version that waits for one, in ms; each calls the store. */
const CONFIRM_RETRY_MS = 1000;

/** Dependencies of the roll-outs. */
export type RolloutsOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly bounds: RolloutBounds;
	readonly register: RolloutRegister;
	/** Called when it is needed first, since it uses the gate. */
	readonly allocator: () => RolloutAllocator;
};

/** Takes part in the roll-outs for one VM. */
export class Rollouts {
	static create(options: RolloutsOptions): Rollouts {
		return new Rollouts(options);
	}

	readonly gate: VersionGate;
	readonly samples: RolloutSamples;
	readonly informed = InformedVms.create();
	/** Called when the other VMs have to be told of a change. */
	onPublish: ((message: RolloutsMessage) => void) | undefined;
	readonly #options: RolloutsOptions;
	readonly #gates = new Map<string, PoolGate>();
	readonly #knowledge: PoolKnowledge;
	/** The pools that this VM carries out orders for, while it leads. */
	readonly #rollouts = new Map<string, PoolRollout>();
	#leader: Leader | undefined;
	/** Whether another VM decides. */
	#isLinked = false;
	#revision = 0;
	#timer: Timer | undefined;
	#isConfirming = false;
	#confirmAt = Number.NEGATIVE_INFINITY;

	private constructor(options: RolloutsOptions) {
		this.#options = options;
		this.gate = VersionGate.create(this.#gates);
		this.samples = RolloutSamples.create(pool => this.#rollouts.get(pool)?.sampled, options.metrics);
		this.#knowledge = PoolKnowledge.create(options.clock, pool => {
			this.#updateGate(pool);
		});
	}

	/** The state as this VM knows it. */
	get message(): RolloutsMessage {
		return {
			kind: 'rollouts',
			revision: this.#revision,
			rollouts: this.#knowledge.all.map(pool => ({
				pool: pool.name, known: [...pool.known], ...(pool.record === undefined ? {} : {record: {...pool.record, ageMs: this.#knowledge.ageMs(pool)}}),
			})),
		};
	}

	/** Takes the complete list of upstreams, before the allocator does. */
	setUpstreams(upstreams: readonly Upstream[]): void {
		const before = this.#knowledge.knownCount;
		this.#knowledge.setUpstreams(upstreams);
		this.#publishIf(this.#knowledge.knownCount > before);
		this.#schedule();
	}

	/**
	 * Takes orders from the store.
	 *
	 * @param isWhole - Whether these are all orders.
	 */
	setOrders(orders: readonly ReadOrder[], isWhole: boolean, era: number): void {
		this.#knowledge.setOrders(orders, isWhole, era);
		this.#step();
	}

	/** Takes what the store records. The leader reads it by itself where it needs it. */
	setRecords(stored: readonly StoredRollout[]): void {
		for (const {snapshot: _, ...record} of stored) {
			this.#mergeRecord(record);
		}
	}

	/** Takes what another VM knows. */
	merge(rollouts: readonly PoolVersions[]): void {
		const changes = rollouts.map(versions => this.#knowledge.merge(versions));
		for (const {pool} of rollouts) {
			this.#rollouts.get(pool)?.noteMerged();
		}

		this.#publishIf(changes.includes(true));
		this.#step();
	}

	/** This VM decides for all from now on. */
	beginLeading(leader: Leader, otherNames: readonly string[]): void {
		this.#leave();
		this.#leader = leader;
		this.#isLinked = false;
		this.informed.reset(otherNames, this.#options.clock.now());
		this.#step();
	}

	/** This VM goes on leading under a later term, as the store has gone back to an earlier state. */
	renew(leader: Leader): void {
		this.#leader = leader;
		for (const rollout of this.#rollouts.values()) {
			rollout.noteStoreChanged();
		}

		this.#step();
	}

	/** This VM does not lead. @param isLinked - Whether another VM decides for it. */
	beginFollowing(isLinked: boolean): void {
		this.#leave();
		this.#isLinked = isLinked;
		this.#schedule();
	}

	stop(): void {
		this.#leave();
		this.#timer?.cancel();
		this.#isLinked = true;
	}

	#leave(): void {
		this.#leader = undefined;
		this.#rollouts.clear();
		this.samples.clear();
		for (const pool of this.#knowledge.all) {
			this.#updateGate(pool);
		}
	}

	#mergeRecord(record: RolloutRecord): void {
		if (this.#knowledge.merge({pool: record.pool, known: record.base, record})) {
			this.#rollouts.get(record.pool)?.noteMerged();
			this.#publish();
		}

		this.#schedule();
	}

	/** Does what is due, and again after a while if anything remains. */
	#step(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		this.#schedule();
		if (this.#leader !== undefined) {
			for (const pool of this.#knowledge.all) {
				this.#rolloutOf(pool)?.step();
			}
		}

		this.#confirmHeld();
	}

	#schedule(): void {
		if (this.#timer === undefined && !this.#isLinked && this.#hasWork()) {
			this.#timer = this.#options.clock.setTimer(TICK_MS, () => {
				this.#timer = undefined;
				this.#step();
			});
		}
	}

	#hasWork(): boolean {
		return this.#knowledge.all.some(pool => pool.heldSince.size > 0 || (this.#leader !== undefined && (this.#rolloutOf(pool)?.hasWork ?? false)));
	}

	/** @returns The part of the pool's roll-out that the leader has; `undefined` if nothing was ordered. */
	#rolloutOf(pool: KnownPool): PoolRollout | undefined {
		const {clock, log, bounds, register, allocator} = this.#options;
		let rollout = this.#rollouts.get(pool.name);
		if (rollout === undefined && (pool.order !== undefined || pool.record !== undefined)) {
			rollout = PoolRollout.create({
				clock,
				log,
				bounds,
				register,
				pool,
				knowledge: this.#knowledge,
				allocator,
				term: () => this.#leader?.term,
				areAllInformed: () => this.informed.areInformed(this.#revision, clock.now()),
				onRows: rows => {
					this.#noteRows(pool, rows);
				},
				onChange: () => {
					this.#publish();
				},
			});
			this.#rollouts.set(pool.name, rollout);
		}

		return rollout;
	}

	/** Asks the store whether an order names a version that has waited for one, and otherwise lets it be used. */
	#confirmHeld(): void {
		const {clock, log} = this.#options;
		const overdue = this.#knowledge.all.filter(pool => this.#knowledge.hasOverdue(pool));
		if (overdue.length > 0 && !this.#isLinked && !this.#isConfirming && clock.now() >= this.#confirmAt) {
			this.#isConfirming = true;
			this.#confirmAt = clock.now() + CONFIRM_RETRY_MS;
			runInBackground(log, 'reading orders', async () => {
				try {
					for (const pool of overdue) {
						await this.#confirm(pool); // eslint-disable-line no-await-in-loop -- calls are sequential
					}
				} finally {
					this.#isConfirming = false;
				}
			});
		}
	}

	async #confirm(pool: KnownPool): Promise<void> {
		const {register, log} = this.#options;
		const read = await register.read(pool.name);
		if (read.isErr || this.#isLinked) {
			return;
		}

		this.#noteRows(pool, read.value);
		const released = this.#knowledge.releaseHeld(pool);
		if (released.length > 0) {
			log.info('Version without an order in use.', {pool: pool.name, versions: released.join(',')});
			this.#publish();
		}
	}

	#noteRows(pool: KnownPool, {order, stored, at}: PoolRows): void {
		if (stored !== undefined) {
			const {snapshot: _, ...record} = stored;
			this.#mergeRecord(record);
		}

		if (order !== undefined && order.orderedAt.version !== pool.order?.orderedAt.version) {
			this.#knowledge.setOrders([order], false, at.era);
		}
	}

	#updateGate(pool: KnownPool): void {
		const {rules, record, name} = pool;
		if (record !== undefined) {
			this.#options.metrics.setRollout(name, record.phase);
		}

		// Without a restricted version, the pool needs no gate.
		if ([...rules.values()].every(rule => rule === VersionRule.Open)) {
			this.#gates.delete(name);
		} else {
			this.#gates.set(name, {rules, canary: this.#rollouts.get(name)?.canary});
		}
	}

	#publishIf(isChanged: boolean): void {
		if (isChanged) {
			this.#publish();
		}
	}

	/** Tells the VMs that are linked to this one, if it leads. */
	#publish(): void {
		if (this.#leader !== undefined) {
			this.#revision += 1;
			this.onPublish?.(this.message);
		}
	}
}
