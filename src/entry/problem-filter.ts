/**
 * Sends the error response for requests that no route handled: unknown paths, methods that a path does not support,
 * requests rejected by the framework, and unexpected exceptions.
 */
import {
	type ArgumentsHost, Catch, type ExceptionFilter, HttpException,
} from '@nestjs/common';
import {type FastifyReply, type FastifyRequest} from 'fastify';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Log} from '../base/log.js';
import {type Metrics} from '../base/metrics.js';
import {respondWithError} from './context.js';
import {ErrorFormat} from './error-body.js';

/** The allowed method of each fixed path. */
const methodByPath: Readonly<Record<string, string>> = {
	'/v1/models': 'GET',
	'/v1/chat/completions': 'POST',
	'/v1/entries': 'GET',
	'/healthz': 'GET',
	'/readyz': 'GET',
	'/metrics': 'GET',
};

const kindsByStatus: Readonly<Record<number, ErrorKind>> = {
	400: ErrorKind.MalformedRequest,
	404: ErrorKind.NotFound,
	405: ErrorKind.MethodNotAllowed,
	408: ErrorKind.RequestTimeout,
	413: ErrorKind.BodyTooLarge,
	414: ErrorKind.HeaderTooLarge,
	415: ErrorKind.MalformedRequest,
	431: ErrorKind.HeaderTooLarge,
};

/** Nest exception filter that handles all exceptions. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
	readonly #log: Log | undefined;

	readonly #metrics: Metrics | undefined;

	constructor(log: Log | undefined, metrics: Metrics | undefined) {
		this.#log = log;
		this.#metrics = metrics;
	}

	catch(exception: unknown, host: ArgumentsHost): void {
		const http = host.switchToHttp();
		this.answer(exception, http.getRequest<FastifyRequest>(), http.getResponse<FastifyReply>());
	}

	/** Sends the error response for a request that failed with an exception. */
	answer(exception: unknown, req: FastifyRequest, reply: FastifyReply): void {
		void reply.hijack();
		const err = this.#toError(exception, req);
		if (err.kind === ErrorKind.MethodNotAllowed) {
			reply.raw.setHeader('allow', methodByPath[requestPath(req)] ?? '');
		}

		const format = isCompletionsPath(requestPath(req)) ? ErrorFormat.Completions : ErrorFormat.Problem;
		respondWithError(reply.raw, err, format, this.#metrics);
	}

	#toError(exception: unknown, req: FastifyRequest): SchedulerError {
		if (exception instanceof SchedulerError) {
			return exception;
		}

		const status = exception instanceof HttpException ? exception.getStatus() : (exception as {statusCode?: number}).statusCode;
		const kind = kindsByStatus[status ?? 0];
		if (kind === undefined) {
			this.#log?.error('A request failed by a fault of the program.', {err: (exception as Error).message});
			return SchedulerError.create(ErrorKind.Internal);
		}

		const isWrongMethod = kind === ErrorKind.NotFound && Object.hasOwn(methodByPath, requestPath(req));
		return SchedulerError.create(isWrongMethod ? ErrorKind.MethodNotAllowed : kind);
	}
}

function requestPath(req: FastifyRequest): string {
	return (req.raw.url ?? '').split('?', 1)[0]!;
}

function isCompletionsPath(path: string): boolean {
	return path === '/v1/models' || path === '/v1/chat/completions';
}
