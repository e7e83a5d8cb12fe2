/**
 * Collects what an operator of one team sees of a node.
 */
import {type Invariants} from '../base/invariant.js';
import {type Upstream} from '../config/deployment.js';
import {type NodeStatus, UpstreamStatus} from '../entry/node-status.js';
import {type UpstreamUse} from '../policy/scheduler.js';
import {CircuitBreakerTable} from '../store/circuit-breaker-table.js';
import {type Table} from '../store/table.js';
import {type NodeCore} from './node-core.js';

/** Where the status is read from. */
export type StatusSources = {
	readonly core: NodeCore;
	readonly team: string;
	readonly invariants: Invariants;
	readonly table: Table;
	readonly node: NodeStatus['node'];
};

/** @returns The node, with pools of the given team only. */
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
	const uses = new Map(dispatcher.scheduler.uses.map(use => [use.upstreamId, use]));
	return upstreams.filter(({id}) => isOf(team, id)).map(upstream => {
		const use = uses.get(upstream.id);
		return {
			id: withoutTeam(upstream.id),
			service: withoutTeam(upstream.pool),
			region: upstream.settings.region,
			state: statusOf(upstream, use),
			slots: use?.slots ?? 0,
			inFlight: use?.inFlight ?? 0,
		};
	});
}

function readTiers({dispatcher}: NodeCore, team: string): NodeStatus['tiers'] {
	const tiers = new Map<string, NodeStatus['tiers'][number]>();
	for (const {pool, tier, ...counts} of dispatcher.tierCounts.all) {
		if (isOf(team, pool)) {
			tiers.set(`${pool} ${tier}`, {
				service: withoutTeam(pool), tier, waiting: 0, ...counts,
			});
		}
	}

	for (const [pool, waitingByTier] of dispatcher.scheduler.waitingByPool) {
		for (const [tier, waiting] of waitingByTier.entries()) {
			const key = `${pool} ${tier}`;
			if (isOf(team, pool) && (waiting > 0 || tiers.has(key))) {
				const none = {
					service: withoutTeam(pool), tier, inTime: 0, late: 0, failed: 0, refused: 0,
				};
				tiers.set(key, {...none, ...tiers.get(key), waiting});
			}
		}
	}

	return [...tiers.values()].sort((a, b) => a.service === b.service ? a.tier - b.tier : (a.service < b.service ? -1 : 1));
}

function statusOf({settings}: Upstream, use: UpstreamUse | undefined): UpstreamStatus {
	if (settings.leaving || use?.isLeaving) {
		return UpstreamStatus.Leaving;
	}

	if (use === undefined) {
		return UpstreamStatus.NotAssigned;
	}

	if (use.isEjected) {
		return UpstreamStatus.Ejected;
	}

	return use.isOnProbation ? UpstreamStatus.Probation : UpstreamStatus.InUse;
}

function isOf(team: string, id: string): boolean {
	return id.startsWith(`${team}/`);
}

function withoutTeam(id: string): string {
	return id.slice(id.indexOf('/') + 1);
}
