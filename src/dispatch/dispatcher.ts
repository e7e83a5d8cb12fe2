/**
 * Takes requests from the callers' interface through claim, queue, upstream and answer.
 */
import {type Span} from '@opentelemetry/api';
import {type Clock} from '../base/clock.js';
import {ErrorKind, Ran, SchedulerError} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type Log} from '../base/log.js';
import {type Metrics, RequestOutcome} from '../base/metrics.js';
import {endSpan, type RequestTrace, SpanName} from '../base/trace.js';
import {type Claim, type ClaimRequest, type Claims} from '../coordination/claims.js';
import {RetryBudget} from '../policy/retry-budget.js';
import {
	type Scheduler, type SchedulerEvents, type Work, WorkOutcome,
} from '../policy/scheduler.js';
import {StreamedBody, type UpstreamRequest} from '../upstream/exchange.js';
import {type UpstreamRegistry} from '../upstream/registry.js';
import {type ResponseSink} from './response-sink.js';
import {Relay, type RelayOutcome} from './relay.js';
import {type RequestLifecycle} from './request-lifecycle.js';
import {TierCounts} from './tier-counts.js';

const MAX_ATTEMPTS = 3;

/** One request with all that is needed to run it. */
export type Job = {
	readonly lifecycle: RequestLifecycle;
	readonly work: Work;
	readonly request: UpstreamRequest;
	/** Present for requests with an idempotency key. */
	readonly claimRequest: ClaimRequest | undefined;
	readonly sink: ResponseSink;
	/** Present where traces are set up. */
	readonly trace?: RequestTrace | undefined;
	/** For log lines: ID of the trace, also of a caller's trace that this node does not record. */
	readonly traceId?: string | undefined;
};

/** Assigns members one by one, as an object spread showed as 3% of the processor time of short requests. */
class RunningJob implements Job {
	readonly lifecycle: RequestLifecycle;
	work: Work;
	readonly request: UpstreamRequest;
	readonly claimRequest: ClaimRequest | undefined;
	readonly sink: ResponseSink;
	readonly trace: RequestTrace | undefined;
	readonly traceId: string | undefined;
	readonly claim: Claim | undefined;
	readonly resolve: () => void;
	attempts = 0;
	relay: Relay | undefined = undefined;
	/** Upstream of the last attempt. */
	upstreamId: string | undefined = undefined;
	/** Span of the hop that the request is in. */
	hop: Span | undefined = undefined;
	/** Why the last attempt failed. */
	lastErr: SchedulerError | undefined = undefined;

	constructor(job: Job, claim: Claim | undefined, resolve: () => void) {
		this.lifecycle = job.lifecycle;
		this.work = job.work;
		this.request = job.request;
		this.claimRequest = job.claimRequest;
		this.sink = job.sink;
		this.trace = job.trace;
		this.traceId = job.traceId;
		this.claim = claim;
		this.resolve = resolve;
	}
}

/** What a dispatcher works with. */
export type DispatcherOptions = {
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly upstreams: UpstreamRegistry;
	readonly claims: Claims;
	readonly metrics?: Metrics | undefined;
	readonly log?: Log | undefined;
	/** Makes the scheduler, which is given the dispatcher's side of the events. */
	readonly createScheduler: (events: SchedulerEvents) => Scheduler;
};

/** The life of all requests of a node. */
export class Dispatcher {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly scheduler: Scheduler;
	/** How requests ended. */
	readonly tierCounts = TierCounts.create();
	readonly #invariants: Invariants;
	readonly #upstreams: UpstreamRegistry;
	readonly #claims: Claims;
	readonly #retryBudget: RetryBudget;
	readonly #clock: Clock;
	readonly #metrics: Metrics | undefined;
	readonly #log: Log | undefined;
	#claimingCount = 0;
	readonly #jobs = new Map<string, RunningJob>();

	private constructor(options: DispatcherOptions) {
		this.#invariants = options.invariants;
		this.#upstreams = options.upstreams;
		this.#claims = options.claims;
		this.#clock = options.clock;
		this.#metrics = options.metrics;
		this.#log = options.log;
		this.#retryBudget = RetryBudget.create(options.clock);
		this.scheduler = options.createScheduler({
			start: (work, upstreamId) => {
				this.#start(work, upstreamId);
			},
			refuse: (work, kind, retryAfterMs) => {
				this.#refuse(work, SchedulerError.create(kind, undefined, retryAfterMs));
			},
		});
	}

