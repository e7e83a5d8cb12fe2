/**
 * The interface between a VM and the allocator. A place is permission to have one request in flight at an upstream. A VM
 * asks for a place before it sends a request, and releases it when the exchange has ended.
 */
import {type ErrorKind} from '../base/errors.js';
import {type Ending} from '../gateway/exchange-ending.js';
import {type Operation} from '../gateway/routing-table.js';
import {type StatedPace} from './momentary-pace.js';

/**
 * A request for a place, made for one attempt to serve a caller's request; the link protocol calls it `ask`. It carries
 * durations in ms, counted from when it was sent, because the clocks of VMs differ, and no part of the request's body.
 */
export type PlaceRequest = {
	/** Unique across all VMs and their restarts. */
	readonly id: string;
	/** ID of the caller's request, for logs. */
	readonly requestId: string;
	readonly pool: string;
	/** Name of the route, for statistics. */
	readonly route?: string;
	readonly customer: string | undefined;
	/** Priority rank: the customer's, if it has one, combined with the route's; 0 is the most important. */
	readonly rank: number;
	readonly operation: Operation;
	/** Prompt length in tokens; 0 for plain services. */
	readonly promptTokens: number;
	/** Expected number of events in the answer's stream; 0 for plain services. */
	readonly outputEvents: number;
	/** Maximum number of output tokens, as stated by the caller; `undefined` for plain services. */
	readonly maxOutputTokens?: number;
	/** Units that the request consumes from its customer's quota. */
	readonly quotaCost: number;
	/** The quota was already charged for this request: an earlier place was released before a byte was sent. */
	readonly isCharged: boolean;
	/** An allocator was already asked for this attempt, and counted the request towards the retry budget. */
	readonly isCounted: boolean;
	/** The upstream is to go on behind an event of another one. */
	readonly isContinuation: boolean;
	/** Time left until the response-time objective is missed; negative once it has been missed. */
	readonly objectiveMs: number;
	/** Time left until the request's deadline, after which the answer is useless. */
	readonly remainingMs: number;
	/** Time left until the caller disconnects unless its answer begins or, if it had begun, goes on. */
	readonly patienceMs: number;
	/** Time left until the caller disconnects, as stated by the caller: all attempts of one request state the same moment. */
	readonly callerLeavesMs: number;
	/** Longest acceptable gap between two events of the stream; 0 for plain services. */
	readonly maxPauseMs: number;
	readonly dataCentre: string;
	readonly region: string;
	/** Number of this attempt; 1 for the first upstream that the request is sent to. */
	readonly attempt: number;
	/** IDs of upstreams that must not get the request, such as those where it failed. */
	readonly excluded: readonly string[];
	/** Identifies the combination of path, customer and body. */
	readonly fingerprint: string;
	/** What other requests can share with it that may crash an upstream: its fingerprint and the parts of its prompt; see `policy/features`. */
	readonly features: readonly string[];
};

/** @returns The request with every duration reduced by the elapsed time. */
export function agePlaceRequest(ask: PlaceRequest, elapsedMs: number): PlaceRequest {
	return {
		...ask,
		objectiveMs: ask.objectiveMs - elapsedMs,
		remainingMs: ask.remainingMs - elapsedMs,
		patienceMs: ask.patienceMs - elapsedMs,
		callerLeavesMs: ask.callerLeavesMs - elapsedMs,
	};
}

/** How a granted place was used. */
export type PlaceReport = {
	readonly ending: Ending;
	/** Time from sending the request to the first byte or event, if one arrived. */
	readonly firstMs: number | undefined;
	/** Time from the first byte or event to the last. */
	readonly streamMs: number;
	/** Number of events in the stream; 0 for plain services. */
	readonly events: number;
	/** Requests running and queued at the upstream, if it reported them. */
	readonly load: number | undefined;
	/** The pace that the upstream stated in the head of its answer, if it did. */
	readonly pace?: StatedPace;
};

/** @returns The report for a place whose exchange produced no answer. */
export function emptyReport(ending: Ending): PlaceReport {
	return {
		ending, firstMs: undefined, streamMs: 0, events: 0, load: undefined,
	};
}

/** A place that a VM holds, as reported to an allocator that takes over. */
export type HeldPlace = {
	/** The request with the durations left when the place was granted. */
	readonly ask: PlaceRequest;
	readonly upstreamId: string;
	/** How long the place has been held. */
	readonly heldMs: number;
	readonly hasFirst: boolean;
};

/** Callbacks for the allocator's decision on a place request; exactly one of them is called, once. */
export type PlaceRequestEvents = {
	/**
	 * The place was granted; the request must be sent to the upstream now.
	 *
	 * @param expectedFirstMs - Expected time from sending to the first event or the answer.
	 */
	grant(upstreamId: string, expectedFirstMs: number): void;
	/** The place was refused; the request must be answered as not run. */
	refuse(kind: ErrorKind, retryAfterMs: number): void;
};

/** Decides which request gets a place, at which upstream, and when. */
export abstract class Allocation {
	/** Whether it records what the endings of this process's exchanges show about crashes. */
	get recordsCrashes(): boolean {
		return true;
	}

	/** Requests a place; one of the events follows, possibly before this method returns. */
	abstract ask(ask: PlaceRequest, events: PlaceRequestEvents): void;

	/** Cancels a request that has not been decided; no event follows. */
	abstract withdraw(id: string): void;

	/**
	 * Records that the first byte or event of the answer arrived `firstMs` after the request was sent.
	 *
	 * @param stated - The pace that the upstream stated in the head of the answer, if it did.
	 */
	abstract noteFirst(id: string, firstMs: number, stated?: StatedPace): void;

	/** Releases a place and reports how it was used. */
	abstract release(id: string, report: PlaceReport): void;
}
