/**
 * Sends one request to one upstream and passes its answer on.
 */
import {Buffer} from 'node:buffer';
import {type Span} from '@opentelemetry/api';
import {type Clock} from '../base/clock.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type Log} from '../base/log.js';
import {type Metrics} from '../base/metrics.js';
import {endSpan, SpanName} from '../base/trace.js';
import {type Claim, type Claims, MAX_KEPT_ANSWER_BYTES} from '../coordination/claims.js';
import {type Scheduler, WorkOutcome} from '../policy/scheduler.js';
import {Engine, type UpstreamClient} from '../upstream/engine.js';
import {type Exchange, type UpstreamHeaders} from '../upstream/exchange.js';
import {Answer} from './answer.js';
import {type Job} from './dispatcher.js';
import {endToEndHeaders} from './hop-headers.js';
import {FirstLeg, OFFSET_HEADER, ResumedLeg} from './legs.js';

/** Resumes in a row that deliver nothing new. */
const MAX_FRUITLESS_RESUMES = 3;
const ERROR_STATUS = 500;
const OK_STATUS = 200;
/** Statuses of answers that an idempotent operation is tried again after. */
const retriedStatuses = new Set([502, 503, 504]);

/** How a relay ended; without an error the caller has its whole answer. */
export type RelayOutcome = {
	readonly workOutcome: WorkOutcome;
	readonly err?: SchedulerError;
};

/** What a relay works with. */
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
	readonly log: Log | undefined;
	readonly canResume: boolean;
	/** Asked once, before an answer with a retried status would go to the caller; true discards the answer. */
	readonly shouldRetry: () => boolean;
	readonly onOutcome: (outcome: RelayOutcome) => void;
};

/** One attempt of one request. */
export class Relay {
	/** Sends the request; `onOutcome` is called once, later. */
	static start(options: RelayOptions): Relay {
		const relay = new Relay(options);
		relay.#exchange = options.client.send(options.job.request, new FirstLeg(relay));
		return relay;
	}

	readonly #options: RelayOptions;
	readonly #answer: Answer;
	readonly #recorded: Uint8Array[] = [];
	#recordedBytes = 0;
	#exchange: Exchange | undefined;
	#status = 0;
	#contentType: string | undefined;
	#fruitlessResumes = 0;
	#hasCallerLeft = false;
	#isEnded = false;
	#firstPartAt: number | undefined;
	#lastPartAt: number | undefined;
	#resumeSpan: Span | undefined;

	private constructor(options: RelayOptions) {
		this.#options = options;
		this.#answer = Answer.create(options.job.lifecycle.id, options.invariants);
	}

	get isAnswerRecorded(): boolean {
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

	/** Takes the headers of a first or resumed answer. */
	begin(status: number, headers: UpstreamHeaders): void {
		const echoed = headers['dispatch-id']?.toString();
		if (!this.#answer.bind(echoed)) {
			this.#breakOff(SchedulerError.create(ErrorKind.UpstreamLost, 'The upstream sent the answer to another request.'), WorkOutcome.Lost);
			return;
		}

		if (this.#status !== 0) {
			return;
		}

		if (retriedStatuses.has(status) && this.#options.shouldRetry()) {
			this.#breakOff(SchedulerError.create(ErrorKind.UpstreamError, `The upstream answered ${status}.`), WorkOutcome.UpstreamError);
			return;
		}

		this.#status = status;
		this.#contentType = headers['content-type']?.toString();
		if (!this.#hasCallerLeft) {
			this.#options.job.sink.start(status, endToEndHeaders(headers, [OFFSET_HEADER, 'redwingspool-ran']));
		}
	}

	/**
	 * Takes a part of the body.
	 *
	 * @param offset - Where in the body the part starts.
	 * @returns False when the caller is slow.
	 */
	deliver(offset: number, chunk: Uint8Array): boolean {
		if (this.#isEnded) {
			return true;
		}

		const {job, scheduler} = this.#options;
		const fresh = this.#answer.accept(offset, chunk);
		if (fresh === undefined) {
			this.#breakOff(SchedulerError.create(ErrorKind.AnswerIncomplete), WorkOutcome.Lost);
			return true;
		}

		if (fresh.byteLength === 0) {
			return true;
		}

		this.#fruitlessResumes = 0;
		scheduler.noteProgress(job.work.id, 1);
		this.#recordTiming();
		this.#record(fresh);
		if (this.#hasCallerLeft || job.sink.write(fresh)) {
			return true;
		}

		job.sink.onDrain(() => this.#exchange?.resume());
		return false;
	}

	/** The upstream ended its answer. */
	end(): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			void this.#complete();
		}
	}

