/**
 * The life of one request at its VM: asks for a place, sends it, passes the answer on, repeats where that is allowed,
 * and answers for itself otherwise. All rules about what may be repeated are kept here, whoever allocates.
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Allocation, type PlaceRequest, emptyReport, type PlaceReport,
} from '../allocation/allocation.js';
import {type Clock, type Timer} from '../base/clock.js';
import {errorAnswers, ErrorKind, Ran} from '../base/errors.js';
import {type Log} from '../base/log.js';
import {type Metrics, RequestOutcome} from '../base/metrics.js';
import {endToEndHeaders} from '../dispatch/hop-headers.js';
import {type ResponseHead, type CallCodec, type CallHead} from './call-codec.js';
import {type DeploymentState} from './deployment-state.js';
import {EventSplitter} from './event-splitter.js';
import {Ending, mayRepeat, provenBy} from './exchange-ending.js';
import {writeOwnAnswer} from './own-answer.js';
import {Operation, type Route} from './routing-table.js';
import {type Upstream} from './upstream-list.js';
import {UpstreamExchange} from './upstream-exchange.js';
import {type UpstreamPauses} from './upstream-pauses.js';

/** Connections that may fail before a request is refused; no byte was sent on them. */
const MAX_CONNECT_FAILURES = 3;
/**
 * Silence of a begun stream after which it goes on at another upstream, in ms. Engines pause for some hundred ms while
 * they read long prompts; callers leave after two seconds and more.
 */
const STREAM_STALL_MS = 1400;
/**
 * A stream that has not begun is sent elsewhere after this time in ms and this many times the expected one. A dark
 * engine is found while the caller still waits; one that is only busy is not left.
 */
const FIRST_STALL_MS = 500;
const FIRST_STALL_EXPECTATIONS = 3;
/** Objectives of silence after which a plain request that may run twice is sent to another upstream. */
const PLAIN_STALL_OBJECTIVES = 2.2;
/** How much later than the time limit the upstream's own answer about it is awaited, in ms. */
const TIME_LIMIT_GRACE_MS = 120;
/** Callers leave a stream that has not begun after the longest of these: a time in ms, objectives, longest pauses. */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_PAUSES = 8;
/** Shortest time that a request is sent with, in ms; below it no answer can come back. */
const MIN_SEND_MS = 20;
const OK_STATUS = 200;
const FIRST_ERROR_STATUS = 400;
/** Longest answer to a failed request that is kept while another upstream tries, in bytes. */
const MAX_KEPT_BYTES = 262_144;
/** Longest answer that is collected before it is passed on, in bytes; a VM has some hundred MB for all requests. */
const MAX_COLLECTED_BYTES = 8_388_608;

/** What all requests of a VM share. */
export type ForwardingContext = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly state: DeploymentState;
	readonly allocation: Allocation;
	readonly pauses: UpstreamPauses;
	readonly codec: CallCodec;
	readonly dataCentre: string;
	readonly region: string;
	/** Makes IDs of asks, unique over all VMs and their restarts. */
	readonly nextAskId: () => string;
};

/** A request that was read whole and is allowed. */
export type Call = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly head: CallHead;
	readonly route: Route;
	readonly pool: string;
	readonly customer: string | undefined;
	/** Rank of customer and route together. */
	readonly rank: number;
	readonly quotaCost: number;
	readonly outputEvents: number;
	readonly body: Uint8Array | undefined;
	readonly fingerprint: string;
	readonly arrivedAt: number;
};

type Attempt = {
	readonly askId: string;
	readonly upstream: Upstream;
	exchange: UpstreamExchange | undefined;
	readonly expectedFirstMs: number;
	sentAt: number;
	firstAt: number | undefined;
	lastAt: number;
	events: number;
	load: number | undefined;
};

