/**
 * Waiting work and its scheduling state.
 */
import {type Lane} from './lane.js';
import {type Work} from './scheduler.js';

/** Work in a queue of a pool. */
export type WaitingWork = {
	readonly work: Work;
	readonly lane: Lane;
	readonly cost: number;
	readonly isSuspect: boolean;
	/** Latest start time at which the fastest upstream can still meet the deadline. */
	readonly latestStart: number;
	/** Time before which the work is not considered again, because no suitable upstream was found. */
	heldUntil: number;
};
