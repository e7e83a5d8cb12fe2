/**
 * Determines from the applied versions of all nodes in which regions a version is in force. Performs no I/O.
 */
import {type AppliedReport} from './peers.js';

/** Activation state of a version in one region. */
export type RegionReport = {
	readonly region: string;
	/** Whether the region has known nodes and all of them have applied the version or a newer one. */
	readonly inForce: boolean;
	readonly nodes: number;
	readonly nodesInForce: number;
};

/**
 * @param team - The subtree.
 * @param version - The accepted version.
 * @param reports - The latest reports of all nodes, including this node.
 * @param regions - Regions that have a freshness row; in a region without known nodes, the version does not count as active.
 */
export function buildRegionReports(team: string, version: number, reports: readonly AppliedReport[], regions: Iterable<string>): RegionReport[] {
	const nodes = new Map<string, Map<string, boolean>>([...regions].map(region => [region, new Map()]));
	for (const {nodeId, region, head} of reports) {
		const activeByNode = nodes.get(region) ?? new Map<string, boolean>();
		nodes.set(region, activeByNode);
		activeByNode.set(nodeId, activeByNode.get(nodeId) === true || (head.team === team && head.version >= version));
	}

	return [...nodes].sort(([a], [b]) => a < b ? -1 : 1).map(([region, activeByNode]) => {
		const nodesInForce = [...activeByNode.values()].filter(Boolean).length;
		return {
			region, inForce: activeByNode.size > 0 && nodesInForce === activeByNode.size, nodes: activeByNode.size, nodesInForce,
		};
	});
}
