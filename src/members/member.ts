/**
 * Member types: the members of a deployment as seen by one node.
 */

/** Status of a member as seen by one node. */
export const MemberStatus = {
	Alive: 'alive',
	/** No recent heartbeats: it may be slow, partitioned or dead. It keeps its assignments but gets no new callers. */
	Suspect: 'suspect',
	/** Planned stop in progress. */
	Leaving: 'leaving',
	/** Planned stop completed. */
	Left: 'left',
	Dead: 'dead',
} as const;

export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** Identity, addresses and location that a node publishes about itself. */
export type MemberSelf = {
	/** ID of the VM; it stays the same when the process restarts. */
	readonly id: string;
	/** Random ID of the process. */
	readonly process: string;
	/** `host:port` of the peer service. */
	readonly address: string;
	/** `host:port` for callers. */
	readonly entryAddress: string;
	readonly region: string;
	readonly dataCentre: string;
};

/** A member with its current status and load. */
export type MemberView = MemberSelf & {
	readonly incarnation: number;
	readonly status: MemberStatus;
	/** Last known load in percent of its capacity. */
	readonly load: number;
};
