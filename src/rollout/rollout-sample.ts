/**
 * What became of one request at an upstream of a pool with a roll-out.
 */

/** Outcome of one request. */
export type RolloutSample = {
	readonly isCandidate: boolean;
	readonly upstreamId: string;
	readonly route: string;
	readonly isFailure: boolean;
	/** Ratio of the time to the first event or answer to that expected at an upstream of average pace, if one came. */
	readonly slowness: number | undefined;
	/** Ratio of the mean pause between events to that expected at an upstream of average pace, if there was one. */
	readonly pauseSlowness: number | undefined;
	/** Occupancy of the upstream when the request was granted: 0 when idle, 1 when full, above 1 with a queue. */
	readonly load: number;
	readonly sentAt: number;
};

/** What an answer showed. */
export type JudgedSample = {
	/** Whether it was slow in comparison with those of the base version. */
	readonly isSlow: boolean;
	/** Whether it led to a verdict on the candidate. */
	readonly hasVerdict: boolean;
};

/** Number of judged requests, and how many of them were bad. */
export type RolloutCounts = readonly [total: number, bad: number];

/** Counts of each test, by its name, for the candidate and for the base. */
export type TestCounts = Readonly<Record<string, {readonly candidate: RolloutCounts; readonly base: RolloutCounts}>>;