	/** A connection broke off; the answer is resumed if possible. */
	lose(err: SchedulerError, wasSent: boolean): void {
		if (this.#isEnded) {
			return;
		}

		if (wasSent && this.#canResume()) {
			this.#resume();
			return;
		}

		const hasBegun = wasSent && this.#status !== 0;
		const isAborted = this.#hasCallerLeft && !this.isAnswerRecorded;
		this.#finish(isAborted ? WorkOutcome.Canceled : outcomeOf(err, wasSent), hasBegun ? SchedulerError.create(ErrorKind.AnswerIncomplete) : err);
	}

	/** The engine refused to resume: it never had the dispatch, or no longer has it. */
	refuseResume(): void {
		const kind = this.#status === 0 ? ErrorKind.UpstreamLost : ErrorKind.AnswerIncomplete;
		this.#breakOff(SchedulerError.create(kind), WorkOutcome.Lost);
	}

	/** When the first part of the answer arrived; `undefined` before it, or where the answer has no body. */
	get firstPartAt(): number | undefined {
		return this.#firstPartAt;
	}

	/**
	 * The caller went away. An operation whose answer is recorded goes on, for the caller's repeat; anything else is
	 * stopped at the engine too, which would go on generating for a resume.
	 */
	callerLeft(): void {
		this.#hasCallerLeft = true;
		if (this.isAnswerRecorded) {
			this.#exchange?.resume();
			return;
		}

		const {client, job} = this.#options;
		if (client instanceof Engine && job.lifecycle.wasCommitted) {
			void client.cancel(job.lifecycle.id);
		}

		this.#exchange?.abort();
	}

	#recordTiming(): void {
		const {clock, metrics, job: {work}} = this.#options;
		this.#firstPartAt ??= clock.now();
		if (metrics === undefined || work.model === undefined) {
			return;
		}

		const now = clock.now();
		if (this.#lastPartAt === undefined) {
			metrics.timeToFirstToken.record(now - work.arrivedAt);
		} else {
			metrics.timeBetweenTokens.record(now - this.#lastPartAt);
		}

		this.#lastPartAt = now;
	}

	#record(chunk: Uint8Array): void {
		if (this.isAnswerRecorded) {
			this.#recordedBytes += chunk.byteLength;
			if (this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES) {
				// A copy, as a small part would keep the whole network buffer alive.
				this.#recorded.push(Uint8Array.from(chunk));
			}
		}
	}

	async #complete(): Promise<void> {
		endSpan(this.#resumeSpan);
		const {job, claim, claims} = this.#options;
		if (claim !== undefined) {
			const isWhole = this.isAnswerRecorded && this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES;
			await claims.complete(claim, isWhole
				? {status: this.#status, contentType: this.#contentType, body: Buffer.concat(this.#recorded)}
				: undefined);
		}

		if (!this.#hasCallerLeft) {
			job.sink.end();
		}

		this.#options.onOutcome({workOutcome: this.#status >= ERROR_STATUS ? WorkOutcome.UpstreamError : WorkOutcome.Done});
	}

	/** Ends the attempt and destroys the connection, so that nothing late can follow. */
	#breakOff(err: SchedulerError, workOutcome: WorkOutcome): void {
		if (!this.#isEnded) {
			this.#finish(workOutcome, err);
			this.#exchange?.abort();
		}
	}

	#finish(workOutcome: WorkOutcome, err: SchedulerError): void {
		this.#isEnded = true;
		endSpan(this.#resumeSpan, err.kind);
		this.#options.onOutcome({workOutcome, err});
	}

	#canResume(): boolean {
		const {client, canResume} = this.#options;
		return canResume
			&& client instanceof Engine
			&& (this.#status === 0 || this.#status === OK_STATUS)
			&& this.#fruitlessResumes < MAX_FRUITLESS_RESUMES
			&& !this.#hasCallerLeft;
	}

	#resume(): void {
		const {client, job} = this.#options;
		this.#fruitlessResumes += 1;
		this.#options.log?.warn('The connection of an answer was lost; the answer is resumed.', {
			traceId: job.traceId, dispatchId: job.lifecycle.id, upstream: this.#options.upstreamId, offset: this.#answer.delivered,
		});
		const offset = this.#answer.delivered;
		endSpan(this.#resumeSpan, ErrorKind.UpstreamLost);
		this.#resumeSpan = job.trace?.startSpan(SpanName.Resume, {offset});
		this.#exchange = (client as Engine).resume(job.lifecycle.id, offset, job.request.idleTimeoutMs, new ResumedLeg(this, offset));
	}
}

function outcomeOf(err: SchedulerError, wasSent: boolean): WorkOutcome {
	if (err.kind === ErrorKind.Canceled) {
		return WorkOutcome.Canceled;
	}

	if (!wasSent) {
		return WorkOutcome.ConnectionRefused;
	}

	return err.kind === ErrorKind.UpstreamTimeout ? WorkOutcome.TimedOut : WorkOutcome.Lost;
}
