import {type PlaceRequest} from '../../src/allocation/allocation.js';
import {Operation} from '../../src/gateway/routing-table.js';

/** @returns A request for a place at a plain service, with deadlines that any place meets; `changes` overrides the defaults. */
export function createPlaceRequest(id: string, changes: Partial<PlaceRequest> = {}): PlaceRequest {
	return {
		id,
		requestId: id,
		pool: 'advice',
		customer: undefined,
		rank: 0,
		operation: Operation.Safe,
		promptTokens: 0,
		outputEvents: 0,
		quotaCost: 0,
		isCharged: false,
		isCounted: false,
		isContinuation: false,
		objectiveMs: 1000,
		remainingMs: 5000,
		callerLeavesMs: 5000,
		patienceMs: 5000,
		maxPauseMs: 0,
		dataCentre: 'a',
		region: 'r',
		attempt: 1,
		excluded: [],
		fingerprint: id,
		features: [changes.fingerprint ?? id],
		...changes,
	};
}
