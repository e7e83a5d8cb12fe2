/**
 * Simulated upstreams in virtual time that record each request they execute.
 */
import {Buffer} from 'node:buffer';
import Result, {ok} from 'true-myth/result';
import {type Unit} from 'true-myth/unit';
import {type Timer} from '../src/base/clock.js';
import {ErrorKind, SchedulerError} from '../src/base/errors.js';
import {type Random} from '../src/base/random.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {
	type CacheEvent, Engine, type EngineOrder, type LoadReport, type OrderOutcome,
} from '../src/upstream/engine.js';
import {Exchange, type ExchangeHandler, type UpstreamRequest} from '../src/upstream/exchange.js';
import {type ProcessClock} from './process-clock.js';

const NETWORK_DELAY_MS = 1;
const RESTART_MS = 3000;

/** Current fault state of an upstream. */
export type UpstreamCondition = {
	isDown: boolean;
	/** Factor on the time between the parts of an answer; 1 is normal. */
	latencyFactor: number;
	/** Probability, for each part, that the connection is lost before it is sent. */
	disconnectProbability: number;
};

/** The parts of the answer to a request; they depend only on the request, so that any answer can be checked. */
export function expectedParts(body: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${body}#${index};`);
}

/** Number of parts of the answer to a body. */
export function partCount(body: string): number {
	return 1 + (body.length % 7);
}

type Stream = {
	readonly body: string;
	readonly startedAt: number;
};

/** One upstream of the simulated deployment, shared by all simulated processes. */
export class FakeUpstream {
	readonly condition: UpstreamCondition = {isDown: false, latencyFactor: 1, disconnectProbability: 0};
	/** Time at which the upstream began to leave; `undefined` while it serves. */
	leavingSince: number | undefined;
	/** Injected defect: number of executions recorded for each request. */
	runsPerRequest = 1;
	/** Injected defect: requests are executed, but their clients see a refused connection. */
	runsRefusedRequests = false;
	readonly #executions = new Map<string, number>();
	readonly #clock: VirtualClock;
	readonly #random: Random;
	readonly #partMs: number;
	readonly #onAccept: ((upstream: FakeUpstream, body: string) => void) | undefined;
	readonly #streams = new Map<string, Stream>();
	readonly #running = new Set<FakeExchange>();
	#greatestFencingNumber = 0;
	#timer: Timer | undefined;

	/**
	 * @param partMs - Time between two parts of an answer, in ms.
	 * @param onAccept - Called when the execution of a request starts.
	 */
	constructor(clock: VirtualClock, random: Random, partMs: number, onAccept?: (upstream: FakeUpstream, body: string) => void) {
		this.#onAccept = onAccept;
		this.#clock = clock;
		this.#random = random;
		this.#partMs = partMs;
	}

	/** Disconnects all exchanges and restarts after `RESTART_MS`. */
	crash(): void {
		this.condition.isDown = true;
		this.#streams.clear();
		const running = [...this.#running];
		this.#running.clear();
		for (const exchange of running) {
			exchange.disconnect();
		}

		this.#timer?.cancel();
		this.#timer = this.#clock.setTimer(RESTART_MS, () => {
			this.condition.isDown = false;
		});
	}

	/** @returns A client of one process; it receives no events while the process is paused or after it has ended. */
	connect(process: ProcessClock): Engine {
		return new FakeUpstreamClient(this, process);
	}

	/** Executes a request and sends the answer to the exchange. */
	accept(exchange: FakeExchange): void {
		const {body, dispatchId} = exchange;
		if (this.condition.isDown) {
			exchange.disconnect();
			return;
		}

		this.recordExecution(body);
		this.#streams.set(dispatchId, {body, startedAt: this.#clock.now()});
		this.#running.add(exchange);
		if (body.startsWith('poison')) {
			this.#clock.setTimer(this.#partMs, () => {
				this.crash();
			});
			return;
		}

		this.#startAnswer(exchange, body, 0);
	}

	/** Sends the rest of an interrupted answer. */
	resume(exchange: FakeExchange, offset: number): void {
		const stream = this.#streams.get(exchange.dispatchId);
		if (stream === undefined) {
			exchange.answer(404, '');
			exchange.finish();
			return;
		}

		this.#running.add(exchange);
		this.#startAnswer(exchange, stream.body, offset);
	}

	/** Accepts an order unless it carries a lower fencing number than an earlier one. */
	order(order: EngineOrder): OrderOutcome {
		if (order.fencingNumber < this.#greatestFencingNumber) {
			return 'stale-fencing-number';
		}

		this.#greatestFencingNumber = order.fencingNumber;
		return 'accepted';
	}

	/** Records that the execution of a body started. */
	recordExecution(body: string): void {
		this.#executions.set(body, this.executionsOf(body) + this.runsPerRequest);
		this.#onAccept?.(this, body);
	}

	/** @returns Number of executions of a body. */
	executionsOf(body: string): number {
		return this.#executions.get(body) ?? 0;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Stops answering an exchange that its client aborted. */
	removeExchange(exchange: FakeExchange): void {
		this.#running.delete(exchange);
	}

	schedule(ms: number, action: () => void): void {
		this.#clock.setTimer(ms, action);
	}

	#startAnswer(exchange: FakeExchange, body: string, offset: number): void {
		const answer = Buffer.from(expectedParts(body, partCount(body)).join(''));
		exchange.answer(200, '');
		this.#sendNextPart(exchange, answer, offset);
	}

	#sendNextPart(exchange: FakeExchange, answer: Uint8Array, offset: number): void {
		this.schedule(this.#partMs * this.condition.latencyFactor, () => {
			if (!this.#running.has(exchange)) {
				return;
			}

			if (this.#random.next() < this.condition.disconnectProbability) {
				this.#running.delete(exchange);
				exchange.disconnect();
				return;
			}

			const end = Math.min(answer.byteLength, offset + this.#random.integer(1, 24));
			exchange.data(answer.subarray(offset, end));
			if (end < answer.byteLength) {
				this.#sendNextPart(exchange, answer, end);
				return;
			}

			this.#running.delete(exchange);
			exchange.finish();
		});
	}
}

