/**
 * Formats error responses: problem details (RFC 9457), or the error object of the completions protocol on its routes.
 */
import {type ErrorKind, type Ran, type SchedulerError} from '../base/errors.js';

/** Format of error bodies on a route. */
export const ErrorFormat = {
	Problem: 'problem',
	Completions: 'completions',
} as const;

export type ErrorFormat = (typeof ErrorFormat)[keyof typeof ErrorFormat];

/** A complete error response. */
export type ErrorResponse = {
	readonly status: number;
	readonly headers: Record<string, string>;
	readonly body: string;
};

/** @returns The response for an error, in the given format. */
export function formatError(err: SchedulerError, ran: Ran, format: ErrorFormat): ErrorResponse {
	const {status} = err.answer;
	const isProblem = format === ErrorFormat.Problem;
	const headers: Record<string, string> = {
		'content-type': isProblem ? 'application/problem+json' : 'application/json',
		'redwingspool-ran': ran,
	};
	if (err.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.ceil(err.retryAfterMs / 1000));
	}

	const body = isProblem ? createProblemBody(err, ran) : createCompletionsBody(err, ran);
	return {status, headers, body: JSON.stringify(body)};
}

type ProblemBody = {
	type: string;
	title: string;
	status: number;
	detail: string;
	kind: ErrorKind;
	ran: Ran;
};

function createProblemBody(err: SchedulerError, ran: Ran): ProblemBody {
	return {
		type: `urn:redwingspool:error:${err.kind}`,
		title: err.answer.title,
		status: err.answer.status,
		detail: err.message,
		kind: err.kind,
		ran,
	};
}

type CompletionsBody = {
	error: {
		message: string;
		type: string;
		code: ErrorKind;
		ran: Ran;
	};
};

function createCompletionsBody(err: SchedulerError, ran: Ran): CompletionsBody {
	const type = err.answer.status < 500 ? 'invalid_request_error' : 'server_error';
	return {
		error: {
			message: err.message, type, code: err.kind, ran,
		},
	};
}
