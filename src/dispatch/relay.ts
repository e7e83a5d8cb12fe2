/**
 * Sends one request to one upstream and passes its answer on.
 */
import {Buffer} from 'node:buffer';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {type Invariants, PromiseId} from '../base/invariant.js';
import {type Claim, type Claims, MAX_KEPT_ANSWER_BYTES} from '../coordination/claims.js';
import {type Scheduler, WorkOutcome} from '../policy/scheduler.js';
import {Engine, type UpstreamClient} from '../upstream/engine.js';
import {type Exchange, ExchangeHandler, type UpstreamHeaders} from '../upstream/exchange.js';
import {type Job} from './dispatcher.js';

const MAX_RESUMES = 3;
const ERROR_STATUS = 500;
const PARTIAL_STATUS = 200;

/** Hop-by-hop headers of RFC 9110 section 7.6.1, which end at this hop. */
const hopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** How a relay ended; without an error the caller has its whole answer. */
export type RelayOutcome = {
	readonly workOutcome: WorkOutcome;
	readonly err?: SchedulerError;
};

/** What a relay works with. */
export type RelayOptions = {
	readonly job: Job;
	readonly claims: Claims;
	readonly claim: Claim | undefined;
	readonly invariants: Invariants;
	readonly scheduler: Scheduler;
	readonly client: UpstreamClient;
	readonly canResume: boolean;
	readonly onOutcome: (outcome: RelayOutcome) => void;
};

/** One attempt of one request. */
export class Relay extends ExchangeHandler {
	/** Sends the request; `onOutcome` is called once, later. */
	static start(options: RelayOptions): Relay {
		const relay = new Relay(options);
		relay.#exchange = options.client.send(options.job.request, relay);
		return relay;
	}

	readonly #options: RelayOptions;
	readonly #recorded: Uint8Array[] = [];
	#recordedBytes = 0;
	#exchange: Exchange | undefined;
	#status = 0;
	#contentType: string | undefined;
	#received = 0;
	#resumes = 0;
	#hasCallerLeft = false;

	private constructor(options: RelayOptions) {
		super();
		this.#options = options;
	}

	onCommit(): boolean {
		const {job, claim, claims, scheduler} = this.#options;
		if (!job.ticket.commit()) {
			return false;
		}

		if (claim !== undefined && !claims.noteCommitted(claim)) {
			return false;
		}

		scheduler.noteCommitted(job.work.id);
		return true;
	}

	onHeaders(status: number, headers: UpstreamHeaders): void {
		this.#status = status;
		this.#contentType = headers['content-type']?.toString();
		const {job, invariants} = this.#options;
		const echoed = headers['dispatch-id'];
		if (!invariants.check(PromiseId.WholeAnswer, echoed === undefined || echoed === job.ticket.id, 'The answer belongs to another dispatch.')) {
			this.#exchange?.abort();
			return;
		}

		if (!this.#hasCallerLeft) {
			job.sink.start(status, endToEndHeaders(headers));
		}
	}

	onData(chunk: Uint8Array): boolean {
		const {job, scheduler} = this.#options;
		this.#received += chunk.byteLength;
		scheduler.noteProgress(job.work.id, 1);
		this.#record(chunk);
		if (this.#hasCallerLeft || job.sink.write(chunk)) {
			return true;
		}

		job.sink.onDrain(() => this.#exchange?.resume());
		return false;
	}

	onEnd(): void {
		void this.#complete();
	}

	onError(err: SchedulerError, wasSent: boolean): void {
		if (wasSent && this.#canResume()) {
			this.#resume();
			return;
		}

		const brokeOff = wasSent && this.#options.job.sink.hasStarted;
		this.#options.onOutcome({
			workOutcome: outcomeOf(err, wasSent),
			err: brokeOff ? SchedulerError.create(ErrorKind.AnswerIncomplete) : err,
		});
	}

	/** The caller went away. A keyed request goes on, as its answer is recorded for the caller's repeat. */
	callerLeft(): void {
		this.#hasCallerLeft = true;
		if (this.#options.claim === undefined) {
			this.#exchange?.abort();
		} else {
			this.#exchange?.resume();
		}
	}

	#record(chunk: Uint8Array): void {
		if (this.#options.claim?.request.keepsAnswer) {
			this.#recordedBytes += chunk.byteLength;
			if (this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES) {
				this.#recorded.push(chunk);
			}
		}
	}

	async #complete(): Promise<void> {
		const {job, claim, claims} = this.#options;
		if (claim !== undefined) {
			const isWhole = claim.request.keepsAnswer && this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES;
			await claims.complete(claim, isWhole
				? {status: this.#status, contentType: this.#contentType, body: Buffer.concat(this.#recorded)}
				: undefined);
		}

		if (!this.#hasCallerLeft) {
			job.sink.end();
		}

		this.#options.onOutcome({workOutcome: this.#status >= ERROR_STATUS ? WorkOutcome.UpstreamError : WorkOutcome.Done});
	}

	#canResume(): boolean {
		const {client, canResume} = this.#options;
		return canResume
			&& client instanceof Engine
			&& this.#status === PARTIAL_STATUS
			&& this.#resumes < MAX_RESUMES
			&& !this.#hasCallerLeft;
	}

	#resume(): void {
		const {client, job} = this.#options;
		this.#resumes += 1;
		this.#exchange = (client as Engine).resume(job.ticket.id, this.#received, job.request.idleTimeoutMs, new ResumedHandler(this, job.ticket.id));
	}
}

/** Passes the rest of a resumed answer to its relay; nothing is committed again. */
class ResumedHandler extends ExchangeHandler {
	readonly #relay: Relay;
	readonly #dispatchId: string;
	#isRefused = false;

	constructor(relay: Relay, dispatchId: string) {
		super();
		this.#relay = relay;
		this.#dispatchId = dispatchId;
	}

	onCommit(): boolean {
		return true;
	}

	onHeaders(status: number, headers: UpstreamHeaders): void {
		this.#isRefused = status !== PARTIAL_STATUS || headers['dispatch-id'] !== this.#dispatchId;
	}

	onData(chunk: Uint8Array): boolean {
		return this.#isRefused || this.#relay.onData(chunk);
	}

	onEnd(): void {
		if (this.#isRefused) {
			this.#relay.onError(SchedulerError.create(ErrorKind.AnswerIncomplete), true);
		} else {
			this.#relay.onEnd();
		}
	}

	onError(err: SchedulerError): void {
		this.#relay.onError(err, true);
	}
}

function endToEndHeaders(headers: UpstreamHeaders): UpstreamHeaders {
	return Object.fromEntries(Object.entries(headers).filter(([name]) => !hopHeaders.has(name)));
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
