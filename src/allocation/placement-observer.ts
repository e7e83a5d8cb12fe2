/**
 * Follows what an allocator grants, and how the places are used.
 */
import {type PlaceReport, type PlaceRequest} from './allocation.js';
import {type TrackedUpstream} from './tracked-upstream.js';

/** How a place was used, against what was expected of an upstream of average pace. */
export type PlaceUse = {
	readonly askId: string;
	readonly report: PlaceReport;
	/** Expected time to the first event or the answer, in ms. */
	readonly expectedFirstMs: number;
	/** Expected time between two events, in ms. */
	readonly expectedEventMs: number;
};

/** Follows grants and their ends. */
export abstract class PlacementObserver {
	/** @param target - The upstream, before it holds the place. */
	abstract noteGrant(ask: PlaceRequest, target: TrackedUpstream, now: number): void;

	abstract noteRelease(use: PlaceUse, now: number): void;
}
