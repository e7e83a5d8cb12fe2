/**
 * The closed list of error kinds and the table from kind to answer.
 */

/** What a caller may conclude about the execution of its request. */
export const Ran = {
	/** No byte of the request left for an upstream. */
	No: 'no',
	/** The upstream ran it. */
	Yes: 'yes',
	/** It may have run. */
	Unknown: 'unknown',
} as const;

export type Ran = (typeof Ran)[keyof typeof Ran];

/** Every kind of error that a caller, an operator or a peer can receive. */
export const ErrorKind = {
	MalformedRequest: 'malformed-request',
	BodyTooLarge: 'body-too-large',
	HeaderTooLarge: 'header-too-large',
	RequestTimeout: 'request-timeout',
	Unauthenticated: 'unauthenticated',
	Forbidden: 'forbidden',
	NotFound: 'not-found',
	UnknownModel: 'unknown-model',
	MethodNotAllowed: 'method-not-allowed',
	KeyConflict: 'key-conflict',
	KeyRequired: 'key-required',
	Overloaded: 'overloaded',
	DeadlineUnreachable: 'deadline-unreachable',
	RateLimited: 'rate-limited',
	Quarantined: 'quarantined',
	CrashSuspect: 'crash-suspect',
	NoUpstream: 'no-upstream',
	Draining: 'draining',
	StoreUnavailable: 'store-unavailable',
	EarlierAttemptUnknown: 'earlier-attempt-unknown',
	NotReady: 'not-ready',
	RegionUnreachable: 'region-unreachable',
	Canceled: 'canceled',
	VersionConflict: 'version-conflict',
	InvalidConfig: 'invalid-config',
	InProgress: 'in-progress',
	AlreadyDispatched: 'already-dispatched',
	UpstreamLost: 'upstream-lost',
	UpstreamTimeout: 'upstream-timeout',
	OutcomeUnknown: 'outcome-unknown',
	AnswerIncomplete: 'answer-incomplete',
	UpstreamError: 'upstream-error',
	Internal: 'internal',
} as const;

export type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind];

/** How a kind is answered over HTTP. */
export type ErrorAnswer = {
	/** HTTP status code. */
	readonly status: number;
	/** What the kind says about the execution of the request. */
	readonly ran: Ran;
	/** Default Retry-After in ms where repeating is useful. */
	readonly retryAfterMs?: number;
	/** Short title for people. */
	readonly title: string;
};

const SHORT_RETRY_MS = 1000;
const STORE_RETRY_MS = 5000;

