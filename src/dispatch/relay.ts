/**
 * Sends a request to an upstream and relays the response to the caller.
 */
import {type Span} from '@opentelemetry/api';
import {runInBackground} from '../base/background.js';
import {ByteCollector} from '../base/byte-collector.js';
import {type Clock} from '../base/clock.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type Log} from '../base/log.js';
import {type Metrics} from '../base/metrics.js';
import {endSpan, SpanName} from '../base/trace.js';
import {errorFields} from '../base/error-fields.js';
import {type Claim, type Claims, MAX_KEPT_ANSWER_BYTES} from '../coordination/claims.js';
import {type Scheduler, WorkOutcome} from '../policy/scheduler.js';
import {Engine, type UpstreamClient} from '../upstream/engine.js';
import {type Exchange, type UpstreamHeaders} from '../upstream/exchange.js';
import {ResponseBodyTracker} from './response-body-tracker.js';
import {type Job} from './dispatcher.js';
import {endToEndHeaders} from './hop-headers.js';
import {InitialExchangeHandler, OFFSET_HEADER, ResumedExchangeHandler} from './exchange-handlers.js';

/** Maximum number of consecutive resumes that deliver no new bytes. */
const MAX_RESUMES_WITHOUT_PROGRESS = 3;
const ERROR_STATUS = 500;
const OK_STATUS = 200;
/** Response statuses after which an idempotent operation is retried. */
const retryableStatuses = new Set([502, 503, 504]);

/** Result of an attempt. Without `err`, the response is complete. */
export type RelayOutcome = {
	readonly workOutcome: WorkOutcome;
	readonly err?: SchedulerError;
};

/** Dependencies and input of a relay. */
export type RelayOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics | undefined;
	readonly job: Job;
	readonly claims: Claims;
	readonly claim: Claim | undefined;
	readonly invariants: Invariants;
	readonly scheduler: Scheduler;
	readonly client: UpstreamClient;
	readonly upstreamId: string;
	readonly log: Log;
	readonly canResume: boolean;
	/** Called at most once, before a response with a retryable status is relayed; returns true to discard that response. */
	readonly shouldRetry: () => boolean;
	readonly onOutcome: (outcome: RelayOutcome) => void;
};

/** A single attempt to execute a request. */
export class Relay {
	/** Sends the request; `onOutcome` is called once, asynchronously. */
	static start(options: RelayOptions): Relay {
		const relay = new Relay(options);
		relay.#exchange = options.client.send(options.job.request, new InitialExchangeHandler(relay));
		return relay;
	}

	readonly #options: RelayOptions;
	readonly #bodyTracker: ResponseBodyTracker;
	readonly #recorded = ByteCollector.create();
	#recordedBytes = 0;
	#exchange: Exchange | undefined;
	#status = 0;
	#contentType: string | undefined;
	#resumesWithoutProgress = 0;
	#isCallerDisconnected = false;
	#isEnded = false;
	#firstChunkAt: number | undefined;
	#lastChunkAt: number | undefined;
	#resumeSpan: Span | undefined;

	private constructor(options: RelayOptions) {
		this.#options = options;
		this.#bodyTracker = ResponseBodyTracker.create(options.job.lifecycle.id, options.invariants);
	}

	get isResponseRecorded(): boolean {
		return this.#options.claim?.request.keepsAnswer ?? false;
	}

	commit(): boolean {
		const {job, claim, claims, scheduler} = this.#options;
		if (!job.lifecycle.commit()) {
			return false;
		}

		if (claim !== undefined && !claims.noteCommitted(claim)) {
			return false;
		}

		scheduler.noteCommitted(job.work.id);
		return true;
	}

	/** Handles the headers of an initial or resumed response. */
	handleHeaders(status: number, headers: UpstreamHeaders): void {
		const echoedDispatchId = headers['dispatch-id']?.toString();
		if (!this.#bodyTracker.bind(echoedDispatchId)) {
			this.#failAndAbort(SchedulerError.create(ErrorKind.UpstreamLost, 'The upstream sent the answer to another request.'), WorkOutcome.Lost);
			return;
		}

		if (this.#status !== 0) {
			return;
		}

		if (retryableStatuses.has(status) && this.#options.shouldRetry()) {
			this.#failAndAbort(SchedulerError.create(ErrorKind.UpstreamError, `The upstream answered ${status}.`), WorkOutcome.UpstreamError);
			return;
		}

		this.#status = status;
		this.#contentType = headers['content-type']?.toString();
		if (!this.#isCallerDisconnected) {
			this.#options.job.sink.start(status, endToEndHeaders(headers, [OFFSET_HEADER, 'redwingspool-ran']));
		}
	}

	/**
	 * Handles a chunk of the response body.
	 *
	 * @param offset - Offset of the chunk in the body.
	 * @returns False to pause reading until the sink has drained.
	 */
	handleData(offset: number, chunk: Uint8Array): boolean {
		if (this.#isEnded) {
			return true;
		}

		const {job, scheduler} = this.#options;
		const newBytes = this.#bodyTracker.accept(offset, chunk);
		if (newBytes === undefined) {
			this.#failAndAbort(SchedulerError.create(ErrorKind.AnswerIncomplete), WorkOutcome.Lost);
			return true;
		}

		if (newBytes.byteLength === 0) {
			return true;
		}

		this.#resumesWithoutProgress = 0;
		scheduler.noteProgress(job.work.id, 1);
		this.#recordTiming();
		this.#recordChunk(newBytes);
		if (this.#isCallerDisconnected || job.sink.write(newBytes)) {
			return true;
		}

		job.sink.onDrain(() => this.#exchange?.resume());
		return false;
	}

	/** Handles the end of the upstream's response. */
	handleEnd(): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			runInBackground(this.#options.log, 'end of a response', async () => this.#complete());
		}
	}

