/**
 * A request for a place at an upstream, as VMs send it to the allocator. It carries durations, as the clocks of VMs
 * differ, and no part of the request's body.
 */
import {type ErrorKind} from '../base/errors.js';
import {type Ending} from '../gateway/exchange-ending.js';
import {type Operation} from '../gateway/routing-table.js';

/** One attempt that wants a place. Durations in ms from the moment it was sent. */
export type PlaceRequest = {
	/** Unique over all VMs and their restarts. */
	readonly id: string;
	/** ID of the caller's request, for logs. */
	readonly requestId: string;
	readonly pool: string;
	readonly customer: string | undefined;
	/** Rank of the customer, where it has one, then of the route; 0 is the most important. */
	readonly rank: number;
	readonly operation: Operation;
	/** Tokens of the prompt; 0 for plain services. */
	readonly promptTokens: number;
	/** Expected events of the answer; 0 for plain services. */
	readonly outputEvents: number;
	/** What the request counts against its customer's quota. */
	readonly quotaCost: number;
	/** The quota has paid for an earlier grant of the same request, which was given back before a byte was sent. */
	readonly isCharged: boolean;
	/** Until the response-time objective is missed; negative when it is. */
	readonly objectiveMs: number;
	/** Until the answer has no value. */
	readonly remainingMs: number;
	/** Until the caller leaves unless its answer has begun. */
	readonly patienceMs: number;
	/** Until the caller leaves, as it told itself: attempts of one request name the same moment. */
	readonly callerLeavesMs: number;
	/** Longest pause between events that is on time; 0 for plain services. */
	readonly maxPauseMs: number;
	readonly dataCentre: string;
	readonly region: string;
	/** 1 for the first upstream that the request is sent to. */
	readonly attempt: number;
	/** IDs of upstreams that have failed it. */
	readonly excluded: readonly string[];
	/** Identifies path, customer and body. */
	readonly fingerprint: string;
};

/** @returns The ask as it stands some time later: every duration in it has run down. */
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
	/** From sending the request to the first byte or event, where one arrived. */
	readonly firstMs: number | undefined;
	/** From the first byte or event to the last. */
	readonly streamMs: number;
	/** Events of a stream; 0 for plain services. */
	readonly events: number;
	/** Requests that run and wait at the upstream, where it told. */
	readonly load: number | undefined;
};

/** @returns The report of a place through which no answer came. */
export function emptyReport(ending: Ending): PlaceReport {
	return {
		ending, firstMs: undefined, streamMs: 0, events: 0, load: undefined,
	};
}

/** A place that is held by a VM, for an allocator that takes over. */
export type HeldPlace = {
	/** As it stood when the place was granted. */
	readonly ask: PlaceRequest;
	readonly upstreamId: string;
	/** How long it has been held. */
	readonly heldMs: number;
	readonly hasFirst: boolean;
};

/** What an allocator decides about an ask: exactly one of them, once. */
export type PlaceRequestEvents = {
	/**
	 * Send the request to the upstream now.
	 *
	 * @param expectedFirstMs - Expected time from sending to the first event or the answer.
	 */
	grant(upstreamId: string, expectedFirstMs: number): void;
	/** Answer the request as not run. */
	refuse(kind: ErrorKind, retryAfterMs: number): void;
};

/** Decides who gets a place where and when. */
export abstract class Allocation {
	/** Asks for a place; one of the events follows, later or at once. */
	abstract ask(ask: PlaceRequest, events: PlaceRequestEvents): void;

	/** Withdraws an ask that was not granted; no event follows. */
	abstract withdraw(id: string): void;

	/** The first byte or event of the answer arrived, `firstMs` after the request was sent. */
	abstract noteFirst(id: string, firstMs: number): void;

	/** The place is free again. */
	abstract release(id: string, report: PlaceReport): void;
}
