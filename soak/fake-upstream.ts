/**
 * Upstreams in virtual time, with a record of everything that they ran.
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

/** How an upstream behaves now. */
export type UpstreamCondition = {
	isDown: boolean;
	/** Multiplies the time between parts; 1 is normal. */
	slowness: number;
	/** The chance that an answer breaks off at a part. */
	cutChance: number;
};

/** The parts of the answer to a request; a function of the request alone. */
export function expectedParts(body: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${body}#${index};`);
}

/** Number of parts that the answer to a body has. */
export function partCount(body: string): number {
	return 1 + (body.length % 7);
}

type Stream = {
	readonly body: string;
	readonly startedAt: number;
};

/** One back end of the simulated deployment. All processes reach the same one. */
export class FakeUpstream {
	readonly condition: UpstreamCondition = {isDown: false, slowness: 1, cutChance: 0};
	/** Since when the upstream takes no new work. */
	leavingSince: number | undefined;
	/** A break: how often each request runs. */
	runsPerRequest = 1;
	/** A break: requests run, and their clients are told that the connection was refused. */
	runsBeforeRefusal = false;
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
	 * @param onAccept - Called for each request that is accepted.
	 */
	constructor(clock: VirtualClock, random: Random, partMs: number, onAccept?: (upstream: FakeUpstream, body: string) => void) {
		this.#onAccept = onAccept;
		this.#clock = clock;
		this.#random = random;
		this.#partMs = partMs;
	}

	/** Ends all exchanges and comes back after a while. */
	crash(): void {
		this.condition.isDown = true;
		this.#streams.clear();
		const running = [...this.#running];
		this.#running.clear();
		for (const exchange of running) {
			exchange.lose();
		}

		this.#timer?.cancel();
		this.#timer = this.#clock.setTimer(RESTART_MS, () => {
			this.condition.isDown = false;
		});
	}

	/** @returns A client for one process, which dies with that process. */
	connect(process: ProcessClock): Engine {
		return new FakeClient(this, process);
	}

	/** Runs a request; the answer goes to the exchange. */
	accept(exchange: FakeExchange): void {
		const {body, dispatchId} = exchange;
		if (this.condition.isDown) {
			exchange.lose();
			return;
		}

		this.noteRun(body);
		this.#streams.set(dispatchId, {body, startedAt: this.#clock.now()});
		this.#running.add(exchange);
		if (body.startsWith('poison')) {
			this.#clock.setTimer(this.#partMs, () => {
				this.crash();
			});
			return;
		}

		this.#sendFrom(exchange, body, 0);
	}

	/** Continues an answer that broke off. */
	resume(exchange: FakeExchange, offset: number): void {
		const stream = this.#streams.get(exchange.dispatchId);
		if (stream === undefined) {
			exchange.answer(404, '');
			exchange.finish();
			return;
		}

		this.#running.add(exchange);
		this.#sendFrom(exchange, stream.body, offset);
	}

	/** Takes an order unless its fencing number is old. */
	order(order: EngineOrder): OrderOutcome {
		if (order.fencingNumber < this.#greatestFencingNumber) {
			return 'stale-fencing-number';
		}

		this.#greatestFencingNumber = order.fencingNumber;
		return 'accepted';
	}

	/** Records that a body started to run. */
	noteRun(body: string): void {
		this.#executions.set(body, this.executionsOf(body) + this.runsPerRequest);
		this.#onAccept?.(this, body);
	}

	/** @returns How often a body started to run. */
	executionsOf(body: string): number {
		return this.#executions.get(body) ?? 0;
	}

	get runningCount(): number {
		return this.#running.size;
	}

	/** Forgets an exchange that its client gave up. */
	forget(exchange: FakeExchange): void {
		this.#running.delete(exchange);
	}

	later(ms: number, action: () => void): void {
		this.#clock.setTimer(ms, action);
	}

	#sendFrom(exchange: FakeExchange, body: string, offset: number): void {
		const whole = Buffer.from(expectedParts(body, partCount(body)).join(''));
		exchange.answer(200, '');
		this.#sendNext(exchange, whole, offset);
	}

	#sendNext(exchange: FakeExchange, whole: Uint8Array, offset: number): void {
		this.later(this.#partMs * this.condition.slowness, () => {
			if (!this.#running.has(exchange)) {
				return;
			}

			if (this.#random.next() < this.condition.cutChance) {
				this.#running.delete(exchange);
				exchange.lose();
				return;
			}

			const end = Math.min(whole.byteLength, offset + this.#random.integer(1, 24));
			exchange.data(whole.subarray(offset, end));
			if (end < whole.byteLength) {
				this.#sendNext(exchange, whole, end);
				return;
			}

			this.#running.delete(exchange);
			exchange.finish();
		});
	}
}

/** One process's connection for one request. */
class FakeExchange extends Exchange {
	readonly dispatchId: string;
	readonly body: string;
	readonly #upstream: FakeUpstream;
	readonly #process: ProcessClock;
	readonly #handler: ExchangeHandler;
	#isOver = false;

	constructor(upstream: FakeUpstream, process: ProcessClock, req: UpstreamRequest, handler: ExchangeHandler) {
		super();
		this.#upstream = upstream;
		this.#process = process;
		this.#handler = handler;
		this.dispatchId = req.dispatchId;
		this.body = req.body instanceof Uint8Array ? Buffer.from(req.body).toString() : '';
	}

	/** Connects, then hands over to `proceed`. */
	open(proceed: () => void): void {
		this.#upstream.later(NETWORK_DELAY_MS, () => {
			this.#process.run(() => {
				if (this.#isOver) {
					return;
				}

				if (this.#upstream.runsBeforeRefusal) {
					this.#upstream.noteRun(this.body);
				}

				if (this.#upstream.condition.isDown || this.#upstream.runsBeforeRefusal) {
					this.#fail(ErrorKind.NoUpstream, false);
				} else if (this.#handler.onCommit()) {
					this.#upstream.later(NETWORK_DELAY_MS, proceed);
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
			this.#isOver = true;
			this.#handler.onEnd();
		});
	}

	lose(): void {
		this.#deliver(() => {
			this.#fail(ErrorKind.UpstreamLost, true);
		});
	}

	resume(): void {
		// Back pressure is not simulated.
	}

	abort(): void {
		if (this.#isOver) {
			return;
		}

		this.#upstream.forget(this);
		this.#isOver = true;
		this.#upstream.later(0, () => {
			this.#process.run(() => {
				this.#handler.onError(SchedulerError.create(ErrorKind.UpstreamLost), true);
			});
		});
	}

	#deliver(event: () => void): void {
		this.#upstream.later(NETWORK_DELAY_MS, () => {
			this.#process.run(() => {
				if (!this.#isOver) {
					event();
				}
			});
		});
	}

	#fail(kind: ErrorKind, wasSent: boolean): void {
		this.#isOver = true;
		this.#handler.onError(SchedulerError.create(kind), wasSent);
	}
}

/** A process's client of a fake upstream. */
class FakeClient extends Engine {
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
		// Nothing is held.
	}
}
