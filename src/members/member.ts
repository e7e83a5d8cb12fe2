/**
 * The members of a deployment as one node sees them.
 */

/** What one node knows about another. */
export const MemberStatus = {
	Alive: 'alive',
	/** Silent; it may be slow, cut off or dead. It keeps its assignments but gets no new callers. */
	Suspect: 'suspect',
	/** In a planned stop. */
	Leaving: 'leaving',
	/** Ended its planned stop. */
	Left: 'left',
	Dead: 'dead',
} as const;

export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

/** What a node tells about itself. */
export type MemberSelf = {
	/** Identity of the VM; a restarted process keeps it. */
	readonly id: string;
	/** Random identity of the process. */
	readonly process: string;
	/** `host:port` of the peer service. */
	readonly address: string;
	/** `host:port` for callers. */
	readonly entryAddress: string;
	readonly region: string;
	readonly dataCentre: string;
};

/** A member as the other parts see it. */
export type MemberView = MemberSelf & {
	readonly incarnation: number;
	readonly status: MemberStatus;
	/** Load in percent of its capacity, as last heard. */
	readonly load: number;
};
