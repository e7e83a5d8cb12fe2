/**
 * Course of the roll-out of one pool: canary, switch to the new version, completion or roll-back.
 */
import {type RolloutBounds} from './rollout-bounds.js';

/** An order to move the traffic of a pool to another version. */
export type RolloutOrder = {
	readonly pool: string;
	readonly to: string;
	/** Time within which the roll-out has to end. */
	readonly periodMs: number;
};

/** Phases of a roll-out; the last two are final. */
export const RolloutPhase = {
	/** Few requests go to the candidate version. */
	Canary: 'canary',
	/** New requests go to the candidate only, while those at the base version finish. */
	Switching: 'switching',
	Completed: 'completed',
	RolledBack: 'rolled-back',
} as const;

export type RolloutPhase = typeof RolloutPhase[keyof typeof RolloutPhase];

/** What became of one request at an upstream of the pool. */
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

/** State of the pool that the course depends on. */
export type RolloutProgress = {
	readonly candidateUpstreams: number;
	readonly baseUpstreams: number;
	/** Places still held at base upstreams. */
	readonly heldAtBase: number;
	/** Whether every VM that can still send knows the present phase. */
	readonly allVmsInformed: boolean;
};

/** Number of judged requests, and how many of them were bad. */
export type RolloutCounts = readonly [total: number, bad: number];

/** State that a successor continues from; plain data that can be written as JSON. */
export type RolloutSnapshot = {
	readonly phase: RolloutPhase;
	readonly reason: string;
	/** Time since the order was read. */
	readonly ageMs: number;
	/** Time since the switch; 0 before it. */
	readonly switchedMs: number;
	/** Counts of each test, by its name, for the candidate and for the base. */
	readonly tests: Readonly<Record<string, {readonly candidate: RolloutCounts; readonly base: RolloutCounts}>>;
};

/** Figures for log lines and metrics. */
export type RolloutEvidence = {
	readonly requests: number;
	readonly candidateRequests: number;
	readonly candidateAnswers: number;
	readonly candidateBad: number;
	readonly baseAnswers: number;
	readonly baseBad: number;
	/** Names of the tests that have not yet shown that the candidate is good. */
	readonly open: readonly string[];
};

/** What a course is created from. */
export type RolloutCourseOptions = {
	readonly order: RolloutOrder;
	readonly bounds: RolloutBounds;
	readonly now: number;
	/** State from the store or from another leader; the course then gets no slack. */
	readonly snapshot?: RolloutSnapshot;
};

/** Decides how far one roll-out has come. */
export class RolloutCourse {
	static create(options: RolloutCourseOptions): RolloutCourse {
		return new RolloutCourse(options);
	}

	readonly #options: RolloutCourseOptions;

	private constructor(options: RolloutCourseOptions) {
		this.#options = options;
	}

	get phase(): RolloutPhase {
		return this.#options.snapshot?.phase ?? RolloutPhase.Canary;
	}

	/** Why the phase was entered. */
	get reason(): string {
		return this.#options.snapshot?.reason ?? '';
	}

	get evidence(): RolloutEvidence {
		return {
			requests: 0, candidateRequests: 0, candidateAnswers: 0, candidateBad: 0, baseAnswers: 0, baseBad: 0, open: [],
		};
	}

	/**
	 * Whether a canary request is to be placed at the busiest candidate upstream that has room, rather than at the
	 * cheapest. The candidate has to be seen at high occupancy before it takes over.
	 */
	prefersBusy(_now: number): boolean {
		return false;
	}

	/** @returns Whether a new request, first attempt, of the route goes to the candidate; otherwise it goes to the base. */
	wantsCanary(_route: string, _now: number): boolean {
		return this.phase === RolloutPhase.Switching || this.phase === RolloutPhase.Completed;
	}

	/** Counts a granted request of the pool, whichever version it went to. */
	noteGranted(_isCandidate: boolean, _route: string, _now: number): void {}

	/** @returns Whether the phase changed. */
	note(_sample: RolloutSample, _now: number): boolean {
		return false;
	}

	/**
	 * To be called about every 100 ms and when the progress changed.
	 *
	 * @returns Whether the phase changed.
	 */
	advance(_progress: RolloutProgress, _now: number): boolean {
		return false;
	}

	snapshot(now: number): RolloutSnapshot {
		return {
			phase: this.phase, reason: this.reason, ageMs: now - this.#options.now, switchedMs: 0, tests: {},
		};
	}
}
