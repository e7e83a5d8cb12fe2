/**
 * Takes requests from the callers' interface through claim, queue, upstream and answer.
 */
import {type Clock} from '../base/clock.js';
import {ErrorKind, Ran, SchedulerError} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {type Claim, type ClaimRequest, type Claims} from '../coordination/claims.js';
import {RetryBudget} from '../policy/retry-budget.js';
import {
	type Scheduler, type SchedulerEvents, type Work, WorkOutcome,
} from '../policy/scheduler.js';
import {StreamedBody, type UpstreamRequest} from '../upstream/exchange.js';
import {type UpstreamRegistry} from '../upstream/registry.js';
import {type AnswerSink} from './answer-sink.js';
import {Relay, type RelayOutcome} from './relay.js';
import {type Ticket} from './ticket.js';

const MAX_ATTEMPTS = 3;

/** One request with all that is needed to run it. */
export type Job = {
	readonly ticket: Ticket;
	readonly work: Work;
	readonly request: UpstreamRequest;
	/** Present for requests with an idempotency key. */
	readonly claimRequest: ClaimRequest | undefined;
	readonly sink: AnswerSink;
};

type RunningJob = Omit<Job, 'work'> & {
	work: Work;
	attempts: number;
	claim: Claim | undefined;
	relay: Relay | undefined;
	/** Why the last attempt failed. */
	lastErr: SchedulerError | undefined;
	readonly resolve: () => void;
};

/** What a dispatcher works with. */
export type DispatcherOptions = {
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly upstreams: UpstreamRegistry;
	readonly claims: Claims;
	/** Makes the scheduler, which is given the dispatcher's side of the events. */
	readonly createScheduler: (events: SchedulerEvents) => Scheduler;
};

/** The life of all requests of a node. */
export class Dispatcher {
	static create(options: DispatcherOptions): Dispatcher {
		return new Dispatcher(options);
	}

	readonly scheduler: Scheduler;
	readonly #invariants: Invariants;
	readonly #upstreams: UpstreamRegistry;
	readonly #claims: Claims;
	readonly #retryBudget: RetryBudget;
	readonly #jobs = new Map<string, RunningJob>();

	private constructor(options: DispatcherOptions) {
		this.#invariants = options.invariants;
		this.#upstreams = options.upstreams;
		this.#claims = options.claims;
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
		return this.#jobs.size;
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
			const running: RunningJob = {
				...job, attempts: 0, claim, relay: undefined, lastErr: undefined, resolve,
			};
			this.#jobs.set(job.work.id, running);
			job.sink.onCallerLeft(() => {
				this.#callerLeft(running);
			});
			if (job.sink.hasCallerLeft) {
				this.#callerLeft(running);
				return;
			}

			this.scheduler.submit(job.work);
		});
	}

	async #acquireClaim(job: Job, request: ClaimRequest): Promise<Claim | 'answered'> {
		const decision = await this.#claims.acquire(request);
		if (decision.kind === 'granted') {
			job.ticket.noteClaimHeld();
			return decision.claim;
		}

		if (decision.kind === 'replay') {
			const {status, contentType, body} = decision.answer;
			job.ticket.finish();
			job.sink.start(status, {'content-type': contentType, 'idempotency-replayed': 'true'});
			job.sink.write(body);
			job.sink.end();
		} else {
			job.sink.fail(decision.err, job.ticket.fail(decision.err));
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
		job.relay = Relay.start({
			job,
			claims: this.#claims,
			claim: job.claim,
			invariants: this.#invariants,
			scheduler: this.scheduler,
			client: taken.client,
			canResume: taken.upstream.settings.canResume,
			shouldRetry: () => job.ticket.isIdempotent && this.#mayRetry(job),
			onOutcome: outcome => {
				taken.release();
				this.#relayEnded(job, upstreamId, outcome);
			},
		});
	}

	#relayEnded(job: RunningJob, upstreamId: string, outcome: RelayOutcome): void {
		job.relay = undefined;
		this.scheduler.noteFinished(job.work.id, outcome.workOutcome);
		if (outcome.err === undefined) {
			job.ticket.finish();
			this.#end(job);
			return;
		}

		job.lastErr = outcome.err;
		// A relay ends with an upstream's error answer only after `shouldRetry` granted the retry.
		const isGranted = outcome.workOutcome === WorkOutcome.UpstreamError
			|| (isSafeToRepeat(job, outcome) && this.#mayRetry(job));
		if (isGranted && !job.sink.hasCallerLeft) {
			job.work = {...job.work, excluded: [...job.work.excluded, upstreamId]};
			this.scheduler.submit(job.work);
			return;
		}

		this.#fail(job, outcome.err);
	}

	/** Whether another attempt may follow; spends the retry budget. */
	#mayRetry(job: RunningJob): boolean {
		const isRepeatable = !(job.request.body instanceof StreamedBody && job.request.body.wasRead);
		return isRepeatable
			&& !job.sink.hasStarted
			&& !job.sink.hasCallerLeft
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
		const err = job.ticket.wasCommitted && reason.answer.ran === Ran.No ? job.lastErr ?? SchedulerError.create(ErrorKind.UpstreamLost) : reason;
		const ran = job.ticket.fail(err);
		job.sink.fail(err, ran);
		this.#settleClaim(job);

		this.#end(job);
	}

	#settleClaim(job: RunningJob): void {
		if (job.claim === undefined) {
			return;
		}

		if (job.ticket.wasCommitted) {
			// Without an answer, but no longer in progress: repeats are told so at once.
			void this.#claims.complete(job.claim, undefined);
		} else {
			void this.#claims.release(job.claim);
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

	#end(job: RunningJob): void {
		this.#jobs.delete(job.work.id);
		job.resolve();
	}
}

function isSafeToRepeat(job: RunningJob, outcome: RelayOutcome): boolean {
	return outcome.workOutcome === WorkOutcome.ConnectionRefused
		|| (job.ticket.isIdempotent && outcome.workOutcome === WorkOutcome.Lost);
}
