/**
 * Rules beside room and health that restrict which upstreams a request may use.
 */
import {type PlaceRequest} from './allocation.js';
import {type TrackedUpstream} from './tracked-upstream.js';
import {type Restore} from './unchanged-state.js';

/** Restricts the upstreams that a request may use. */
export abstract class PlacementFilter {
	/** @returns A function that restores the current state for a pool, after an evaluation that must change nothing. */
	snapshot(_pool: string): Restore {
		return () => undefined;
	}

	/** @returns Whether any upstream of the pool may be restricted now; otherwise the filter is not asked further. */
	restricts(_pool: string): boolean {
		return true;
	}

	/** @returns Whether ordinary requests may use the upstream; others are no capacity, and get only the requests that `accepts` selects. */
	isOpen(_target: TrackedUpstream): boolean {
		return true;
	}

	/** @returns Whether a request may wait for the upstream, because it may use it now or is expected to soon. */
	isAwaitable(_target: TrackedUpstream): boolean {
		return true;
	}

	/** @returns Extra cost of the upstream for a request that it accepts, in ms; negative to prefer it. */
	costMs(_ask: PlaceRequest, _target: TrackedUpstream, _now: number): number {
		return 0;
	}

	/** @returns Whether the upstream may run the request now, apart from its room and health. */
	abstract accepts(ask: PlaceRequest, target: TrackedUpstream, now: number): boolean;
}