	/** Requests that are not answered yet. */
	get inFlightCount(): number {
		return this.#jobs.size + this.#claimingCount;
	}

	/**
	 * Runs a request to its end.
	 *
	 * @returns Resolves when the caller has its whole answer or its error.
	 */
	async run(job: Job): Promise<void> {
		const claim = job.claimRequest === undefined ? undefined : await this.#acquireClaim(job, job.claimRequest);
		if (claim === 'answered') {
			return;
		}

		this.#retryBudget.noteRequest(job.work.customer, job.work.pool);
		await new Promise<void>(resolve => {
			const running = new RunningJob(job, claim, resolve);
			this.#jobs.set(job.work.id, running);
			job.sink.onCallerDisconnect(() => {
				this.#callerLeft(running);
			});
			if (job.sink.isCallerDisconnected) {
				this.#callerLeft(running);
				return;
			}

			this.#submit(running);
		});
	}

	#submit(job: RunningJob): void {
		job.hop = job.trace?.startSpan(SpanName.Queue);
		this.scheduler.submit(job.work);
	}

	async #acquireClaim(job: Job, request: ClaimRequest): Promise<Claim | 'answered'> {
		this.#claimingCount += 1;
		const span = job.trace?.startSpan(SpanName.Claim);
		const decision = await this.#claims.acquire(request);
		this.#claimingCount -= 1;
		endSpan(span, decision.kind === 'refused' ? decision.err.kind : undefined);
		if (decision.kind === 'granted') {
			job.lifecycle.noteClaimHeld();
			return decision.claim;
		}

		if (decision.kind === 'replay') {
			const {status, contentType, body} = decision.answer;
			job.lifecycle.finish();
			job.sink.start(status, {'content-type': contentType, 'idempotency-replayed': 'true'});
			job.sink.write(body);
			job.sink.end();
			this.#report(job, RequestOutcome.Done, undefined, this.#clock.now() <= job.work.deadlineAt);
		} else {
			job.sink.fail(decision.err, job.lifecycle.fail(decision.err));
			this.#report(job, RequestOutcome.Refused, decision.err);
		}

		return 'answered';
	}

	#start(work: Work, upstreamId: string): void {
		const job = this.#jobs.get(work.id);
		const taken = job && this.#upstreams.acquire(upstreamId);
		if (job === undefined || taken === undefined) {
			// The upstream was removed between the decision and now. A task of its own, as the scheduler is still deciding.
			queueMicrotask(() => {
				this.scheduler.noteFinished(work.id, WorkOutcome.ConnectionRefused);
				if (job !== undefined) {
					this.#refuse(work, SchedulerError.create(ErrorKind.NoUpstream));
				}
			});
			return;
		}

		job.attempts += 1;
		job.upstreamId = upstreamId;
		endSpan(job.hop);
		job.hop = job.trace?.startSpan(SpanName.Upstream, {upstream: upstreamId, attempt: job.attempts});
		this.#metrics?.queueWait.record(this.#clock.now() - work.arrivedAt);
		job.relay = Relay.start({
			clock: this.#clock,
			metrics: this.#metrics,
			job,
			claims: this.#claims,
			claim: job.claim,
			invariants: this.#invariants,
			scheduler: this.scheduler,
			client: taken.client,
			upstreamId,
			log: this.#log,
			canResume: taken.upstream.settings.canResume,
			shouldRetry: () => job.lifecycle.isIdempotent && this.#mayRetry(job),
			onOutcome: outcome => {
				taken.release();
				this.#relayEnded(job, upstreamId, outcome);
			},
		});
	}

	#relayEnded(job: RunningJob, upstreamId: string, outcome: RelayOutcome): void {
		const answeredAt = job.relay?.firstPartAt ?? this.#clock.now();
		job.relay = undefined;
		endSpan(job.hop, outcome.err?.kind);
		job.hop = undefined;
		this.scheduler.noteFinished(job.work.id, outcome.workOutcome);
		if (outcome.err === undefined) {
			job.lifecycle.finish();
			this.#end(job, RequestOutcome.Done, undefined, answeredAt <= job.work.deadlineAt);
			return;
		}

		this.#logLoss(job, upstreamId, outcome);
		job.lastErr = outcome.err;
		// A relay ends with an upstream's error answer only after `shouldRetry` granted the retry.
		const isGranted = outcome.workOutcome === WorkOutcome.UpstreamError
			|| (isSafeToRepeat(job, outcome) && this.#mayRetry(job));
		if (isGranted && !job.sink.isCallerDisconnected) {
			job.work = {...job.work, excluded: [...job.work.excluded, upstreamId]};
			this.#submit(job);
			return;
		}

		this.#fail(job, outcome.err);
	}

	/** Whether another attempt may follow; spends the retry budget. */
	#mayRetry(job: RunningJob): boolean {
		const isRepeatable = !(job.request.body instanceof StreamedBody && job.request.body.wasRead);
		return isRepeatable
			&& !job.sink.hasStarted
			&& !job.sink.isCallerDisconnected
			&& job.attempts < MAX_ATTEMPTS
			&& this.#retryBudget.spend(job.work.customer, job.work.pool);
	}

	#refuse(work: Work, err: SchedulerError): void {
		const job = this.#jobs.get(work.id);
		if (job !== undefined) {
			this.#fail(job, err);
		}
	}

	#fail(job: RunningJob, reason: SchedulerError): void {
		// What refuses a further attempt says nothing about the attempt that was sent before.
		const err = job.lifecycle.wasCommitted && reason.answer.ran === Ran.No ? job.lastErr ?? SchedulerError.create(ErrorKind.UpstreamLost) : reason;
		const ran = job.lifecycle.fail(err);
		job.sink.fail(err, ran);
		if (job.claim !== undefined) {
			this.#endClaim(job.claim, job.lifecycle.wasCommitted);
		}

		this.#end(job, job.lifecycle.wasCommitted ? RequestOutcome.Failed : RequestOutcome.Refused, err);
	}

	#endClaim(claim: Claim, wasCommitted: boolean): void {
		if (wasCommitted) {
			this.#claims.abandon(claim);
		} else {
			void this.#claims.release(claim);
		}
	}

	#callerLeft(job: RunningJob): void {
		if (!this.#jobs.has(job.work.id)) {
			return;
		}

		if (job.relay === undefined) {
			this.scheduler.withdraw(job.work.id);
			this.#fail(job, SchedulerError.create(ErrorKind.Canceled));
			return;
		}

		job.relay.callerLeft();
	}

	#end(job: RunningJob, outcome: RequestOutcome, err?: SchedulerError, isInTime = false): void {
		this.#jobs.delete(job.work.id);
		endSpan(job.hop, err?.kind);
		this.#report(job, outcome, err, isInTime);
		job.resolve();
	}

	#logLoss(job: RunningJob, upstream: string, {err, workOutcome}: RelayOutcome): void {
		if (workOutcome === WorkOutcome.Canceled || err === undefined) {
			return;
		}

		this.#log?.warn(err.kind === ErrorKind.AnswerIncomplete ? 'An upstream broke its answer.' : 'An upstream failed.', {
			traceId: job.traceId, dispatchId: job.lifecycle.id, upstream, kind: err.kind, cause: err.message,
		});
	}

	#report(job: Job & {readonly upstreamId?: string | undefined}, outcome: RequestOutcome, err?: SchedulerError, isInTime = false): void {
		job.trace?.end(err?.kind);
		this.#metrics?.countRequest(job.work.tier, outcome);
		this.tierCounts.note(job.work.pool, job.work.tier, outcome, isInTime);
		if (err !== undefined) {
			this.#metrics?.countError(err.kind);
		}

		if (this.#log?.isDebugEnabled) {
			this.#log.debug('Request ended.', {
				traceId: job.traceId, dispatchId: job.lifecycle.id, outcome, kind: err?.kind, tier: job.work.tier, upstream: job.upstreamId,
			});
		}
	}
}

function isSafeToRepeat(job: RunningJob, outcome: RelayOutcome): boolean {
	return outcome.workOutcome === WorkOutcome.ConnectionRefused
		|| (job.lifecycle.isIdempotent && outcome.workOutcome === WorkOutcome.Lost);
}
