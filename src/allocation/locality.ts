/**
 * What it costs a request to leave its data centre.
 */
import {type Upstream} from '../gateway/upstream-list.js';
import {type PlaceRequest} from './allocation.js';
import {type Restore} from './unchanged-state.js';

/** Extra cost of an upstream in another region, in ms: 8 ms of latency each way, and traffic there is billed by volume. */
const OTHER_REGION_COST_MS = 24;
/** Extra cost of an upstream in another data centre of the region, in ms. */
const OTHER_DATA_CENTRE_COST_MS = 2;

/** Decides what leaving the data centre costs. */
export abstract class Locality {
	/** @returns A function that restores the current state, after an evaluation that must change nothing. */
	snapshot(): Restore {
		return () => undefined;
	}

	/** @returns Extra cost of sending the request to the upstream, in ms. */
	abstract costMs(ask: PlaceRequest, upstream: Upstream, now: number): number;
}

/** The same cost for each request, whatever the load. */
export class FixedLocality extends Locality {
	static create(): FixedLocality {
		return new FixedLocality();
	}

	costMs({region, dataCentre}: PlaceRequest, upstream: Upstream): number {
		if (upstream.region !== region) {
			return OTHER_REGION_COST_MS;
		}

		return upstream.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_COST_MS;
	}
}

/** @returns What a request leaves if it is sent to the upstream; `undefined` if it stays in its data centre. */
export function leftArea({region, dataCentre}: PlaceRequest, upstream: Upstream): 'region' | 'data-centre' | undefined {
	if (upstream.region !== region) {
		return 'region';
	}

	return upstream.dataCentre === dataCentre ? undefined : 'data-centre';
}
