/**
 * Bodies of errors: problem details (RFC 9457), or the completions protocol's error object on its routes.
 */
import {type ErrorKind, type Ran, type SchedulerError} from '../base/errors.js';

/** Which body format a route uses for errors. */
export const ErrorFormat = {
	Problem: 'problem',
	Completions: 'completions',
} as const;

export type ErrorFormat = (typeof ErrorFormat)[keyof typeof ErrorFormat];

/** A whole error response. */
export type ErrorResponse = {
	readonly status: number;
	readonly headers: Record<string, string>;
	readonly body: string;
};

/** @returns The response for an error. */
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

	const body = isProblem ? problemBody(err, ran) : completionsBody(err, ran);
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

function problemBody(err: SchedulerError, ran: Ran): ProblemBody {
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

function completionsBody(err: SchedulerError, ran: Ran): CompletionsBody {
	const type = err.answer.status < 500 ? 'invalid_request_error' : 'server_error';
	return {
		error: {
			message: err.message, type, code: err.kind, ran,
		},
	};
}
