/**
 * Rules beside room and health that restrict which upstreams a request may use.
 */
import {type PlaceRequest} from './allocation.js';
import {type TrackedUpstream} from './tracked-upstream.js';

/** Restricts the upstreams that a request may use. */
export abstract class PlacementFilter {
	/** @returns Whether the upstream may run the request now, apart from its room and health. */
	abstract accepts(ask: PlaceRequest, target: TrackedUpstream, now: number): boolean;
}
