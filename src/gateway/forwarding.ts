/**
 * Forwards one request: obtains an upstream from the allocator, sends the request, relays the response, retries where
 * allowed, and otherwise responds with an error. All retry rules are applied here, whichever VM allocates.
 */
import {type IncomingHttpHeaders, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Allocation, type PlaceRequest, emptyReport, type PlaceReport,
} from '../allocation/allocation.js';
import {type StatedPace} from '../allocation/momentary-pace.js';
import {type Clock, type Timer} from '../base/clock.js';
import {errorAnswers, ErrorKind, Ran} from '../base/errors.js';
import {type Log} from '../base/log.js';
import {type MemoryAccount} from '../base/memory-account.js';
import {
	type Metrics, RequestEnd, RequestOutcome,
} from '../base/metrics.js';
import {endToEndHeaders} from '../dispatch/hop-headers.js';
import {type Quarantine} from '../policy/quarantine.js';
import {type CallCodec, type CallHead} from './call-codec.js';
import {type DeploymentState} from './deployment-state.js';
import {continuesEventStream, EventSplitter} from './event-splitter.js';
import {
	Ending, mayRetry, ranByEnding,
} from './exchange-ending.js';
import {writeErrorResponse} from './error-response.js';
import {type Decision, type LedgerEntry, type RequestLedger} from './request-ledger.js';
import {DEADLINE_GRACE_MS, requestDeadline} from './request-deadline.js';
import {type BufferedResponse, ResponseDelivery, type ResponseFlow} from './response-delivery.js';
import {findResponseFault} from './response-fault.js';
import {Operation, type Route} from './routing-table.js';
import {callerPatienceMs, stallTimeoutMs} from './stall-timeout.js';
import {type Upstream} from './upstream-list.js';
import {type ExchangeEvents, UpstreamExchange} from './upstream-exchange.js';
import {applyNotices} from './upstream-notices.js';
import {type UpstreamPauses} from './upstream-pauses.js';

/** Number of connections that may fail before a request is rejected; no byte was sent on them. */
const MAX_CONNECT_FAILURES = 3;
/** Minimum remaining time to send a request, in ms; with less, no response can arrive in time. */
const MIN_SEND_BUDGET_MS = 20;
const FIRST_ERROR_STATUS = 400;
/** Maximum size of an error response that is kept while another upstream is tried, in bytes. */
const MAX_FALLBACK_BYTES = 262_144;
/** Maximum number of prompt parts in one log line. */
const MAX_LOGGED_PARTS = 8;

/** Dependencies shared by all requests of a VM. */
export type ForwardingContext = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly state: DeploymentState;
	readonly allocation: Allocation;
	readonly pauses: UpstreamPauses;
	readonly quarantine: Quarantine;
	readonly ledger: RequestLedger;
	readonly memory: MemoryAccount;
	/** Requests that are not answered completely yet. */
	readonly running: Set<Forwarding>;
	readonly codec: CallCodec;
	readonly dataCentre: string;
	readonly region: string;
	/** Generates allocation request IDs that are unique across all VMs and their restarts. */
	readonly nextAskId: () => string;
};

/** A completely read and authorized request. */
export type Call = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly entry: LedgerEntry;
	readonly head: CallHead;
	readonly route: Route;
	readonly pool: string;
	readonly customer: string | undefined;
	/** Combined rank of customer and route. */
	readonly rank: number;
	readonly quotaCost: number;
	readonly outputEvents: number;
	readonly body: Uint8Array | undefined;
	readonly fingerprint: string;
	/** The fingerprint and the parts of the prompt, as in `policy/features`. */
	readonly features: readonly string[];
	readonly arrivedAt: number;
};

type Attempt = {
	readonly askId: string;
	readonly upstream: Upstream;
	exchange: UpstreamExchange | undefined;
	readonly expectedFirstMs: number;
	sentAt: number;
	firstProgressAt: number | undefined;
	lastProgressAt: number;
	events: number;
	load: number | undefined;
	/** The pace that the upstream stated, and when. */
	pace: {readonly factor: number; readonly at: number} | undefined;
};

/** State of one request while it is forwarded. */
export class Forwarding {
	static start(context: ForwardingContext, call: Call): Forwarding {
		const forwarding = new Forwarding(context, call);
		forwarding.#begin();
		return forwarding;
	}

