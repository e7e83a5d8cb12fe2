/**
 * What operators see of a node and may do with it.
 */
import {type RegionReport} from '../config/region-report.js';

/** State of an upstream on one node. */
export const UpstreamStatus = {
	InUse: 'in-use',
	/** Failed or stalled; gets no work for a while. */
	Ejected: 'ejected',
	/** Returned from an ejection and gets little work at first. */
	Probation: 'probation',
	Leaving: 'leaving',
	/** Other nodes use it. */
	NotAssigned: 'not-assigned',
} as const;

export type UpstreamStatus = (typeof UpstreamStatus)[keyof typeof UpstreamStatus];

/** A node as an operator of one team sees it. Durations in ms; counts since the start of the process. */
export type NodeStatus = {
	readonly team: string;
	readonly node: {readonly id: string; readonly region: string; readonly dataCentre: string; readonly isReady: boolean; readonly isDraining: boolean};
	readonly members: ReadonlyArray<{
		readonly id: string; readonly region: string; readonly dataCentre: string; readonly state: string; readonly incarnation: number;
		/** Percent of the member's capacity, as last heard. */
		readonly load: number;
	}>;
	/** Of the team only. */
	readonly upstreams: ReadonlyArray<{
		readonly id: string; readonly service: string; readonly region: string; readonly state: UpstreamStatus; readonly slots: number; readonly inFlight: number;
	}>;
	/** Of the team only; tier 0 is the most important. */
	readonly tiers: ReadonlyArray<{
		readonly service: string; readonly tier: number; readonly waiting: number;
		/** Whole answers whose first part arrived before the deadline. */
		readonly inTime: number;
		readonly late: number; readonly failed: number; readonly refused: number;
	}>;
	readonly settings: {
		readonly source: string; readonly mayBeOld: boolean; readonly version: number; readonly regions: readonly RegionReport[];
	};
	readonly store: {
		/** The settings were read recently and calls are sent. */
		readonly isAnswering: boolean;
		/** Since the settings were last read; absent where they never were. */
		readonly readAgeMs?: number;
	};
	/** Of the whole process. */
	readonly promises: ReadonlyArray<{readonly promise: string; readonly evaluated: number; readonly violated: number}>;
};

/** What the node offers to its operators' routes. */
export type NodeOperations = {
	readonly status: (team: string) => NodeStatus;
	/** Starts the planned stop; asking again changes nothing. */
	readonly requestDrain: () => {readonly id: string; readonly inFlight: number};
};