	/** Handles a failed exchange; resumes the response if possible. */
	handleError(err: SchedulerError, wasSent: boolean): void {
		if (this.#isEnded) {
			return;
		}

		if (wasSent && this.#canResume()) {
			this.#resume();
			return;
		}

		const hasResponseStarted = wasSent && this.#status !== 0;
		const isAborted = this.#isCallerDisconnected && !this.isResponseRecorded;
		this.#fail(isAborted ? WorkOutcome.Canceled : toWorkOutcome(err, wasSent), hasResponseStarted ? SchedulerError.create(ErrorKind.AnswerIncomplete) : err);
	}

	/** Handles the engine's refusal to resume a dispatch that it never received or no longer holds. */
	handleResumeRejected(): void {
		const kind = this.#status === 0 ? ErrorKind.UpstreamLost : ErrorKind.AnswerIncomplete;
		this.#failAndAbort(SchedulerError.create(kind), WorkOutcome.Lost);
	}

	/** Time at which the first chunk of the response body arrived; `undefined` until then, or if there is no body. */
	get firstChunkAt(): number | undefined {
		return this.#firstChunkAt;
	}

	/**
	 * Handles a disconnected caller. An operation whose response is recorded continues, so that a retry by the caller can
	 * replay it. Any other operation is also canceled at the engine, which would otherwise keep generating for a resume.
	 */
	handleCallerDisconnect(): void {
		this.#isCallerDisconnected = true;
		if (this.isResponseRecorded) {
			this.#exchange?.resume();
			return;
		}

		const {client, job} = this.#options;
		if (client instanceof Engine && job.lifecycle.wasCommitted) {
			runInBackground(this.#options.log, 'cancelation at an engine', async () => client.cancel(job.lifecycle.id));
		}

		this.#exchange?.abort();
	}

	#recordTiming(): void {
		const {clock, metrics, job: {work}} = this.#options;
		this.#firstChunkAt ??= clock.now();
		if (metrics === undefined || work.model === undefined) {
			return;
		}

		const now = clock.now();
		if (this.#lastChunkAt === undefined) {
			metrics.timeToFirstToken.record(now - work.arrivedAt);
		} else {
			metrics.timeBetweenTokens.record(now - this.#lastChunkAt);
		}

		this.#lastChunkAt = now;
	}

	#recordChunk(chunk: Uint8Array): void {
		if (this.isResponseRecorded) {
			this.#recordedBytes += chunk.byteLength;
			if (this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES) {
				this.#recorded.add(chunk);
			}
		}
	}

	async #complete(): Promise<void> {
		endSpan(this.#resumeSpan);
		const {job, claim, claims} = this.#options;
		if (claim !== undefined) {
			const isWhole = this.isResponseRecorded && this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES;
			try {
				await claims.complete(claim, isWhole
					? {status: this.#status, contentType: this.#contentType, body: this.#recorded.take()}
					: undefined);
			} catch (error) {
				// The caller gets its response all the same; a repeat is refused, as nothing is recorded.
				this.#options.log.error('An answer could not be recorded.', {dispatchId: job.lifecycle.id, ...errorFields(error)});
			}
		}

		if (!this.#isCallerDisconnected) {
			job.sink.end();
		}

		this.#options.onOutcome({workOutcome: this.#status >= ERROR_STATUS ? WorkOutcome.UpstreamError : WorkOutcome.Done});
	}

	/** Fails the attempt and destroys the connection, so that no late data can arrive. */
	#failAndAbort(err: SchedulerError, workOutcome: WorkOutcome): void {
		if (!this.#isEnded) {
			this.#fail(workOutcome, err);
			this.#exchange?.abort();
		}
	}

	#fail(workOutcome: WorkOutcome, err: SchedulerError): void {
		this.#isEnded = true;
		endSpan(this.#resumeSpan, err.kind);
		this.#options.onOutcome({workOutcome, err});
	}

	#canResume(): boolean {
		const {client, canResume} = this.#options;
		return canResume
			&& client instanceof Engine
			&& (this.#status === 0 || this.#status === OK_STATUS)
			&& this.#resumesWithoutProgress < MAX_RESUMES_WITHOUT_PROGRESS
			&& !this.#isCallerDisconnected;
	}

	#resume(): void {
		const {client, job} = this.#options;
		this.#resumesWithoutProgress += 1;
		this.#options.log.warn('The connection of an answer was lost; the answer is resumed.', {
			traceId: job.traceId, dispatchId: job.lifecycle.id, upstream: this.#options.upstreamId, offset: this.#bodyTracker.delivered,
		});
		const offset = this.#bodyTracker.delivered;
		endSpan(this.#resumeSpan, ErrorKind.UpstreamLost);
		this.#resumeSpan = job.trace?.startSpan(SpanName.Resume, {offset});
		this.#exchange = (client as Engine).resume(job.lifecycle.id, offset, job.request.idleTimeoutMs, new ResumedExchangeHandler(this, offset));
	}
}

function toWorkOutcome(err: SchedulerError, wasSent: boolean): WorkOutcome {
	if (err.kind === ErrorKind.Canceled) {
		return WorkOutcome.Canceled;
	}

	if (!wasSent) {
		return WorkOutcome.ConnectionRefused;
	}

	return err.kind === ErrorKind.UpstreamTimeout ? WorkOutcome.TimedOut : WorkOutcome.Lost;
}