	readonly #context: ForwardingContext;
	readonly #call: Call;
	readonly #deadlineAt: number;
	readonly #excluded: string[] = [];
	/** Splits a stream into events; of a resumable stream, only complete events are relayed. */
	readonly #splitter = EventSplitter.create();
	readonly #isResumable: boolean;
	#askId: string | undefined;
	#askedAt = 0;
	#attempt: Attempt | undefined;
	/** Connects to another upstream while the exchange of the current attempt makes no progress; nothing was sent on it. */
	#reserve: Attempt | undefined;
	#sentCount = 0;
	/** The allocator granted an upstream, so the request was charged to the quota. */
	#isGranted = false;
	#connectFailures = 0;
	#status = 0;
	#headers: IncomingHttpHeaders = {};
	readonly #delivery: ResponseDelivery;
	/** Error response of an upstream, which the caller gets unless a later attempt succeeds. */
	#fallback: BufferedResponse | undefined;
	#mayHaveRun = false;
	#isStreaming = false;
	/** Number of events from all upstreams. */
	#eventCount = 0;
	/** The caller has not taken what was sent to it. */
	#isPaused = false;
	/** When the caller began to wait for the first or the next event. */
	#waitsSince: number;
	#isDone = false;
	#lastEnding: Ending | undefined;
	#lastDetail = '';
	#deadlineTimer: Timer | undefined;
	#stallTimer: Timer | undefined;

