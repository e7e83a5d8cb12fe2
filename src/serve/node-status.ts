/**
 * Collects the node status that is shown to the operators of one team.
 */
import {type Invariants} from '../base/invariant.js';
import {type Upstream} from '../config/deployment.js';
import {type NodeStatus, UpstreamStatus} from '../entry/node-status.js';
import {type UpstreamUse} from '../policy/scheduler.js';
import {CircuitBreakerTable} from '../store/circuit-breaker-table.js';
import {type Table} from '../store/table.js';
import {type NodeCore} from './node-core.js';

/** Sources of the status. */
export type StatusSources = {
	readonly core: NodeCore;
	readonly team: string;
	readonly invariants: Invariants;
	readonly table: Table;
	readonly node: NodeStatus['node'];
};

/** @returns The status of the node, restricted to upstreams and tiers of the given team. */
export function readNodeStatus({core, team, invariants, table, node}: StatusSources): NodeStatus {
	const {sync, service} = core.config;
	const {source, mayBeOld, readAgeMs} = sync.status;
	const version = sync.subtrees.get(team)?.head.version ?? 0;
	return {
		team,
		node,
		members: core.members.all.map(({id, region, dataCentre, status, incarnation, load}) => ({
			id, region, dataCentre, state: status, incarnation, load,
		})),
		upstreams: readUpstreams(core, team),
		tiers: readTiers(core, team),
		settings: {
			source, mayBeOld, version, regions: service.regionReports(team, version),
		},
		store: {isAnswering: !mayBeOld && !(table instanceof CircuitBreakerTable && table.isOpen), ...(readAgeMs !== undefined && {readAgeMs})},
		promises: [...invariants.counts].map(([promise, {evaluated, violated}]) => ({promise, evaluated, violated})),
	};
}

function readUpstreams({upstreams, dispatcher}: NodeCore, team: string): NodeStatus['upstreams'] {
	const usageById = new Map(dispatcher.scheduler.uses.map(use => [use.upstreamId, use]));
	return upstreams.filter(({id}) => belongsToTeam(team, id)).map(upstream => {
		const usage = usageById.get(upstream.id);
		return {
			id: stripTeam(upstream.id),
			service: stripTeam(upstream.pool),
			region: upstream.settings.region,
			state: statusOf(upstream, usage),
			slots: usage?.slots ?? 0,
			inFlight: usage?.inFlight ?? 0,
		};
	});
}

function readTiers({dispatcher}: NodeCore, team: string): NodeStatus['tiers'] {
	const tiers = new Map<string, NodeStatus['tiers'][number]>();
	for (const {pool, tier, ...counts} of dispatcher.tierCounts.all) {
		if (belongsToTeam(team, pool)) {
			tiers.set(`${pool} ${tier}`, {
				service: stripTeam(pool), tier, waiting: 0, ...counts,
			});
		}
	}

	for (const [pool, waitingByTier] of dispatcher.scheduler.waitingByPool) {
		for (const [tier, waiting] of waitingByTier.entries()) {
			const key = `${pool} ${tier}`;
			if (belongsToTeam(team, pool) && (waiting > 0 || tiers.has(key))) {
				const emptyCounts = {
					service: stripTeam(pool), tier, inTime: 0, late: 0, failed: 0, refused: 0,
				};
				tiers.set(key, {...emptyCounts, ...tiers.get(key), waiting});
			}
		}
	}

	return [...tiers.values()].sort((a, b) => a.service === b.service ? a.tier - b.tier : (a.service < b.service ? -1 : 1));
}

function statusOf({settings}: Upstream, usage: UpstreamUse | undefined): UpstreamStatus {
	if (settings.leaving || usage?.isLeaving) {
		return UpstreamStatus.Leaving;
	}

	if (usage === undefined) {
		return UpstreamStatus.NotAssigned;
	}

	if (usage.isEjected) {
		return UpstreamStatus.Ejected;
	}

	return usage.isOnProbation ? UpstreamStatus.Probation : UpstreamStatus.InUse;
}

function belongsToTeam(team: string, id: string): boolean {
	return id.startsWith(`${team}/`);
}

function stripTeam(id: string): string {
	return id.slice(id.indexOf('/') + 1);
}
