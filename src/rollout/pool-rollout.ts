/**
 * The leader's part in the roll-out of one pool: takes up orders, advances the course, and has each phase told and written.
 */
import {type Clock} from '../base/clock.js';
import {type Log, type LogFields} from '../base/log.js';
import {type StoreVersion} from '../link/store-version.js';
import {type KnownPool, type PoolKnowledge} from './pool-knowledge.js';
import {PoolPlaces, type RolloutAllocator} from './pool-places.js';
import {RecordWriter} from './record-writer.js';
import {type RolloutBounds} from './rollout-bounds.js';
import {RolloutCourse, RolloutPhase, type RolloutSnapshot} from './rollout-course.js';
import {
	baseVersions, isFinal, isPending, type ReadOrder, rejectedBefore, type RolloutRecord, type StoredRollout,
} from './rollout-record.js';
import {type PoolRows, type RolloutRegister} from './rollout-register.js';
import {type SampledCourse} from './rollout-samples.js';
import {type Canary} from './version-gate.js';
import {VersionRule} from './version-rules.js';

/** Interval at which the evidence and the exposure are written, in ms; what a successor does not know is at most what the canary gets in this time. */
const CHECKPOINT_MS = 2000;
/** Age of the last write at which the canary gets nothing more, in ms, since a successor would not know of it. */
const MAX_UNSAVED_MS = 5000;

/** Dependencies and callbacks of a pool's roll-out. */
export type PoolRolloutOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly bounds: RolloutBounds;
	readonly register: RolloutRegister;
	readonly pool: KnownPool;
	readonly knowledge: PoolKnowledge;
	readonly allocator: () => RolloutAllocator;
	/** Term under which this VM leads. */
	readonly term: () => StoreVersion | undefined;
	/** Whether every VM that can still send acts on the present state. */
	readonly areAllInformed: () => boolean;
	readonly onRows: (rows: PoolRows) => void;
	/** The record changed. */
	readonly onChange: () => void;
};

/** Carries out the orders for one pool. */
export class PoolRollout {
	static create(options: PoolRolloutOptions): PoolRollout {
		return new PoolRollout(options);
	}

	readonly #options: PoolRolloutOptions;
	readonly #writer: RecordWriter;
	#course: RolloutCourse | undefined;
	/** The version that the course tries. */
	#courseTo = '';
	/** State that a predecessor wrote. */
	#snapshot: RolloutSnapshot | undefined;
	readonly #places: PoolPlaces;

