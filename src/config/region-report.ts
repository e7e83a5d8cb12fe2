/**
 * Judges from the applied versions of all nodes in which regions a version is in force. Performs no I/O.
 */
import {type AppliedReport} from './peers.js';

/** Where a version is in force. */
export type RegionReport = {
	readonly region: string;
	/** Whether every node known in the region has the version or a higher one. */
	readonly inForce: boolean;
	readonly nodes: number;
	readonly nodesInForce: number;
};

/**
 * @param team - The subtree.
 * @param version - The accepted version.
 * @param reports - The newest reports of all nodes, this node's own included.
 * @param regions - Regions that have a freshness row; one without known nodes is not in force.
 */
export function regionReports(team: string, version: number, reports: readonly AppliedReport[], regions: Iterable<string>): RegionReport[] {
	const nodes = new Map<string, Map<string, boolean>>([...regions].map(region => [region, new Map()]));
	for (const {nodeId, region, head} of reports) {
		const known = nodes.get(region) ?? new Map<string, boolean>();
		nodes.set(region, known);
		known.set(nodeId, known.get(nodeId) === true || (head.team === team && head.version >= version));
	}

	return [...nodes].sort(([a], [b]) => a < b ? -1 : 1).map(([region, known]) => {
		const nodesInForce = [...known.values()].filter(Boolean).length;
		return {
			region, inForce: known.size > 0 && nodesInForce === known.size, nodes: known.size, nodesInForce,
		};
	});
}