/** A whole error answer of an upstream, which the caller gets unless another upstream does better. */
type KeptAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** One request. */
export class Forwarding {
	static start(context: ForwardingContext, call: Call): Forwarding {
		const forwarding = new Forwarding(context, call);
		forwarding.#begin();
		return forwarding;
	}

	readonly #context: ForwardingContext;
	readonly #call: Call;
	readonly #limitAt: number;
	readonly #excluded: string[] = [];
	/** Finds the events of a stream; of a resumable one, only whole events are passed on. */
	readonly #splitter = EventSplitter.create();
	readonly #isResumable: boolean;
	#askId: string | undefined;
	#askedAt = 0;
	#attempt: Attempt | undefined;
	#sentCount = 0;
	/** A place was granted, so that the quota has paid. */
	#isGranted = false;
	#connectFailures = 0;
	#status = 0;
	#headers: IncomingHttpHeaders = {};
	#chunks: Uint8Array[] = [];
	#collectedBytes = 0;
	#kept: KeptAnswer | undefined;
	#mayHaveRun = false;
	#isStreaming = false;
	#isDone = false;
	#lastEnding: Ending | undefined;
	#lastDetail = '';
	#limitTimer: Timer | undefined;
	#stallTimer: Timer | undefined;

	private constructor(context: ForwardingContext, call: Call) {
		this.#context = context;
		this.#call = call;
		const {route, head, arrivedAt} = call;
		this.#limitAt = arrivedAt + Math.min(route.timeoutMs, head.patienceMs ?? route.timeoutMs);
		this.#isResumable = route.operation === Operation.Stream && route.isResumable;
		this.#splitter.lastId = head.lastEventId;
	}

