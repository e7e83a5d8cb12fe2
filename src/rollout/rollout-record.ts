/**
 * What all VMs know of the roll-out of a pool, and what survives in the store.
 */
import {isLater, type StoreVersion} from '../link/store-version.js';
import {type RolloutOrder, RolloutPhase, type RolloutSnapshot} from './rollout-course.js';

/** The latest roll-out of a pool. */
export type RolloutRecord = {
	readonly pool: string;
	/** Version at which the order was written, which tells it from an equal order that is written later. */
	readonly orderedAt: StoreVersion;
	readonly to: string;
	readonly periodMs: number;
	readonly phase: RolloutPhase;
	readonly reason: string;
	/** Versions that were in force when the roll-out was ordered. */
	readonly base: readonly string[];
	/** Versions that get no work until an order names them. */
	readonly rejected: readonly string[];
	/** Time since the order was read, in ms. */
	readonly ageMs: number;
};

/** A record with the state from which a successor continues. */
export type StoredRollout = RolloutRecord & {readonly snapshot?: RolloutSnapshot};

/** An order as read from the store. */
export type ReadOrder = RolloutOrder & {readonly orderedAt: StoreVersion};

/** What a VM tells another about the versions of a pool. */
export type PoolVersions = {
	readonly pool: string;
	/** Versions that need no order to be used. */
	readonly known: readonly string[];
	readonly record?: RolloutRecord;
};

/** What a VM tells others of all pools; `revision` rises with each change under one leader. */
export type RolloutsMessage = {readonly kind: 'rollouts'; readonly revision: number; readonly rollouts: readonly PoolVersions[]};

const phaseOrder: readonly RolloutPhase[] = [RolloutPhase.Canary, RolloutPhase.Switching, RolloutPhase.Completed, RolloutPhase.RolledBack];

/** Whether the phase is final. */
export function isFinal(phase: RolloutPhase): boolean {
	return phase === RolloutPhase.Completed || phase === RolloutPhase.RolledBack;
}

/** Whether one record tells more than another of the same pool: a later order, or a later phase of the same order. */
export function isLaterRecord(one: RolloutRecord, other: RolloutRecord | undefined): boolean {
	if (other === undefined || isLater(one.orderedAt, other.orderedAt)) {
		return true;
	}

	return !isLater(other.orderedAt, one.orderedAt) && phaseOrder.indexOf(one.phase) > phaseOrder.indexOf(other.phase);
}

/** Whether the order has not been taken up yet. */
export function isPending(order: ReadOrder | undefined, record: RolloutRecord | undefined): order is ReadOrder {
	return order !== undefined && (record === undefined || isLater(order.orderedAt, record.orderedAt));
}

/** Whether the order has not been taken up yet and asks for something else than the roll-out of the record does. */
export function changesVersions(order: ReadOrder | undefined, record: RolloutRecord | undefined): order is ReadOrder {
	return isPending(order, record) && (record?.to !== order.to || record.phase === RolloutPhase.RolledBack);
}

/** @returns The versions that a new order for `to` replaces. */
export function baseVersions(known: ReadonlySet<string>, record: RolloutRecord | undefined, to: string): readonly string[] {
	const rejected = rejectedBefore(record, to);
	return [...known].filter(version => version !== to && !rejected.includes(version));
}

/** @returns The versions that get no work after the roll-out of the record, once another order names `to`. */
export function rejectedBefore(record: RolloutRecord | undefined, to: string): readonly string[] {
	if (record === undefined) {
		return [];
	}

	const {phase, base, rejected} = record;
	const ended = phase === RolloutPhase.Completed ? base : [record.to];
	return [...new Set([...rejected, ...ended])].filter(version => version !== to && (phase !== RolloutPhase.Completed || version !== record.to));
}
