/**
 * Status of a node as shown to operators, and the operations that they can perform on it.
 */
import {type RegionReport} from '../config/region-report.js';

/** State of an upstream on one node. */
export const UpstreamStatus = {
	InUse: 'in-use',
	/** Failed or stalled; receives no requests for a limited time. */
	Ejected: 'ejected',
	/** Recently returned from ejection; receives few requests at first. */
	Probation: 'probation',
	Leaving: 'leaving',
	/** Used by other nodes, but not by this one. */
	NotAssigned: 'not-assigned',
} as const;

export type UpstreamStatus = (typeof UpstreamStatus)[keyof typeof UpstreamStatus];

/** Status of a node as shown to the operators of one team. Durations are in ms; counts start with the process. */
export type NodeStatus = {
	readonly team: string;
	readonly node: {readonly id: string; readonly region: string; readonly dataCentre: string; readonly isReady: boolean; readonly isDraining: boolean};
	readonly members: ReadonlyArray<{
		readonly id: string; readonly region: string; readonly dataCentre: string; readonly state: string; readonly incarnation: number;
		/** Last reported load, in percent of the member's capacity. */
		readonly load: number;
	}>;
	/** Upstreams of the team. */
	readonly upstreams: ReadonlyArray<{
		readonly id: string; readonly service: string; readonly region: string; readonly state: UpstreamStatus; readonly slots: number; readonly inFlight: number;
	}>;
	/** Tiers of the team's services; tier 0 has the highest priority. */
	readonly tiers: ReadonlyArray<{
		readonly service: string; readonly tier: number; readonly waiting: number;
		/** Completed requests whose first response chunk arrived before the deadline. */
		readonly inTime: number;
		readonly late: number; readonly failed: number; readonly refused: number;
	}>;
	readonly settings: {
		readonly source: string; readonly mayBeOld: boolean; readonly version: number; readonly regions: readonly RegionReport[];
	};
	readonly store: {
		/** Whether the settings were read recently and calls to the store are not suspended. */
		readonly isAnswering: boolean;
		/** Time since the settings were last read; absent if they never were. */
		readonly readAgeMs?: number;
	};
	/** Invariant checks of the whole process. */
	readonly promises: ReadonlyArray<{readonly promise: string; readonly evaluated: number; readonly violated: number}>;
};

/** Operations on the node that the operators' routes expose. */
export type NodeOperations = {
	readonly status: (team: string) => NodeStatus;
	/** Starts a graceful shutdown; idempotent. */
	readonly requestDrain: () => {readonly id: string; readonly inFlight: number};
};
