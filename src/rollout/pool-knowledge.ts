/**
 * What a VM knows of the versions of each pool: what is listed, ordered, recorded, and known from before. Any VM has it, so
 * that one that leads next, or decides alone, goes on by the same rules.
 */
import {type Clock} from '../base/clock.js';
import {type Upstream} from '../gateway/upstream-list.js';
import {RolloutPhase} from './rollout-course.js';
import {
	changesVersions, isLaterRecord, isPending, type PoolVersions, type ReadOrder, type RolloutRecord,
} from './rollout-record.js';
import {
	earliestVersion, NO_VERSION, VersionRule, versionRules,
} from './version-rules.js';

/** How long a version that nobody ordered waits for its order, in ms; an order may be written some time after the entries. */
export const ORDER_WAIT_MS = 2000;

/** What is known of one pool. */
export type KnownPool = {
	readonly name: string;
	/** Versions of the upstreams that do not leave, each with the earliest start of one of its upstreams. */
	listed: Map<string, number>;
	readonly known: Set<string>;
	/** Since when versions have been held, in ms. */
	readonly heldSince: Map<string, number>;
	record: RolloutRecord | undefined;
	/** When the record's age was told, in ms. */
	recordAt: number;
	order: ReadOrder | undefined;
	/** When the order was read first, in ms. */
	orderAt: number;
	/** Whether the order was in the first list of the present era, so that it may be one that was carried out before. */
	isOrderRestored: boolean;
	rules: Map<string, VersionRule>;
};

/** Knowledge of all pools. */
export class PoolKnowledge {
	/** @param onRules - Called when the rules of a pool may have changed. */
	static create(clock: Clock, onRules: (pool: KnownPool) => void): PoolKnowledge {
		return new PoolKnowledge(clock, onRules);
	}

	readonly #clock: Clock;
	readonly #onRules: (pool: KnownPool) => void;
	readonly #pools = new Map<string, KnownPool>();
	/** Era of the store in which all orders were read last. */
	#listedEra: number | undefined;

	private constructor(clock: Clock, onRules: (pool: KnownPool) => void) {
		this.#clock = clock;
		this.#onRules = onRules;
	}

	get all(): readonly KnownPool[] {
		return [...this.#pools.values()];
	}

	/** Number of versions that need no order, in all pools. */
	get knownCount(): number {
		return this.all.reduce((sum, {known}) => sum + known.size, 0);
	}

	get(name: string): KnownPool {
		let pool = this.#pools.get(name);
		if (pool === undefined) {
			pool = {
				name, listed: new Map(), known: new Set(), heldSince: new Map(), record: undefined, recordAt: 0, order: undefined, orderAt: 0, isOrderRestored: false, rules: new Map(),
			};
			this.#pools.set(name, pool);
		}

		return pool;
	}

	/** Takes the complete list of upstreams. */
	setUpstreams(upstreams: readonly Upstream[]): void {
		const listedByPool = new Map<string, Map<string, number>>();
		for (const {pool, isLeaving, startedAt, version = NO_VERSION} of upstreams) {
			if (!isLeaving) {
				const listed = listedByPool.get(pool) ?? new Map<string, number>();
				listedByPool.set(pool, listed);
				listed.set(version, Math.min(startedAt, listed.get(version) ?? Number.POSITIVE_INFINITY));
			}
		}

		for (const name of new Set([...this.#pools.keys(), ...listedByPool.keys()])) {
			const pool = this.get(name);
			pool.listed = listedByPool.get(name) ?? new Map<string, number>();
			this.update(pool);
		}
	}

	/**
	 * Takes orders from the store.
	 *
	 * @param isWhole - Whether these are all orders.
	 */
	setOrders(orders: readonly ReadOrder[], isWhole: boolean, era: number): void {
		const isRestored = this.#listedEra !== era;
		this.#listedEra = isWhole ? era : this.#listedEra;
		for (const order of orders) {
			const pool = this.get(order.pool);
			if (order.orderedAt.version !== pool.order?.orderedAt.version || order.orderedAt.era !== pool.order.orderedAt.era) {
				pool.order = order;
				pool.orderAt = this.#clock.now();
				pool.isOrderRestored = isRestored;
			}

			this.#adoptRestoredOrder(pool);
			this.update(pool);
		}
	}

	/** Takes what another VM or the store knows, where it is later. @returns Whether anything changed. */
	merge({pool: name, known, record}: PoolVersions): boolean {
		const pool = this.get(name);
		const knownBefore = pool.known.size;
		for (const version of known) {
			pool.known.add(version);
		}

		const isLaterOne = record !== undefined && isLaterRecord(record, pool.record);
		if (isLaterOne) {
			this.setRecord(pool, record);
		} else {
			this.update(pool);
		}

		return isLaterOne || pool.known.size > knownBefore;
	}

	setRecord(pool: KnownPool, record: RolloutRecord): void {
		pool.record = record;
		pool.recordAt = this.#clock.now();
		for (const version of record.base) {
			pool.known.add(version);
		}

		this.#adoptRestoredOrder(pool);
		this.update(pool);
	}

	/** @returns The age of the recorded roll-out now, in ms. */
	ageMs(pool: KnownPool): number {
		return (pool.record?.ageMs ?? 0) + this.#clock.now() - pool.recordAt;
	}

	/** Lets versions be used that have waited long enough, as no order is known to name them. @returns These versions. */
	releaseHeld(pool: KnownPool): string[] {
		const now = this.#clock.now();
		const released = [...pool.heldSince].filter(([, since]) => now - since >= ORDER_WAIT_MS).map(([version]) => version);
		for (const version of released) {
			pool.known.add(version);
		}

		this.update(pool);
		return released;
	}

	/** Whether a version of the pool has waited for its order long enough. */
	hasOverdue(pool: KnownPool): boolean {
		const now = this.#clock.now();
		return [...pool.heldSince.values()].some(since => now - since >= ORDER_WAIT_MS);
	}

	/** Applies the facts to the rules. */
	update(pool: KnownPool): void {
		if (pool.known.size === 0) {
			const first = earliestVersion(pool);
			if (first !== undefined) {
				pool.known.add(first);
			}
		}

		pool.rules = versionRules(pool);
		// A completed roll-out needs another order; waiting for one changes nothing.
		const isCompleted = pool.record?.phase === RolloutPhase.Completed && !changesVersions(pool.order, pool.record);
		for (const [version, rule] of pool.rules) {
			if (rule === VersionRule.Open) {
				pool.known.add(version);
			}

			if (rule !== VersionRule.Held || isCompleted) {
				pool.heldSince.delete(version);
			} else if (!pool.heldSince.has(version)) {
				pool.heldSince.set(version, this.#clock.now());
			}
		}

		for (const version of pool.heldSince.keys()) {
			if (!pool.rules.has(version)) {
				pool.heldSince.delete(version);
			}
		}

		this.#onRules(pool);
	}

	/** An order that a store from an older copy lists was carried out before, if it names a version that it named then. */
	#adoptRestoredOrder(pool: KnownPool): void {
		const {order, record, isOrderRestored} = pool;
		if (isOrderRestored && isPending(order, record) && record !== undefined && order.orderedAt.era > record.orderedAt.era
			&& [record.to, ...record.base, ...record.rejected].includes(order.to)) {
			pool.record = {...record, orderedAt: order.orderedAt};
		}
	}
}