	private constructor(context: ForwardingContext, call: Call) {
		this.#context = context;
		this.#call = call;
		const {route, head, arrivedAt, res, customer, rank} = call;
		this.#deadlineAt = requestDeadline(route, head, arrivedAt);
		this.#isResumable = route.operation === Operation.Stream && route.isResumable;
		this.#splitter.lastId = head.lastEventId;
		this.#waitsSince = arrivedAt;
		this.#delivery = ResponseDelivery.create(context.memory, {
			res,
			party: customer ?? res.socket?.remoteAddress ?? '',
			rank,
			maxUnreadMs: route.timeoutMs,
			onUnread() {
				context.log.info('Caller does not read its response; its connection is closed.', {request: head.id, afterMs: Math.round(context.clock.now() - arrivedAt)});
			},
		});
	}

	/** Aborts an exchange whose answer has not begun, if requests like this one crash upstreams. */
	abortIfQuarantined(): void {
		this.#guard(() => {
			this.#abortIfQuarantined();
		});
	}

	/** Gives the final answer of a request that is still open when the VM ends; a stream that has begun is cut. */
	endByStop(): void {
		this.#guard(() => {
			this.#endOpen(ErrorKind.Draining, Ending.Cancelled, 'this VM stops');
		});
	}

	/** Runs a handler; an exception in it fails this request only. */
	#guard(handle: () => void): void {
		try {
			handle();
		} catch (error) {
			this.#onDefect(error);
		}
	}

	#onDefect(err: unknown): void {
		const {res, entry, head} = this.#call;
		this.#context.ledger.noteDefect(head.id, err);
		try {
			this.#fallback = undefined;
			this.#abandon(Ending.Cancelled, 'internal error');
			this.#fail(ErrorKind.Internal);
		} catch (error) {
			this.#context.ledger.noteDefect(head.id, error);
		}

		if (entry.decision === undefined) {
			entry.decide(RequestEnd.Broken);
			res.destroy();
		}
	}

	#abortIfQuarantined(): void {
		const {quarantine, clock} = this.#context;
		const attempt = this.#attempt;
		if (attempt === undefined || quarantine.findQuarantined(this.#call.features, clock.now()) === undefined) {
			return;
		}

		this.#cancelTakeover();
		if (attempt.firstProgressAt === undefined) {
			attempt.exchange?.abort();
			this.#lastDetail = 'quarantined';
			this.#endAttempt(attempt, Ending.Cancelled);
			this.#onRefused(ErrorKind.CrashSuspect, 0);
		} else {
			this.#restartStallTimer(attempt);
		}
	}

	#begin(): void {
		const {clock} = this.#context;
		this.#deadlineTimer = clock.setTimer(Math.max(0, this.#deadlineAt - clock.now()) + DEADLINE_GRACE_MS, () => {
			this.#guard(() => {
				this.#onDeadline();
			});
		});
		this.#context.running.add(this);
		this.#call.res.once('close', () => {
			this.#context.running.delete(this);
			this.#guard(() => {
				this.#onCallerClosed();
			});
		});
		this.#guard(() => {
			this.#ask();
		});
	}

	#ask(): void {
		const {
			clock, allocation, state, pauses, nextAskId, dataCentre, region,
		} = this.#context;
		const {head, route, pool, customer, rank, quotaCost, arrivedAt, fingerprint, features} = this.#call;
		const now = clock.now();
		const askId = nextAskId();
		this.#askId = askId;
		this.#askedAt = now;
		const ask: PlaceRequest = {
			id: askId,
			requestId: head.id,
			pool,
			route: route.name,
			customer,
			rank,
			operation: route.operation,
			promptTokens: head.generation?.promptTokens ?? 0,
			outputEvents: Math.max(0, this.#call.outputEvents - this.#eventCount),
			maxOutputTokens: head.generation?.maxOutputTokens,
			quotaCost,
			isCharged: this.#isGranted && this.#sentCount === 0,
			isCounted: false,
			isContinuation: this.#splitter.lastId !== undefined,
			objectiveMs: Math.round(arrivedAt + route.objectiveMs - now),
			remainingMs: Math.round(this.#deadlineAt - now),
			patienceMs: Math.round(Math.min(this.#deadlineAt, this.#waitsSince + callerPatienceMs(route)) - now),
			callerLeavesMs: Math.round(arrivedAt + (head.patienceMs ?? route.timeoutMs) - now),
			maxPauseMs: route.maxPauseMs ?? 0,
			dataCentre,
			region,
			attempt: this.#sentCount + 1,
			excluded: [...this.#excluded, ...(this.#attempt === undefined ? [] : [this.#attempt.upstream.id]), ...pauses.pausedIds(state.upstreams)],
			fingerprint,
			features,
		};
		allocation.ask(ask, {
			grant: (upstreamId, expectedFirstMs) => {
				this.#askId = undefined;
				this.#guard(() => {
					this.#onGranted(askId, upstreamId, expectedFirstMs);
				});
			},
			refuse: (kind, retryAfterMs) => {
				this.#askId = undefined;
				this.#guard(() => {
					this.#onRefused(kind, retryAfterMs);
				});
			},
		});
	}

	#onGranted(askId: string, upstreamId: string, expectedFirstMs: number): void {
		const {
			clock, allocation, state, pauses, quarantine, codec, metrics,
		} = this.#context;
		const {req, head, customer, body, features} = this.#call;
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
			this.#retryOrGiveUp(Ending.NotConnected);
			return;
		}

		if (pauses.remainingMs(upstream) > 0) {
			// The upstream requested the pause after this request went to the allocator.
			allocation.release(askId, emptyReport(Ending.Cancelled));
			this.#ask();
			return;
		}

		if (quarantine.findQuarantined(features, now) !== undefined) {
			// The verdict came after the grant, or the allocator does not know of it yet.
			allocation.release(askId, emptyReport(Ending.Cancelled));
			this.#onRefused(ErrorKind.CrashSuspect, 0);
			return;
		}

		const remainingMs = this.#deadlineAt - now;
		if (remainingMs < MIN_SEND_BUDGET_MS) {
			allocation.release(askId, emptyReport(Ending.Cancelled));
			if (this.#attempt === undefined) {
				this.#fail(ErrorKind.DeadlineUnreachable);
			}

			return;
		}

		const attempt: Attempt = {
			askId, upstream, exchange: undefined, expectedFirstMs, sentAt: now, firstProgressAt: undefined, lastProgressAt: now, events: 0, load: undefined, pace: undefined,
		};
		if (this.#attempt === undefined) {
			this.#beginAttempt(attempt);
		} else {
			this.#reserve = attempt;
		}

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
		}, this.#eventsOf(attempt));
	}

	#eventsOf(attempt: Attempt): ExchangeEvents {
		const {clock, metrics: {dataCentres}} = this.#context;
		const {dataCentre} = attempt.upstream;
		return {
			onSending: () => {
				this.#guard(() => {
					this.#takeOver(attempt);
					attempt.sentAt = clock.now();
					this.#sentCount += 1;
					dataCentres.countRequest(dataCentre, this.#call.body?.length ?? 0);
					this.#restartStallTimer(attempt);
				});
			},
			onHead: (status, headers) => {
				this.#guard(() => {
					this.#onHead(attempt, status, headers);
				});
			},
			onData: chunk => {
				this.#guard(() => {
					dataCentres.countResponse(dataCentre, chunk.length);
					this.#onData(attempt, chunk);
				});
			},
			onEnd: () => {
				this.#guard(() => {
					this.#onEnd(attempt);
				});
			},
			onFail: (ending, detail) => {
				this.#guard(() => {
					this.#onFail(attempt, ending, detail);
				});
			},
		};
	}

	#beginAttempt(attempt: Attempt): void {
		this.#attempt = attempt;
		this.#splitter.reset();
		this.#delivery.clear();
	}

	/** Ends the exchange that makes no progress before the request is sent to another upstream: it never runs at both. */
	#takeOver(attempt: Attempt): void {
		const stalled = this.#attempt;
		if (stalled !== attempt && stalled !== undefined) {
			this.#reserve = undefined;
			stalled.exchange?.abort();
			this.#lastDetail = `no progress for ${Math.round(this.#silentMs(stalled))} ms`;
			this.#endAttempt(stalled, Ending.Stalled);
			this.#beginAttempt(attempt);
		}
	}

	/** Gives up what was asked for, or is being connected to, to take the request over. */
	#cancelTakeover(): void {
		const {allocation} = this.#context;
		if (this.#askId !== undefined) {
			allocation.withdraw(this.#askId);
			this.#askId = undefined;
		}

		const reserve = this.#reserve;
		if (reserve !== undefined) {
			this.#reserve = undefined;
			reserve.exchange?.abort();
			allocation.release(reserve.askId, emptyReport(Ending.Cancelled));
		}
	}

	#onHead(attempt: Attempt, status: number, headers: IncomingHttpHeaders): void {
		const {codec, clock} = this.#context;
		const response = codec.decodeResponse(status, headers, this.#call.head);
		attempt.load = response.load === undefined ? undefined : response.load.running + response.load.waiting;
		attempt.pace = response.load?.pace === undefined ? undefined : {factor: response.load.pace, at: clock.now()};
		applyNotices(this.#context, attempt.upstream, attempt.sentAt, response);
		const fault = findResponseFault(status, headers, response, this.#isStreaming);
		if (fault === undefined) {
			this.#status = status;
			this.#headers = headers;
			if (this.#isCollected) {
				this.#delivery.expect(Number(headers['content-length'] ?? Number.NaN), this.#flowOf(attempt));
			}
		} else {
			this.#abortAttempt(attempt, fault.ending, fault.detail);
		}
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		if (this.#isCollected) {
			this.#recordProgress(attempt);
			if (!this.#delivery.collect(chunk, this.#flowOf(attempt))) {
				this.#abortAttempt(attempt, Ending.Flooded, 'response exceeds the size limit');
			}

			return;
		}

		const events = this.#splitter.push(chunk);
		if (this.#splitter.isOversized) {
			this.#abortAttempt(attempt, Ending.Flooded, 'event exceeds the size limit');
			return;
		}

		// Bytes that complete no event do not count as progress.
		if (events.count > 0) {
			attempt.events += events.count;
			this.#eventCount += events.count;
			this.#recordProgress(attempt);
		}

		const bytes = this.#isResumable ? events.bytes : chunk;
		if (bytes.length === 0) {
			return;
		}

		this.#beginStream();
		if (!this.#delivery.write(bytes)) {
			this.#pauseUntilDrained(attempt);
		}
	}

	/** Stops reading until the caller has taken what was sent; the silence meanwhile is not the upstream's. */
	#pauseUntilDrained(attempt: Attempt): void {
		this.#stallTimer?.cancel();
		attempt.exchange?.pause();
		if (this.#isPaused) {
			return;
		}

		this.#isPaused = true;
		this.#call.res.once('drain', () => {
			this.#guard(() => {
				this.#onDrain();
			});
		});
	}

	#onDrain(): void {
		this.#isPaused = false;
		this.#waitsSince = this.#context.clock.now();
		if (this.#attempt !== undefined) {
			this.#attempt.exchange?.resume();
			this.#restartStallTimer(this.#attempt);
		}
	}

	#recordProgress(attempt: Attempt): void {
		const now = this.#context.clock.now();
		attempt.lastProgressAt = now;
		this.#waitsSince = now;
		this.#cancelTakeover();
		if (attempt.firstProgressAt === undefined) {
			attempt.firstProgressAt = now;
			this.#reportFirstProgress(attempt);
		}

		this.#restartStallTimer(attempt);
	}

	/** Whether the response is received completely before it is sent. */
	get #isCollected(): boolean {
		return this.#call.route.operation !== Operation.Stream || this.#status >= FIRST_ERROR_STATUS;
	}

	/** Stops reading the response while there is no room to hold it; the silence meanwhile is not the upstream's. */
	#flowOf(attempt: Attempt): ResponseFlow {
		return {
			pause: () => {
				this.#stallTimer?.cancel();
				attempt.exchange?.pause();
			},
			resume: () => {
				if (this.#attempt === attempt) {
					attempt.exchange?.resume();
					this.#restartStallTimer(attempt);
				}
			},
		};
	}

	#onEnd(attempt: Attempt): void {
		const isError = this.#status >= FIRST_ERROR_STATUS;
		const isStream = this.#call.route.operation === Operation.Stream && !isError;
		const isInsideEvent = this.#splitter.isInsideEvent && (this.#isResumable || continuesEventStream(this.#status, this.#headers['content-type']));
		if (isStream && (isInsideEvent || (this.#isStreaming && attempt.events === 0))) {
			// A stream that a first upstream began is not shown to be complete by a second one that sends nothing.
			this.#onFail(attempt, Ending.Spoiled, 'stream ended before its last event');
			return;
		}

		this.#endAttempt(attempt, isError ? Ending.UpstreamError : Ending.Answered);
		if (isStream) {
			this.#beginStream();
			this.#delivery.end();
			this.#finish(RequestEnd.Answered, RequestOutcome.Done, Ending.Answered);
			return;
		}

		const response: BufferedResponse = {status: this.#status, headers: this.#headers, body: this.#delivery.take()};
		if (isError && response.body.length <= MAX_FALLBACK_BYTES && this.#mayRetry(Ending.UpstreamError)) {
			this.#fallback = response;
			this.#retryOrGiveUp(Ending.UpstreamError);
			return;
		}

		if (this.#isStreaming) {
			this.#fallback = undefined;
			this.#fail(ErrorKind.AnswerIncomplete);
			return;
		}

		this.#delivery.send(response);
		this.#finish(RequestEnd.Answered, isError ? RequestOutcome.Failed : RequestOutcome.Done, isError ? Ending.UpstreamError : Ending.Answered);
	}

	#onFail(attempt: Attempt, ending: Ending, detail: string): void {
		this.#lastDetail = detail;
		if (ending === Ending.NotConnected) {
			this.#connectFailures += 1;
		}

		if (attempt === this.#reserve) {
			this.#reserve = undefined;
			this.#excluded.push(attempt.upstream.id);
			this.#context.allocation.release(attempt.askId, emptyReport(ending));
			this.#logFailure(attempt, ending);
		} else {
			this.#endAttempt(attempt, ending);
		}

		this.#retryOrGiveUp(ending);
	}

	/** Aborts an exchange whose response cannot be used. */
	#abortAttempt(attempt: Attempt, ending: Ending, detail: string): void {
		attempt.exchange?.abort();
		this.#onFail(attempt, ending, detail);
	}

	/** Releases the grant of an exchange that has ended. */
	#endAttempt(attempt: Attempt, ending: Ending): void {
		this.#stallTimer?.cancel();
		if (this.#attempt !== attempt) {
			return;
		}

		this.#attempt = undefined;
		this.#lastEnding = ending;
		if (ending !== Ending.Answered && ending !== Ending.Cancelled) {
			this.#excluded.push(attempt.upstream.id);
		}

		if (ranByEnding[ending] !== Ran.No && attempt.exchange?.isSent === true) {
			this.#mayHaveRun = true;
		}

		const report: PlaceReport = {
			ending,
			firstMs: attempt.firstProgressAt === undefined || ending !== Ending.Answered ? undefined : attempt.firstProgressAt - attempt.sentAt,
			streamMs: attempt.firstProgressAt === undefined ? 0 : attempt.lastProgressAt - attempt.firstProgressAt,
			events: this.#isStreaming ? attempt.events : 0,
			load: attempt.load,
			...this.#statedPace(attempt),
		};
		this.#context.allocation.release(attempt.askId, report);
		if (ending !== Ending.Answered) {
			this.#logFailure(attempt, ending);
		}
	}

	/** @returns The pace that the upstream stated, with its age. */
	#statedPace({pace}: Attempt): {readonly pace?: StatedPace} {
		return pace === undefined ? {} : {pace: {factor: pace.factor, ageMs: this.#context.clock.now() - pace.at}};
	}

	#logFailure(attempt: Attempt, ending: Ending): void {
		const {id, promptParts} = this.#call.head;
		this.#context.log.info('Exchange failed.', {
			request: id,
			upstream: attempt.upstream.id,
			ending,
			detail: this.#lastDetail,
			sent: this.#sentCount,
			status: this.#status,
			events: attempt.events,
			promptParts: promptParts.slice(0, MAX_LOGGED_PARTS).join(',') || undefined,
		});
	}

	#mayRetry(ending: Ending): boolean {
		const {clock} = this.#context;
		const {route} = this.#call;
		if (this.#deadlineAt - clock.now() < MIN_SEND_BUDGET_MS || !mayRetry(ending, route.operation, route.isResumable) || !this.#splitter.canResume) {
			return false;
		}

		return ending === Ending.NotConnected ? this.#connectFailures <= MAX_CONNECT_FAILURES : this.#sentCount < route.maxAttempts;
	}

	#retryOrGiveUp(ending: Ending): void {
		if (this.#isDone) {
			return;
		}

		if (this.#attempt !== undefined) {
			// Only the takeover failed: the exchange may still go on.
			if (this.#mayRetry(ending)) {
				this.#ask();
			} else {
				this.#restartStallTimer(this.#attempt);
			}
		} else if (!this.#mayRetry(ending)) {
			this.#giveUp(ending);
		} else if (this.#reserve !== undefined) {
			this.#beginAttempt(this.#reserve);
			this.#reserve = undefined;
		} else if (this.#askId === undefined) {
			this.#ask();
		}
	}

	/** Responds with the error that matches what is known after the last attempt. */
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
		if (this.#attempt !== undefined) {
			this.#context.log.info('No other upstream for a stalled exchange; it goes on.', {
				request: this.#call.head.id, upstream: this.#attempt.upstream.id, kind, silentMs: Math.round(this.#silentMs(this.#attempt)),
			});
			this.#restartStallTimer(this.#attempt, retryAfterMs);
		} else if (this.#mayHaveRun) {
			this.#giveUp(this.#lastEnding ?? Ending.Lost);
		} else if (kind === ErrorKind.CrashSuspect) {
			this.#fail(kind);
		} else {
			this.#fail(kind, kind === ErrorKind.NoUpstream ? Math.max(retryAfterMs, this.#shortestPauseMs()) : retryAfterMs);
		}
	}

	/** @returns Time until the first upstream of the pool may be used again, in ms; 0 unless all of them are paused. */
	#shortestPauseMs(): number {
		const {state, pauses} = this.#context;
		const usable = state.upstreams.all.filter(upstream => upstream.pool === this.#call.pool && !upstream.isLeaving);
		return usable.length === 0 ? 0 : Math.min(...usable.map(upstream => pauses.remainingMs(upstream)));
	}

	#onDeadline(): void {
		this.#endOpen(ErrorKind.DeadlineUnreachable, Ending.TimedOut, 'deadline exceeded');
	}

	/**
	 * Answers a request for which no more time is left.
	 *
	 * @param notRunKind - The error if the request has not been sent.
	 * @param sentEnding - How its exchange ends if it has been sent.
	 */
	#endOpen(notRunKind: ErrorKind, sentEnding: Ending, detail: string): void {
		this.#abandon(sentEnding, detail);
		this.#fail(this.#mayHaveRun ? ErrorKind.UpstreamTimeout : notRunKind);
	}

	/** Aborts the exchange and gives up whatever was asked for. */
	#abandon(sentEnding: Ending, detail: string): void {
		this.#cancelTakeover();
		const attempt = this.#attempt;
		if (attempt !== undefined) {
			const isUnsentTimeout = sentEnding === Ending.TimedOut && attempt.exchange?.isSent !== true;
			attempt.exchange?.abort();
			this.#lastDetail = detail;
			this.#endAttempt(attempt, isUnsentTimeout ? Ending.NotConnected : sentEnding);
		}
	}

	#onCallerClosed(): void {
		if (!this.#isDone) {
			this.#abandon(Ending.Cancelled, 'caller disconnected');
			this.#finish(undefined, RequestOutcome.Failed, Ending.Cancelled);
		}
	}

	/** @returns Time since the exchange made progress, in ms. */
	#silentMs({sentAt, firstProgressAt, lastProgressAt}: Attempt): number {
		return this.#context.clock.now() - (firstProgressAt === undefined ? sentAt : lastProgressAt);
	}

	/**
	 * Restarts the timer after which another upstream is asked to take the request over, where that is allowed. The exchange
	 * goes on until then: an upstream that is silent may be sound.
	 *
	 * @param minMs - Minimum time, in ms.
	 */
	#restartStallTimer(attempt: Attempt, minMs = 0): void {
		const stallMs = stallTimeoutMs(this.#call.route, attempt.expectedFirstMs, attempt.firstProgressAt !== undefined);
		this.#stallTimer?.cancel();
		this.#stallTimer = this.#context.clock.setTimer(Math.max(minMs, stallMs), () => {
			if (this.#attempt === attempt && this.#askId === undefined && this.#reserve === undefined && this.#mayRetry(Ending.Stalled)) {
				this.#ask();
			}
		});
	}

	#reportFirstProgress(attempt: Attempt): void {
		const {allocation, metrics} = this.#context;
		const firstMs = attempt.firstProgressAt! - attempt.sentAt;
		if (this.#call.route.operation === Operation.Stream && this.#status < FIRST_ERROR_STATUS) {
			allocation.noteFirst(attempt.askId, firstMs, this.#statedPace(attempt).pace);
			metrics.timeToFirstToken.record(attempt.firstProgressAt! - this.#call.arrivedAt);
		}
	}

	/** Sends the response headers with the first event: until then a different response is still possible. */
	#beginStream(): void {
		if (!this.#isStreaming) {
			this.#isStreaming = true;
			this.#call.res.writeHead(this.#status, endToEndHeaders(this.#headers));
		}
	}

	/** Sends an error response, or the error response that an upstream sent earlier. */
	#fail(kind: ErrorKind, retryAfterMs?: number): void {
		if (this.#isDone) {
			return;
		}

		const {codec, metrics, log} = this.#context;
		const {res, head} = this.#call;
		if (this.#isStreaming) {
			res.destroy();
			this.#finish(RequestEnd.Broken, RequestOutcome.Failed, this.#lastEnding ?? Ending.Lost, kind);
			return;
		}

		if (this.#fallback !== undefined) {
			this.#delivery.send(this.#fallback);
			this.#finish(RequestEnd.Answered, RequestOutcome.Failed, Ending.UpstreamError);
			return;
		}

		metrics.countError(kind);
		const answer = errorAnswers[kind];
		const waitMs = retryAfterMs ?? answer.retryAfterMs;
		log.info('Request answered for the system.', {
			request: head.id, kind, ran: answer.ran, retryAfterMs: waitMs === undefined ? undefined : Math.round(waitMs), afterMs: Math.round(this.#context.clock.now() - this.#call.arrivedAt),
		});
		writeErrorResponse(res, codec, head, kind, waitMs);
		const isRefused = answer.ran === Ran.No;
		this.#finish(isRefused ? RequestEnd.Refused : RequestEnd.Failed, isRefused ? RequestOutcome.Refused : RequestOutcome.Failed, this.#lastEnding, kind);
	}

	/** @param decision - How the response ends; `undefined` if the caller disconnected. */
	#finish(decision: Decision | undefined, outcome: RequestOutcome, ending: Ending | undefined, kind?: ErrorKind): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		this.#cancelTakeover();
		this.#deadlineTimer?.cancel();
		this.#stallTimer?.cancel();
		const {clock, metrics} = this.#context;
		const {entry, route, pool, customer, arrivedAt, rank} = this.#call;
		metrics.countRequest(rank, outcome);
		entry.note({
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
		if (decision !== undefined) {
			entry.decide(decision);
		}
	}
}
