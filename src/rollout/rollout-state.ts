/**
 * Orders, phases and state of roll-outs.
 */
import {type TestCounts} from './rollout-sample.js';

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

/** State of the pool that the course depends on. */
export type RolloutProgress = {
	readonly candidateUpstreams: number;
	readonly baseUpstreams: number;
	/** Places still held at base upstreams. */
	readonly heldAtBase: number;
	/** Whether every VM that can still send knows the present phase. */
	readonly allVmsInformed: boolean;
};

/** State that a successor continues from; plain data that can be written as JSON. */
export type RolloutSnapshot = {
	readonly phase: RolloutPhase;
	readonly reason: string;
	/** Time since the order was read. */
	readonly ageMs: number;
	/** Time since the switch; 0 before it. */
	readonly switchedMs: number;
	readonly tests: TestCounts;
};

/** Figures for log lines and metrics. */
export type RolloutEvidence = {
	readonly requests: number;
	readonly candidateRequests: number;
	readonly candidateAnswers: number;
	readonly candidateBad: number;
	readonly baseAnswers: number;
	readonly baseBad: number;
	/** Names of the tests that had not shown at the last `advance` that the candidate is good. */
	readonly open: readonly string[];
};
