/**
 * Which versions of a pool's upstreams are in force, from the latest order, what became of it, and the versions known before.
 */
import {RolloutPhase} from './rollout-course.js';
import {
	baseVersions, changesVersions, type ReadOrder, rejectedBefore, type RolloutRecord,
} from './rollout-record.js';

/** What requests the upstreams of a version get. */
export const VersionRule = {
	/** All. */
	Open: 'open',
	/** Only those that are chosen for the canary. */
	Canary: 'canary',
	/** None, until an order is known or has been waited for. */
	Held: 'held',
	/** None. */
	Closed: 'closed',
} as const;

export type VersionRule = typeof VersionRule[keyof typeof VersionRule];

/** Text that stands for the version of upstreams that state none. */
export const NO_VERSION = '';

/** What the rules of one pool depend on. */
export type PoolFacts = {
	/** Versions of the upstreams that do not leave, each with the earliest start of one of its upstreams. */
	readonly listed: ReadonlyMap<string, number>;
	/** Versions that need no order. */
	readonly known: ReadonlySet<string>;
	readonly record: RolloutRecord | undefined;
	readonly order: ReadOrder | undefined;
};

/** @returns The rule for each listed version. */
export function versionRules(facts: PoolFacts): Map<string, VersionRule> {
	const {listed} = facts;
	const rules = new Map([...listed.keys()].map(version => [version, ruleOf(version, facts)]));
	if (hasNoBase(facts)) {
		openAll(rules, VersionRule.Canary);
	}

	// Requests are not refused for a version that nobody ordered, if there is no other.
	openAll(rules, VersionRule.Held);
	return rules;
}

/** Opens the versions with a rule, if none is open yet. */
function openAll(rules: Map<string, VersionRule>, closed: VersionRule): void {
	if (![...rules.values()].includes(VersionRule.Open)) {
		for (const [version, rule] of rules) {
			if (rule === closed) {
				rules.set(version, VersionRule.Open);
			}
		}
	}
}

/** @returns The version that was listed first, of those that no order is known to have brought: at a first start, the one in force. */
export function earliestVersion({listed, record, order}: PoolFacts): string | undefined {
	const brought = new Set([record?.to, order?.to, ...record?.rejected ?? []]);
	const others = [...listed].filter(([version]) => !brought.has(version));
	return others.toSorted(([a, startedA], [b, startedB]) => startedA - startedB || (a < b ? -1 : 1))[0]?.[0];
}

function ruleOf(version: string, {known, record, order}: PoolFacts): VersionRule {
	const unordered = known.has(version) ? VersionRule.Open : VersionRule.Held;
	if (changesVersions(order, record)) {
		if (version === order.to) {
			return VersionRule.Canary;
		}

		return rejectedBefore(record, order.to).includes(version) ? VersionRule.Closed : unordered;
	}

	if (record === undefined) {
		return unordered;
	}

	const isTarget = version === record.to;
	const isRejected = record.rejected.includes(version);
	switch (record.phase) {
		case RolloutPhase.Canary: {
			return isTarget ? VersionRule.Canary : (isRejected ? VersionRule.Closed : unordered);
		}

		case RolloutPhase.Switching: {
			return isTarget ? VersionRule.Open : VersionRule.Closed;
		}

		case RolloutPhase.Completed: {
			return isTarget ? VersionRule.Open : (isRejected || record.base.includes(version) ? VersionRule.Closed : VersionRule.Held);
		}

		case RolloutPhase.RolledBack: {
			return isTarget || isRejected ? VersionRule.Closed : unordered;
		}
	}
}

/** Whether nothing else could serve the pool when the roll-out was ordered. */
function hasNoBase({known, record, order}: PoolFacts): boolean {
	return changesVersions(order, record) ? baseVersions(known, record, order.to).length === 0 : record?.base.length === 0;
}
