/**
 * Records the requests and answers of all callers and checks the promises that can be verified from them.
 */
import {PromiseId} from '../src/base/invariant.js';
import {Ran, type SchedulerError} from '../src/base/errors.js';
import {expectedParts, partCount} from './fake-upstream.js';

/** Kinds of requests that callers send. */
export const RequestKind = {
	/** A non-idempotent engine request without an idempotency key. */
	Note: 'note',
	/** A non-idempotent engine request with an idempotency key. */
	KeyedNote: 'keyed-note',
	/** A non-idempotent request to the plain service, always with an idempotency key. */
	Booking: 'booking',
	/** An idempotent request to the plain service. */
	Lookup: 'lookup',
	/** An engine request that crashes each upstream that executes it. */
	Poison: 'poison',
} as const;

export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** @returns Whether requests of this kind are sent to the plain service; all others are sent to the engines. */
export function isPlainRequest(kind: RequestKind): boolean {
	return kind === RequestKind.Booking || kind === RequestKind.Lookup;
}

/** One request of a caller, with all its attempts. */
export type CallerRequest = {
	readonly kind: RequestKind;
	/** Unique, so that executions at the upstreams can be matched to the request. */
	readonly body: string;
	/** Priority tier; 0 is the highest. */
	readonly tier: number;
	attempts: number;
	pendingAttempts: number;
	isAnswered: boolean;
};

/** A violation of a promise. */
export type Violation = {
	readonly promise: PromiseId;
	readonly atMs: number;
	readonly detail: string;
};

/** Records requests, checks their answers and collects violations. */
export class RequestHistory {
	readonly violations: Violation[] = [];
	/** Evaluations by promise, not counting the program's own assertions. */
	readonly evaluated = new Map<PromiseId, number>(Object.values(PromiseId).map(id => [id, 0]));
	readonly requests: CallerRequest[] = [];
	/** Number of attempts by outcome. */
	readonly outcomeCounts = new Map<string, number>();
	readonly #byBody = new Map<string, CallerRequest>();
	readonly #now: () => number;
	readonly #executionsOf: (body: string) => number;

	/** @param executionsOf - Returns the number of executions of a body at all upstreams so far. */
	constructor(now: () => number, executionsOf: (body: string) => number) {
		this.#now = now;
		this.#executionsOf = executionsOf;
	}

	check(promise: PromiseId, holds: boolean, detail: string): void {
		this.evaluated.set(promise, this.evaluated.get(promise)! + 1);
		if (!holds) {
			this.violations.push({promise, atMs: Math.round(this.#now()), detail});
		}
	}

	ask(kind: RequestKind, tier: number): CallerRequest {
		const request = {
			kind, tier, body: `${kind}-${this.requests.length}`, attempts: 0, pendingAttempts: 0, isAnswered: false,
		};
		this.requests.push(request);
		this.#byBody.set(request.body, request);
		return request;
	}

	findRequest(body: string): CallerRequest | undefined {
		return this.#byBody.get(body);
	}

	/** Records that an attempt ended with an answer, and checks the answer. */
	recordAnswer(request: CallerRequest, body: string, isReplay: boolean): void {
		this.#countOutcome(isReplay ? 'replayed' : 'done');
		request.pendingAttempts -= 1;
		request.isAnswered = true;
		const expected = expectedParts(request.body, partCount(request.body)).join('');
		this.check(PromiseId.WholeAnswer, body === expected, `${request.body} received the answer '${body}'`);
	}

	/**
	 * Records that an attempt ended with an error, and checks that a request reported as not run has not run.
	 *
	 * @param executionsBefore - Executions at the start of the attempt. Without a key, each attempt counts as a separate request.
	 */
	recordError(request: CallerRequest, err: SchedulerError, ran: Ran, executionsBefore: number): void {
		this.#countOutcome(`${err.kind} (${ran})`);
		request.pendingAttempts -= 1;
		if (ran === Ran.No && request.pendingAttempts === 0) {
			const isKeyed = request.kind === RequestKind.Booking || request.kind === RequestKind.KeyedNote;
			const executions = this.#executionsOf(request.body) - (isKeyed ? 0 : executionsBefore);
			this.check(PromiseId.NotRunIsTrue, executions === 0, `${request.body} ran ${executions} times but was reported as not run: ${err.kind}`);
		}
	}

	/** Records that the node of an attempt ended before it answered. */
	recordDisconnect(request: CallerRequest): void {
		this.#countOutcome('connection lost');
		request.pendingAttempts -= 1;
	}

	/** Checks at the end of a run that no request was executed more often than allowed. */
	checkExecutionLimits(): void {
		for (const {kind, body, attempts} of this.requests) {
			const executions = this.#executionsOf(body);
			const limit = executionLimit(kind, attempts);
			const promise = kind === RequestKind.Booking ? PromiseId.BookingOnce : PromiseId.DispatchedOnce;
			if (limit !== undefined) {
				this.check(promise, executions <= limit, `${body} ran ${executions} times in ${attempts} attempts`);
			}
		}
	}

	#countOutcome(outcome: string): void {
		this.outcomeCounts.set(outcome, (this.outcomeCounts.get(outcome) ?? 0) + 1);
	}
}

/** @returns Maximum number of executions of a request; `undefined` if the system may retry it. */
function executionLimit(kind: RequestKind, attempts: number): number | undefined {
	const isKeyed = kind === RequestKind.Booking || kind === RequestKind.KeyedNote;
	if (isKeyed) {
		return 1;
	}

	return kind === RequestKind.Lookup ? undefined : attempts;
}