/** The answer to each kind. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
	'malformed-request': {status: 400, ran: Ran.No, title: 'The request is malformed.'},
	'body-too-large': {status: 413, ran: Ran.No, title: 'The request body is over its limit.'},
	'header-too-large': {status: 431, ran: Ran.No, title: 'The request headers are over their limit.'},
	'request-timeout': {status: 408, ran: Ran.No, title: 'The request did not arrive in time.'},
	unauthenticated: {status: 401, ran: Ran.No, title: 'A valid API key is required.'},
	forbidden: {status: 403, ran: Ran.No, title: 'The API key does not permit this.'},
	'not-found': {status: 404, ran: Ran.No, title: 'There is nothing at this path.'},
	'unknown-model': {status: 404, ran: Ran.No, title: 'The model does not exist.'},
	'method-not-allowed': {status: 405, ran: Ran.No, title: 'The method is not allowed here.'},
	'key-conflict': {status: 422, ran: Ran.No, title: 'The idempotency key was used with another request.'},
	'key-required': {status: 400, ran: Ran.No, title: 'This operation needs an Idempotency-Key header.'},
	overloaded: {
		status: 503, ran: Ran.No, retryAfterMs: SHORT_RETRY_MS, title: 'There is no capacity for this tier now.',
	},
	'deadline-unreachable': {
		status: 503, ran: Ran.No, retryAfterMs: SHORT_RETRY_MS, title: 'The deadline can no longer be met.',
	},
	'rate-limited': {
		status: 429, ran: Ran.No, retryAfterMs: SHORT_RETRY_MS, title: 'The customer is over its limit.',
	},
	quarantined: {
		status: 422, ran: Ran.No, retryAfterMs: 600_000, title: 'This request crashed upstreams and is held back.',
	},
	'crash-suspect': {
		status: 503, ran: Ran.No, retryAfterMs: 5000, title: 'Requests like this one crashed upstreams; this one was not run.',
	},
	'no-upstream': {
		status: 503, ran: Ran.No, retryAfterMs: SHORT_RETRY_MS, title: 'No upstream could be reached.',
	},
	draining: {
		status: 503, ran: Ran.No, retryAfterMs: 0, title: 'This VM is stopping; use another address.',
	},
	'store-unavailable': {
		status: 503, ran: Ran.No, retryAfterMs: STORE_RETRY_MS, title: 'The store that records this operation is unavailable.',
	},
	'earlier-attempt-unknown': {
		status: 503,
		ran: Ran.Unknown,
		retryAfterMs: STORE_RETRY_MS,
		title: 'This attempt was not run; whether an earlier one with this key ran cannot be read now.',
	},
	'not-ready': {
		status: 503, ran: Ran.No, retryAfterMs: SHORT_RETRY_MS, title: 'This VM has no settings yet.',
	},
	'region-unreachable': {
		status: 503, ran: Ran.No, retryAfterMs: STORE_RETRY_MS, title: 'A region cannot be reached; the change was not accepted.',
	},
	canceled: {status: 499, ran: Ran.No, title: 'The caller closed the connection before dispatch.'},
	'version-conflict': {status: 409, ran: Ran.No, title: 'The settings changed since the version this change was made from.'},
	'invalid-config': {status: 422, ran: Ran.No, title: 'The settings do not match their schema.'},
	'in-progress': {
		status: 409, ran: Ran.Unknown, retryAfterMs: SHORT_RETRY_MS, title: 'The first request with this key is still running.',
	},
	'already-dispatched': {status: 409, ran: Ran.Unknown, title: 'A request with this key was dispatched before.'},
	'upstream-lost': {status: 502, ran: Ran.Unknown, title: 'The connection to the upstream was lost.'},
	'upstream-timeout': {status: 504, ran: Ran.Unknown, title: 'The upstream did not answer in time.'},
	'outcome-unknown': {status: 409, ran: Ran.Unknown, title: 'It is not known whether the first request with this key ran.'},
	'answer-incomplete': {status: 502, ran: Ran.Unknown, title: 'The answer broke off and could not be resumed.'},
	'upstream-error': {status: 502, ran: Ran.Yes, title: 'The upstream answered with an error.'},
	internal: {status: 500, ran: Ran.Unknown, title: 'An internal error occurred.'},
};

/** What is known about the idempotency key of a request when it is answered. */
export type KeyKnowledge = {
	/** The request carries an idempotency key. */
	readonly isKeyed: boolean;
	/** This attempt holds the claim of the key, so that no earlier attempt can have run. */
	readonly holdsClaim: boolean;
	/** The caller declared that it never sent this key before. */
	readonly isFirstAttempt: boolean;
};

/**
 * Tells what a caller may conclude about its request. `no` covers earlier attempts with the same key too, so a
 * keyed request that is refused before its claim was obtained is answered `unknown`.
 *
 * @param kind - The kind that the request is answered with.
 * @param key - What is known about its key.
 */
export function ranOf(kind: ErrorKind, key: KeyKnowledge): Ran {
	const {ran} = errorAnswers[kind];
	if (ran !== Ran.No || kind === ErrorKind.KeyConflict) {
		return ran;
	}

	return !key.isKeyed || key.holdsClaim || key.isFirstAttempt ? Ran.No : Ran.Unknown;
}

/** An error of a closed kind. Functions return it in a `Result`; only bugs are thrown. */
export class SchedulerError extends Error {
	/**
	 * @param kind - One of the closed kinds.
	 * @param detail - One sentence for people; holds no secret.
	 * @param retryAfterMs - When repeating is useful, in ms from now; defaults to the kind's.
	 */
	static create(kind: ErrorKind, detail?: string, retryAfterMs?: number): SchedulerError {
		return new SchedulerError(kind, detail, retryAfterMs);
	}

	readonly kind: ErrorKind;
	readonly retryAfterMs: number | undefined;

	private constructor(kind: ErrorKind, detail: string | undefined, retryAfterMs: number | undefined) {
		super(detail ?? errorAnswers[kind].title);
		this.name = 'SchedulerError';
		this.kind = kind;
		this.retryAfterMs = retryAfterMs ?? errorAnswers[kind].retryAfterMs;
	}

	/** How this error is answered. */
	get answer(): ErrorAnswer {
		return errorAnswers[this.kind];
	}
}
