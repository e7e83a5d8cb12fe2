/**
 * Work that waits in a queue of a pool.
 */
import {type Lane} from './lane.js';
import {type Work} from './scheduler.js';

/** Work in a queue. */
export type Waiting = {
	readonly work: Work;
	readonly lane: Lane;
	readonly cost: number;
	readonly isSuspect: boolean;
	/** Later starts cannot meet the deadline even on the fastest upstream. */
	readonly latestStart: number;
	/** No upstream suited it lately; it is not compared again before this time. */
	heldUntil: number;
};
