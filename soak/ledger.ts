/**
 * What callers asked for, what they were told, and the promises that follow from both.
 */
import {PromiseId} from '../src/base/invariant.js';
import {Ran, type SchedulerError} from '../src/base/errors.js';
import {expectedParts, partCount} from './fake-upstream.js';

/** Kinds of requests. */
export const RequestKind = {
	/** A note without a key. */
	Note: 'note',
	/** A note with a key. */
	KeyedNote: 'keyed-note',
	/** A non-idempotent booking, always with a key. */
	Booking: 'booking',
	/** An idempotent lookup. */
	Lookup: 'lookup',
	/** A note that crashes each upstream that runs it. */
	Poison: 'poison',
} as const;

export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** @returns Whether requests of this kind go to the plain service; the others go to the engines. */
export function isPlainRequest(kind: RequestKind): boolean {
	return kind === RequestKind.Booking || kind === RequestKind.Lookup;
}

/** One request with all its attempts. */
export type AskedRequest = {
	readonly kind: RequestKind;
	/** Unique for each request, so that upstreams' records can be matched. */
	readonly body: string;
	/** 0 is the most important. */
	readonly tier: number;
	attempts: number;
	pendingAttempts: number;
	wasTold: boolean;
};

/** A promise that did not hold. */
export type Finding = {
	readonly promise: PromiseId;
	readonly atMs: number;
	readonly detail: string;
};

/** Records requests and checks answers. */
export class Ledger {
	readonly findings: Finding[] = [];
	/** Evaluations by promise, outside the program's own assertions. */
	readonly evaluated = new Map<PromiseId, number>(Object.values(PromiseId).map(id => [id, 0]));
	readonly requests: AskedRequest[] = [];
	/** Answers by what the caller was told. */
	readonly told = new Map<string, number>();
	readonly #byBody = new Map<string, AskedRequest>();
	readonly #now: () => number;
	readonly #executionsOf: (body: string) => number;

	/** @param executionsOf - How often upstreams ran a body so far. */
	constructor(now: () => number, executionsOf: (body: string) => number) {
		this.#now = now;
		this.#executionsOf = executionsOf;
	}

	check(promise: PromiseId, holds: boolean, detail: string): void {
		this.evaluated.set(promise, this.evaluated.get(promise)! + 1);
		if (!holds) {
			this.findings.push({promise, atMs: Math.round(this.#now()), detail});
		}
	}

	ask(kind: RequestKind, tier: number): AskedRequest {
		const request = {
			kind, tier, body: `${kind}-${this.requests.length}`, attempts: 0, pendingAttempts: 0, wasTold: false,
		};
		this.requests.push(request);
		this.#byBody.set(request.body, request);
		return request;
	}

	requestOf(body: string): AskedRequest | undefined {
		return this.#byBody.get(body);
	}

	/** An attempt ended with an answer. */
	noteAnswer(request: AskedRequest, body: string, isReplay: boolean): void {
		this.#count(isReplay ? 'replayed' : 'done');
		request.pendingAttempts -= 1;
		request.wasTold = true;
		const expected = expectedParts(request.body, partCount(request.body)).join('');
		this.check(PromiseId.WholeAnswer, body === expected, `${request.body} was answered '${body}'`);
	}

	/**
	 * An attempt ended with an error.
	 *
	 * @param executionsBefore - Executions when the attempt began. Without a key each attempt is a request of its own.
	 */
	noteError(request: AskedRequest, err: SchedulerError, ran: Ran, executionsBefore: number): void {
		this.#count(`${err.kind} (${ran})`);
		request.pendingAttempts -= 1;
		if (ran === Ran.No && request.pendingAttempts === 0) {
			const isKeyed = request.kind === RequestKind.Booking || request.kind === RequestKind.KeyedNote;
			const executions = this.#executionsOf(request.body) - (isKeyed ? 0 : executionsBefore);
			this.check(PromiseId.NotRunIsTrue, executions === 0, `${request.body} ran ${executions} times and was said not to have run: ${err.kind}`);
		}
	}

	/** The node of an attempt died. */
	noteLost(request: AskedRequest): void {
		this.#count('connection lost');
		request.pendingAttempts -= 1;
	}

	/** Checks what must hold of all requests at the end. */
	checkEnd(): void {
		for (const {kind, body, attempts} of this.requests) {
			const executions = this.#executionsOf(body);
			const limit = executionLimit(kind, attempts);
			const promise = kind === RequestKind.Booking ? PromiseId.BookingOnce : PromiseId.DispatchedOnce;
			if (limit !== undefined) {
				this.check(promise, executions <= limit, `${body} ran ${executions} times in ${attempts} attempts`);
			}
		}
	}

	#count(what: string): void {
		this.told.set(what, (this.told.get(what) ?? 0) + 1);
	}
}

/** @returns How often a request may run; `undefined` where repeats by the system are allowed. */
function executionLimit(kind: RequestKind, attempts: number): number | undefined {
	const isKeyed = kind === RequestKind.Booking || kind === RequestKind.KeyedNote;
	if (isKeyed) {
		return 1;
	}

	return kind === RequestKind.Lookup ? undefined : attempts;
}