/** The connection of one process for one request. */
class FakeExchange extends Exchange {
	readonly dispatchId: string;
	readonly body: string;
	readonly #upstream: FakeUpstream;
	readonly #process: ProcessClock;
	readonly #handler: ExchangeHandler;
	#isFinished = false;

	constructor(upstream: FakeUpstream, process: ProcessClock, req: UpstreamRequest, handler: ExchangeHandler) {
		super();
		this.#upstream = upstream;
		this.#process = process;
		this.#handler = handler;
		this.dispatchId = req.dispatchId;
		this.body = req.body instanceof Uint8Array ? Buffer.from(req.body).toString() : '';
	}

	/** Connects, then calls `onConnected` if the client commits the request. */
	open(onConnected: () => void): void {
		this.#upstream.schedule(NETWORK_DELAY_MS, () => {
			this.#process.run(() => {
				if (this.#isFinished) {
					return;
				}

				if (this.#upstream.runsRefusedRequests) {
					this.#upstream.recordExecution(this.body);
				}

				if (this.#upstream.condition.isDown || this.#upstream.runsRefusedRequests) {
					this.#fail(ErrorKind.NoUpstream, false);
				} else if (this.#handler.onCommit()) {
					this.#upstream.schedule(NETWORK_DELAY_MS, onConnected);
				} else {
					this.#fail(ErrorKind.Canceled, false);
				}
			});
		});
	}

	answer(status: number, _reason: string): void {
		this.#deliver(() => {
			this.#handler.onHeaders(status, {'dispatch-id': this.dispatchId, 'content-type': 'text/plain'});
		});
	}

	data(chunk: Uint8Array): void {
		this.#deliver(() => {
			this.#handler.onData(chunk);
		});
	}

	finish(): void {
		this.#deliver(() => {
			this.#isFinished = true;
			this.#handler.onEnd();
		});
	}

	disconnect(): void {
		this.#deliver(() => {
			this.#fail(ErrorKind.UpstreamLost, true);
		});
	}

	resume(): void {
		// Backpressure is not simulated.
	}

	abort(): void {
		if (this.#isFinished) {
			return;
		}

		this.#upstream.removeExchange(this);
		this.#isFinished = true;
		this.#upstream.schedule(0, () => {
			this.#process.run(() => {
				this.#handler.onError(SchedulerError.create(ErrorKind.UpstreamLost), true);
			});
		});
	}

	#deliver(event: () => void): void {
		this.#upstream.schedule(NETWORK_DELAY_MS, () => {
			this.#process.run(() => {
				if (!this.#isFinished) {
					event();
				}
			});
		});
	}

	#fail(kind: ErrorKind, wasSent: boolean): void {
		this.#isFinished = true;
		this.#handler.onError(SchedulerError.create(kind), wasSent);
	}
}

/** The client of one process for a simulated upstream. */
class FakeUpstreamClient extends Engine {
	readonly #upstream: FakeUpstream;
	readonly #process: ProcessClock;

	constructor(upstream: FakeUpstream, process: ProcessClock) {
		super();
		this.#upstream = upstream;
		this.#process = process;
	}

	send(req: UpstreamRequest, handler: ExchangeHandler): Exchange {
		const exchange = new FakeExchange(this.#upstream, this.#process, req, handler);
		exchange.open(() => {
			this.#upstream.accept(exchange);
		});
		return exchange;
	}

	resume(dispatchId: string, offset: number, idleTimeoutMs: number, handler: ExchangeHandler): Exchange {
		const req = {
			dispatchId, method: 'GET', path: '', headers: {}, body: undefined, idleTimeoutMs,
		};
		const exchange = new FakeExchange(this.#upstream, this.#process, req, handler);
		exchange.open(() => {
			this.#upstream.resume(exchange, offset);
		});
		return exchange;
	}

	async cancel(): Promise<Result<Unit, SchedulerError>> {
		return Result.ok();
	}

	async loadReport(): Promise<Result<LoadReport, SchedulerError>> {
		return ok({
			runningCount: this.#upstream.runningCount, waitingCount: 0, cacheCapacityTokens: 0, cacheUsedTokens: 0, ageMs: 0, isLeaving: false,
		});
	}

	async cacheEvents(): Promise<Result<readonly CacheEvent[], SchedulerError>> {
		return ok([]);
	}

	async exportKv(): Promise<Result<Uint8Array, SchedulerError>> {
		return ok(new Uint8Array());
	}

	async importKv(): Promise<Result<Unit, SchedulerError>> {
		return Result.ok();
	}

	async order(order: EngineOrder): Promise<Result<OrderOutcome, SchedulerError>> {
		return ok(this.#upstream.order(order));
	}

	async destroy(): Promise<void> {
		// There are no resources to release.
	}
}
