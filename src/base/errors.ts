/**
 * The closed set of error kinds and the HTTP response for each of them.
 */

/** Whether a request was executed, as reported to its caller. */
export const Ran = {
	/** No byte of the request was sent to an upstream. */
	No: 'no',
	/** The upstream executed the request. */
	Yes: 'yes',
	/** The request may have been executed. */
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

/** HTTP response for an error kind. */
export type ErrorAnswer = {
	/** HTTP status code. */
	readonly status: number;
	/** Whether the request was executed. */
	readonly ran: Ran;
	/** Default Retry-After in ms; absent where a retry is not useful. */
	readonly retryAfterMs?: number;
	/** Short human-readable title. */
	readonly title: string;
};

const SHORT_RETRY_MS = 1000;
const STORE_RETRY_MS = 5000;

/** HTTP response for each error kind. */
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
	'crash-suspect': {status: 422, ran: Ran.No, title: 'Requests like this one crash upstreams; this one was not run.'},
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

/** State of a request's idempotency key at the time of the response. */
export type KeyKnowledge = {
	/** The request carries an idempotency key. */
	readonly isKeyed: boolean;
	/** This attempt holds the claim on the key, so no earlier attempt can have run. */
	readonly holdsClaim: boolean;
	/** The caller declared that it has never sent this key before. */
	readonly isFirstAttempt: boolean;
};

/**
 * Determines what to report to a caller about the execution of its request. `no` also covers earlier attempts with the
 * same key, so a keyed request that is refused before it obtains the claim is reported as `unknown`.
 *
 * @param kind - Error kind of the response.
 * @param key - State of the request's idempotency key.
 */
export function ranOf(kind: ErrorKind, key: KeyKnowledge): Ran {
	const {ran} = errorAnswers[kind];
	if (ran !== Ran.No || kind === ErrorKind.KeyConflict) {
		return ran;
	}

	return !key.isKeyed || key.holdsClaim || key.isFirstAttempt ? Ran.No : Ran.Unknown;
}

/** An error of one of the kinds above. Functions return it in a `Result`; exceptions are thrown only for bugs. */
export class SchedulerError extends Error {
	/**
	 * @param kind - Error kind.
	 * @param detail - One human-readable sentence without secrets; defaults to the kind's title.
	 * @param retryAfterMs - Delay in ms after which a retry is useful; defaults to the kind's.
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

	/** HTTP response for this error. */
	get answer(): ErrorAnswer {
		return errorAnswers[this.kind];
	}
}