	private constructor(options: PoolRolloutOptions) {
		this.#options = options;
		const {clock, log, register, pool, term, onRows, allocator} = options;
		this.#places = PoolPlaces.create(pool, allocator);
		this.#writer = RecordWriter.create({
			clock, log, register, pool: pool.name, term, onRows: rows => {
				this.#snapshot = rows.stored?.snapshot;
				onRows(rows);
			},
		});
	}

	/** Whether anything is left to be done. */
	get hasWork(): boolean {
		const {pool: {order, record}} = this.#options;
		return isPending(order, record) || (record !== undefined && (!isFinal(record.phase) || !this.#writer.isWritten(record)));
	}

	/** The course, for the places of the pool. */
	get sampled(): SampledCourse | undefined {
		const {record} = this.#options.pool;
		const course = this.#course;
		return course === undefined || record === undefined
			? undefined
			: {
				course, to: record.to, onVerdict: () => {
					this.#notePhase(course);
				},
			};
	}

	/** The canary, while there is one. */
	get canary(): Canary | undefined {
		const {clock, pool: {record}} = this.#options;
		const course = this.#course;
		if (course === undefined || record?.phase !== RolloutPhase.Canary) {
			return undefined;
		}

		return {
			course,
			upstreamIds: this.#places.canaryIds(record.to),
			isAllowed: () => this.#places.decidesForAll && this.#writer.isWritten(record) && clock.now() - this.#writer.writtenAt <= MAX_UNSAVED_MS,
		};
	}

	/** The record may have been replaced by a later one. */
	noteMerged(): void {
		const {record} = this.#options.pool;
		if (this.#course !== undefined && (record?.phase !== this.#course.phase || record.to !== this.#courseTo)) {
			this.#course = undefined;
		}
	}

	/** The store has gone back to an earlier state, or lost what was written. */
	noteStoreChanged(): void {
		this.#writer.reset();
	}

	/** Does what is due. */
	step(): void {
		const {pool, clock} = this.#options;
		if (!this.hasWork) {
			return;
		}

		if (!this.#writer.hasRead) {
			// What another leader wrote comes first.
			this.#writer.step(undefined);
			this.#advance();
			return;
		}

		if (isPending(pool.order, pool.record)) {
			this.#takeUp(pool.order);
		}

		this.#advance();
		const {record} = pool;
		if (record !== undefined && (!this.#writer.isWritten(record) || (!isFinal(record.phase) && clock.now() - this.#writer.writtenAt >= CHECKPOINT_MS))) {
			this.#writer.step(this.#toStored(record));
		}
	}

	#toStored(record: RolloutRecord): StoredRollout {
		const {clock, knowledge, pool} = this.#options;
		return {...record, ageMs: Math.round(knowledge.ageMs(pool)), ...(this.#course === undefined ? {} : {snapshot: this.#course.snapshot(clock.now())})};
	}

	#takeUp(order: ReadOrder): void {
		const {pool, log, knowledge, clock} = this.#options;
		const {record} = pool;
		if (record?.to === order.to && !isFinal(record.phase)) {
			log.info('Order repeated; the roll-out goes on.', {pool: pool.name, to: order.to, phase: record.phase});
			this.#setRecord({...record, orderedAt: order.orderedAt}, knowledge.ageMs(pool));
			return;
		}

		const rejected = rejectedBefore(record, order.to);
		const base = baseVersions(pool.known, record, order.to);
		if (record !== undefined && !isFinal(record.phase)) {
			log.warn('Roll-out superseded by another order.', {
				pool: pool.name, to: record.to, next: order.to, phase: record.phase,
			});
		}

		this.#course = undefined;
		this.#snapshot = undefined;
		const isInForce = base.length === 0 && pool.rules.get(order.to) === VersionRule.Open;
		const next: RolloutRecord = {
			...order, phase: isInForce ? RolloutPhase.Switching : RolloutPhase.Canary, reason: isInForce ? 'in force already' : '', base, rejected, ageMs: 0,
		};
		log.info(isInForce ? 'Roll-out ordered for the version in force.' : 'Roll-out started.', {
			pool: pool.name, to: order.to, base: base.join(','), periodMs: order.periodMs,
		});
		// The period began when the order was read, also if the rows could not be read until now.
		this.#setRecord(next, clock.now() - pool.orderAt);
	}

	#advance(): void {
		const {pool, clock, log, bounds, knowledge, areAllInformed} = this.#options;
		const {record} = pool;
		if (record === undefined || isFinal(record.phase) || isPending(pool.order, record)) {
			return;
		}

		if (record.base.length === 0) {
			this.#advanceWithoutBase(record);

			return;
		}

		if (this.#course === undefined) {
			if (!this.#writer.hasRead) {
				return;
			}

			// No request went to the candidate of a roll-out that the store does not have.
			const isContinued = this.#writer.hasRollout(record);
			const ageMs = Math.max(knowledge.ageMs(pool), isContinued ? this.#snapshot?.ageMs ?? 0 : 0);
			this.#course = RolloutCourse.create({
				order: record,
				bounds,
				now: isContinued ? clock.now() : clock.now() - ageMs,
				...(isContinued
					? {
						snapshot: {
							switchedMs: 0, tests: {}, ...this.#snapshot, phase: record.phase, reason: record.reason, ageMs,
						},
					}
					: {}),
			});
			this.#courseTo = record.to;
			if (isContinued) {
				log.info('Roll-out continued.', {
					pool: pool.name, to: record.to, phase: record.phase, ageMs: Math.round(ageMs),
				});
			}
		}

		const course = this.#course;
		// The gate is set anew, since the candidates may have changed.
		knowledge.update(pool);
		const isChanged = course.advance({...this.#places.countUpstreams(record.to), heldAtBase: this.#places.heldElsewhere(record.to), allVmsInformed: areAllInformed()}, clock.now());
		if (isChanged) {
			this.#notePhase(course);
		}
	}

	/** Nothing is to be compared: others than the version only have to finish what they run. */
	#advanceWithoutBase(record: RolloutRecord): void {
		const {pool, knowledge, areAllInformed} = this.#options;
		const ageMs = knowledge.ageMs(pool);
		if (pool.listed.has(record.to) && this.#places.heldElsewhere(record.to) === 0 && areAllInformed()) {
			this.#setRecord({...record, phase: RolloutPhase.Completed}, ageMs);
			this.#logPhase(record.reason);
		} else if (ageMs > record.periodMs && !pool.listed.has(record.to)) {
			const reason = 'no upstream of the version';
			this.#setRecord({
				...record, phase: RolloutPhase.RolledBack, reason, rejected: [...record.rejected, record.to],
			}, ageMs);
			this.#logPhase(reason);
		}
	}

	#notePhase(course: RolloutCourse): void {
		const {pool, knowledge} = this.#options;
		const {record} = pool;
		if (record === undefined || course !== this.#course || course.phase === record.phase) {
			return;
		}

		const {phase, reason} = course;
		const rejected = phase === RolloutPhase.RolledBack ? [...new Set([...record.rejected, record.to])] : record.rejected;
		const next: RolloutRecord = {
			...record, phase, reason, rejected,
		};
		this.#setRecord(next, knowledge.ageMs(pool));
		this.#logPhase(reason);
		if (isFinal(phase)) {
			this.#writer.step(this.#toStored(next));
			this.#course = undefined;
		}
	}

	#setRecord(record: RolloutRecord, ageMs: number): void {
		const {knowledge, pool, onChange} = this.#options;
		knowledge.setRecord(pool, {...record, ageMs});
		onChange();
	}

	#logPhase(reason: string): void {
		const {pool: {record, name}, log, knowledge, pool} = this.#options;
		if (record === undefined) {
			return;
		}

		const evidence = this.#course?.evidence;
		const fields: LogFields = {
			pool: name, to: record.to, reason, afterMs: Math.round(knowledge.ageMs(pool)), ...evidence, open: evidence?.open.join(','),
		};
		if (record.phase === RolloutPhase.Switching) {
			log.info('New requests go to the new version only.', fields);
		} else if (record.phase === RolloutPhase.Completed) {
			log.info('Roll-out completed.', fields);
		} else {
			log.warn('Roll-out rolled back.', fields);
		}
	}
}