	#begin(): void {
		const {clock} = this.#context;
		this.#limitTimer = clock.setTimer(Math.max(0, this.#limitAt - clock.now()) + TIME_LIMIT_GRACE_MS, () => {
			this.#onLimit();
		});
		this.#call.res.once('close', () => {
			this.#onCallerClosed();
		});
		this.#ask();
	}

	#ask(): void {
		const {
			clock, allocation, state, pauses, nextAskId, dataCentre, region,
		} = this.#context;
		const {head, route, pool, customer, rank, quotaCost, outputEvents, arrivedAt, fingerprint} = this.#call;
		const now = clock.now();
		const askId = nextAskId();
		this.#askId = askId;
		this.#askedAt = now;
		const ask: PlaceRequest = {
			id: askId,
			requestId: head.id,
			pool,
			customer,
			rank,
			operation: route.operation,
			promptTokens: head.generation?.promptTokens ?? 0,
			outputEvents,
			quotaCost,
			isCharged: this.#isGranted && this.#sentCount === 0,
			objectiveMs: Math.round(arrivedAt + route.objectiveMs - now),
			remainingMs: Math.round(this.#limitAt - now),
			patienceMs: Math.round(Math.min(this.#limitAt, arrivedAt + patienceOf(route)) - now),
			callerLeavesMs: Math.round(arrivedAt + (head.patienceMs ?? route.timeoutMs) - now),
			maxPauseMs: route.maxPauseMs ?? 0,
			dataCentre,
			region,
			attempt: this.#sentCount + 1,
			excluded: [...this.#excluded, ...pauses.idsOf(state.upstreams)],
			fingerprint,
		};
		allocation.ask(ask, {
			grant: (upstreamId, expectedFirstMs) => {
				this.#askId = undefined;
				this.#onGranted(askId, upstreamId, expectedFirstMs);
			},
			refuse: (kind, retryAfterMs) => {
				this.#askId = undefined;
				this.#onRefused(kind, retryAfterMs);
			},
		});
	}

	#onGranted(askId: string, upstreamId: string, expectedFirstMs: number): void {
		const {
			clock, allocation, state, pauses, codec, metrics,
		} = this.#context;
		const {req, head, customer, body} = this.#call;
		const now = clock.now();
		this.#isGranted = true;
		if (this.#sentCount === 0) {
			metrics.queueWait.record(now - this.#askedAt);
		}

		const upstream = state.upstreams.get(upstreamId);
		if (upstream === undefined || upstream.isLeaving || upstream.pool !== this.#call.pool) {
			allocation.release(askId, emptyReport(Ending.Cancelled));
			this.#excluded.push(upstreamId);
			this.#connectFailures += 1;
			this.#lastEnding ??= Ending.NotConnected;
			this.#again(Ending.NotConnected);
			return;
		}

		if (pauses.remainingMs(upstream) > 0) {
			// It asked for the pause after this request had asked for a place.
			allocation.release(askId, emptyReport(Ending.Cancelled));
			this.#ask();
			return;
		}

		const remainingMs = this.#limitAt - now;
		if (remainingMs < MIN_SEND_MS) {
			allocation.release(askId, emptyReport(Ending.Cancelled));
			this.#fail(ErrorKind.DeadlineUnreachable);
			return;
		}

		const attempt: Attempt = {
			askId, upstream, exchange: undefined, expectedFirstMs, sentAt: now, firstAt: undefined, lastAt: now, events: 0, load: undefined,
		};
		this.#attempt = attempt;
		this.#chunks = [];
		this.#collectedBytes = 0;
		attempt.exchange = UpstreamExchange.start(clock, {
			address: upstream.address,
			method: req.method!,
			target: req.url!,
			headers: codec.encode(req, {
				upstreamId,
				customer,
				remainingMs,
				bodyBytes: body?.length,
				lastEventId: this.#isResumable ? this.#splitter.lastId : head.lastEventId,
			}),
			body,
		}, {
			onSending: () => {
				attempt.sentAt = clock.now();
				this.#sentCount += 1;
				this.#watchStall(attempt);
			},
			onHead: (status, headers) => {
				this.#onHead(attempt, status, headers);
			},
			onData: chunk => {
				this.#onData(attempt, chunk);
			},
			onEnd: () => {
				this.#onEnd(attempt);
			},
			onFail: (ending, detail) => {
				this.#onFail(attempt, ending, detail);
			},
		});
	}

	#onHead(attempt: Attempt, status: number, headers: IncomingHttpHeaders): void {
		const {codec} = this.#context;
		const answer = codec.decodeResponse(status, headers, this.#call.head);
		attempt.load = answer.load === undefined ? undefined : answer.load.running + answer.load.waiting;
		this.#noteUpstream(attempt.upstream, answer);
		const isSuccess = status >= OK_STATUS && status < FIRST_ERROR_STATUS;
		if (answer.isOtherUpstream) {
			this.#breakOff(attempt, Ending.OtherUpstream, 'another upstream has the address');
		} else if (answer.isNotRun) {
			this.#breakOff(attempt, Ending.NotRun, `upstream answered ${status}, not run`);
		} else if (!answer.isForRequest || answer.isAltered || (isSuccess && !answer.isSigned)) {
			this.#breakOff(attempt, Ending.Spoiled, 'answer is not the upstream\'s to this request');
		} else {
			this.#status = status;
			this.#headers = headers;
		}
	}

	/** Takes what an answer says of the upstream itself, whatever becomes of the answer. */
	#noteUpstream(upstream: Upstream, {isLeaving, retryAfter}: ResponseHead): void {
		const {state, pauses} = this.#context;
		if (isLeaving && !upstream.isLeaving) {
			state.noteLeaving([upstream]);
		}

		if (retryAfter !== undefined) {
			pauses.note(upstream, retryAfter);
		}
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		if (this.#call.route.operation !== Operation.Stream || this.#status >= FIRST_ERROR_STATUS) {
			this.#noteProgress(attempt);
			this.#collect(attempt, chunk);
			return;
		}

		const events = this.#splitter.push(chunk);
		if (this.#splitter.isFlooded) {
			this.#breakOff(attempt, Ending.Flooded, 'event without end');
			return;
		}

		// Bytes now and then that complete no event are no progress.
		if (events.count > 0) {
			attempt.events += events.count;
			this.#noteProgress(attempt);
			this.#watchStall(attempt);
		}

		const bytes = this.#isResumable ? events.bytes : chunk;
		if (bytes.length === 0) {
			return;
		}

		this.#beginStream();
		if (!this.#call.res.write(bytes)) {
			attempt.exchange?.pause();
			this.#call.res.once('drain', () => {
				attempt.exchange?.resume();
			});
		}
	}

	#noteProgress(attempt: Attempt): void {
		const now = this.#context.clock.now();
		attempt.lastAt = now;
		if (attempt.firstAt === undefined) {
			attempt.firstAt = now;
			this.#noteFirst(attempt);
		}
	}

	#collect(attempt: Attempt, chunk: Uint8Array): void {
		this.#collectedBytes += chunk.length;
		if (this.#collectedBytes > MAX_COLLECTED_BYTES) {
			this.#breakOff(attempt, Ending.Flooded, 'answer without end');
		} else {
			this.#chunks.push(chunk);
		}
	}

	#onEnd(attempt: Attempt): void {
		const isError = this.#status >= FIRST_ERROR_STATUS;
		this.#leave(attempt, isError ? Ending.UpstreamError : Ending.Answered);
		if (this.#call.route.operation === Operation.Stream && !isError) {
			this.#beginStream();
			if (this.#isResumable && this.#splitter.pendingBytes > 0) {
				this.#lastDetail = 'stream ended within an event';
				this.#again(Ending.Spoiled);
				return;
			}

			this.#call.res.end();
			this.#finish(RequestOutcome.Done, Ending.Answered);
			return;
		}

		const answer: KeptAnswer = {status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks)};
		if (isError && answer.body.length <= MAX_KEPT_BYTES && this.#mayTryAgain(Ending.UpstreamError)) {
			this.#kept = answer;
			this.#again(Ending.UpstreamError);
			return;
		}

		if (this.#isStreaming) {
			this.#kept = undefined;
			this.#fail(ErrorKind.AnswerIncomplete);
			return;
		}

		this.#deliver(answer);
		this.#finish(isError ? RequestOutcome.Failed : RequestOutcome.Done, isError ? Ending.UpstreamError : Ending.Answered);
	}

	#onFail(attempt: Attempt, ending: Ending, detail: string): void {
		this.#lastDetail = detail;
		this.#leave(attempt, ending);
		if (ending === Ending.NotConnected) {
			this.#connectFailures += 1;
		}

		this.#again(ending);
	}

	/** Ends an exchange whose answer is of no use. */
	#breakOff(attempt: Attempt, ending: Ending, detail: string): void {
		attempt.exchange?.abort();
		this.#onFail(attempt, ending, detail);
	}

	/** Frees the place of an exchange that has ended. */
	#leave(attempt: Attempt, ending: Ending): void {
		this.#stallTimer?.cancel();
		if (this.#attempt !== attempt) {
			return;
		}

		this.#attempt = undefined;
		this.#lastEnding = ending;
		if (ending !== Ending.Answered && ending !== Ending.Cancelled) {
			this.#excluded.push(attempt.upstream.id);
		}

		if (provenBy[ending] !== Ran.No) {
			this.#mayHaveRun = true;
		}

		const report: PlaceReport = {
			ending,
			firstMs: attempt.firstAt === undefined || ending !== Ending.Answered ? undefined : attempt.firstAt - attempt.sentAt,
			streamMs: attempt.firstAt === undefined ? 0 : attempt.lastAt - attempt.firstAt,
			events: this.#isStreaming ? attempt.events : 0,
			load: attempt.load,
		};
		this.#context.allocation.release(attempt.askId, report);
		if (ending !== Ending.Answered) {
			this.#context.log.info('Exchange failed.', {
				request: this.#call.head.id, upstream: attempt.upstream.id, ending, detail: this.#lastDetail, sent: this.#sentCount, status: this.#status,
			});
		}
	}

	#mayTryAgain(ending: Ending): boolean {
		const {clock} = this.#context;
		const {route} = this.#call;
		if (this.#limitAt - clock.now() < MIN_SEND_MS || !mayRepeat(ending, route.operation, route.isResumable)) {
			return false;
		}

		return ending === Ending.NotConnected ? this.#connectFailures <= MAX_CONNECT_FAILURES : this.#sentCount < route.maxAttempts;
	}

	#again(ending: Ending): void {
		if (this.#isDone) {
			return;
		}

		if (this.#mayTryAgain(ending)) {
			this.#splitter.reset();
			this.#ask();
			return;
		}

		this.#giveUp(ending);
	}

	/** Answers with what is known after the last attempt. */
	#giveUp(ending: Ending): void {
		if (ending === Ending.TimedOut) {
			this.#fail(ErrorKind.UpstreamTimeout);
		} else if (this.#mayHaveRun) {
			this.#fail(this.#isStreaming ? ErrorKind.AnswerIncomplete : ErrorKind.UpstreamLost);
		} else {
			this.#fail(ErrorKind.NoUpstream);
		}
	}

	#onRefused(kind: ErrorKind, retryAfterMs: number): void {
		if (this.#mayHaveRun) {
			this.#giveUp(this.#lastEnding ?? Ending.Lost);
		} else {
			this.#fail(kind, kind === ErrorKind.NoUpstream ? Math.max(retryAfterMs, this.#shortestPauseMs()) : retryAfterMs);
		}
	}

	/** @returns Until the first upstream of the pool may be asked again, where all of them want to be spared, in ms. */
	#shortestPauseMs(): number {
		const {state, pauses} = this.#context;
		const usable = state.upstreams.all.filter(upstream => upstream.pool === this.#call.pool && !upstream.isLeaving);
		return usable.length === 0 ? 0 : Math.min(...usable.map(upstream => pauses.remainingMs(upstream)));
	}

	#onLimit(): void {
		if (this.#askId !== undefined) {
			this.#context.allocation.withdraw(this.#askId);
			this.#askId = undefined;
			this.#fail(this.#mayHaveRun ? ErrorKind.UpstreamTimeout : ErrorKind.DeadlineUnreachable);
			return;
		}

		const attempt = this.#attempt;
		if (attempt !== undefined) {
			const ending = attempt.exchange?.isSent === true ? Ending.TimedOut : Ending.NotConnected;
			attempt.exchange?.abort();
			this.#lastDetail = 'time limit reached';
			this.#leave(attempt, ending);
		}

		this.#fail(this.#mayHaveRun ? ErrorKind.UpstreamTimeout : ErrorKind.DeadlineUnreachable);
	}

	#onCallerClosed(): void {
		if (this.#isDone) {
			return;
		}

		if (this.#askId !== undefined) {
			this.#context.allocation.withdraw(this.#askId);
			this.#askId = undefined;
		}

		const attempt = this.#attempt;
		if (attempt !== undefined) {
			attempt.exchange?.abort();
			this.#lastDetail = 'caller left';
			this.#leave(attempt, Ending.Cancelled);
		}

		this.#finish(RequestOutcome.Failed, Ending.Cancelled);
	}

	/** Sends a silent exchange to another upstream, where that is allowed. */
	#watchStall(attempt: Attempt): void {
		const {clock} = this.#context;
		const {route} = this.#call;
		this.#stallTimer?.cancel();
		const stallMs = stallOf(route, attempt);
		this.#stallTimer = clock.setTimer(stallMs, () => {
			if (this.#attempt === attempt && this.#mayTryAgain(Ending.Stalled)) {
				this.#breakOff(attempt, Ending.Stalled, `silent for ${Math.round(stallMs)} ms`);
			}
		});
	}

	#noteFirst(attempt: Attempt): void {
		const {allocation, metrics} = this.#context;
		const firstMs = attempt.firstAt! - attempt.sentAt;
		if (this.#call.route.operation === Operation.Stream && this.#status < FIRST_ERROR_STATUS) {
			allocation.noteFirst(attempt.askId, firstMs);
			metrics.timeToFirstToken.record(attempt.firstAt! - this.#call.arrivedAt);
		}
	}

	/** The head goes out with the first event: until then the request can still be answered in another way. */
	#beginStream(): void {
		if (!this.#isStreaming) {
			this.#isStreaming = true;
			this.#call.res.writeHead(this.#status, endToEndHeaders(this.#headers));
		}
	}

	#deliver({status, headers, body}: KeptAnswer): void {
		const passed = endToEndHeaders(headers, ['content-length']);
		const hasBody = status !== 204 && status !== 304;
		this.#call.res.writeHead(status, hasBody ? {...passed, 'content-length': String(body.length)} : passed);
		this.#call.res.end(hasBody ? body : undefined);
	}

	/** Answers for the system, or with what an upstream answered before. */
	#fail(kind: ErrorKind, retryAfterMs?: number): void {
		if (this.#isDone) {
			return;
		}

		const {codec, metrics, log} = this.#context;
		const {res, head} = this.#call;
		if (this.#isStreaming) {
			res.destroy();
			this.#finish(RequestOutcome.Failed, this.#lastEnding ?? Ending.Lost, kind);
			return;
		}

		if (this.#kept !== undefined) {
			this.#deliver(this.#kept);
			this.#finish(RequestOutcome.Failed, Ending.UpstreamError);
			return;
		}

		metrics.countError(kind);
		const answer = errorAnswers[kind];
		const waitMs = retryAfterMs ?? answer.retryAfterMs;
		log.info('Request answered for the system.', {
			request: head.id, kind, ran: answer.ran, retryAfterMs: waitMs === undefined ? undefined : Math.round(waitMs), afterMs: Math.round(this.#context.clock.now() - this.#call.arrivedAt),
		});
		writeOwnAnswer(res, codec, head, kind, waitMs);
		this.#finish(answer.ran === Ran.No ? RequestOutcome.Refused : RequestOutcome.Failed, this.#lastEnding, kind);
	}

	#finish(outcome: RequestOutcome, ending: Ending | undefined, kind?: ErrorKind): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		this.#limitTimer?.cancel();
		this.#stallTimer?.cancel();
		const {clock, log, metrics} = this.#context;
		const {head, route, pool, customer, arrivedAt, rank} = this.#call;
		metrics.countRequest(rank, outcome);
		log.info('Request ended.', {
			request: head.id,
			route: route.name,
			pool,
			customer,
			outcome,
			ending,
			kind,
			status: this.#status,
			attempts: this.#sentCount,
			upstreams: this.#excluded.join(',') || undefined,
			ms: Math.round(clock.now() - arrivedAt),
		});
	}
}

/** @returns How long a caller waits for the first event of a stream, in ms; other callers wait for their time limit. */
function patienceOf({operation, objectiveMs, maxPauseMs}: Route): number {
	return operation === Operation.Stream
		? Math.max(MIN_PATIENCE_MS, PATIENCE_OBJECTIVES * objectiveMs, PATIENCE_PAUSES * (maxPauseMs ?? 0))
		: Number.POSITIVE_INFINITY;
}

/** @returns Silence after which an exchange counts as stalled, in ms. */
function stallOf({operation, objectiveMs}: Route, {firstAt, expectedFirstMs}: Attempt): number {
	if (operation !== Operation.Stream) {
		return PLAIN_STALL_OBJECTIVES * objectiveMs;
	}

	return firstAt === undefined ? FIRST_STALL_MS + (FIRST_STALL_EXPECTATIONS * expectedFirstMs) : STREAM_STALL_MS;
}
