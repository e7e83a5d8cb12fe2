/**
 * One simulated entry VM: the core of a node on a process clock, which can pause and end.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type Result from 'true-myth/result';
import {type Invariants} from '../src/base/invariant.js';
import {Metrics} from '../src/base/metrics.js';
import {Random} from '../src/base/random.js';
import {type Ran, type SchedulerError} from '../src/base/errors.js';
import {CurrentSettings} from '../src/config/current-settings.js';
import {type Upstream} from '../src/config/deployment.js';
import {ResponseSink} from '../src/dispatch/response-sink.js';
import {RequestLifecycle} from '../src/dispatch/request-lifecycle.js';
import {type MemoryNetwork} from '../src/peer/memory-transport.js';
import {type Scheduler, type SchedulerEvents} from '../src/policy/scheduler.js';
import {NodeCore, type Platform} from '../src/serve/node-core.js';
import {
	type Row, type StoreError, Table, type Write, type WriteOutcome,
} from '../src/store/table.js';
import {Supervisor} from '../src/supervisor/supervisor.js';
import {type UpstreamClient} from '../src/upstream/engine.js';
import {createStrictLog} from '../test/support/strict-log.js';
import {type CallerRequest, isPlainRequest, RequestKind} from './request-history.js';
import {type ProcessClock} from './process-clock.js';

const ADVICE_POOL = 'team/advice';
const BOOKING_POOL = 'team/booking';
const DEADLINE_MS = 5000;
const IDLE_TIMEOUT_MS = 10_000;

/** The table as accessed by one process: results are delayed during a pause and never arrive after the process has ended. */
class ProcessTable extends Table {
	readonly #inner: Table;
	readonly #process: ProcessClock;

	constructor(inner: Table, process: ProcessClock) {
		super();
		this.#inner = inner;
		this.#process = process;
	}

	async get(key: string): Promise<Result<Row | undefined, StoreError>> {
		return this.#callAsProcess(async () => this.#inner.get(key));
	}

	async list(prefix: string, limit: number, after?: string): Promise<Result<readonly Row[], StoreError>> {
		return this.#callAsProcess(async () => this.#inner.list(prefix, limit, after));
	}

	async transact(writes: readonly Write[]): Promise<Result<WriteOutcome, StoreError>> {
		return this.#callAsProcess(async () => this.#inner.transact(writes));
	}

	async #callAsProcess<Value>(call: () => Promise<Value>): Promise<Value> {
		await this.#process.whenRunning();
		const value = await call();
		await this.#process.whenRunning();
		return value;
	}
}

/** Callbacks of a caller. */
export type CallerEvents = {
	onAnswer(body: string, isReplay: boolean): void;
	onError(err: SchedulerError, ran: Ran): void;
};

class CallerSink extends ResponseSink {
	hasStarted = false;
	readonly #events: CallerEvents;
	readonly #process: ProcessClock;
	#body = '';
	#isReplay = false;

	constructor(events: CallerEvents, process: ProcessClock) {
		super();
		this.#events = events;
		this.#process = process;
	}

	get isCallerDisconnected(): boolean {
		return false;
	}

	onCallerDisconnect(): void {
		// Callers stay connected until their node ends.
	}

	start(_status: number, headers: Readonly<Record<string, unknown>>): void {
		this.hasStarted = true;
		this.#isReplay = headers['idempotency-replayed'] === 'true';
	}

	write(chunk: Uint8Array): boolean {
		this.#body += Buffer.from(chunk).toString();
		return true;
	}

	onDrain(resume: () => void): void {
		resume();
	}

	end(): void {
		this.#process.run(() => {
			this.#events.onAnswer(this.#body, this.#isReplay);
		});
	}

	fail(err: SchedulerError, ran: Ran): void {
		this.#process.run(() => {
			this.#events.onError(err, ran);
		});
	}
}

/** Dependencies and identity of a node. */
export type SoakNodeOptions = {
	readonly index: number;
	/** Number of this process among the processes of the VM. */
	readonly generation: number;
	readonly region: string;
	readonly process: ProcessClock;
	readonly seed: number;
	readonly invariants: Invariants;
	readonly platform: Platform;
	readonly network: MemoryNetwork;
	readonly seeds: readonly string[];
	readonly connect: (upstreamId: string, process: ProcessClock) => UpstreamClient;
	readonly createScheduler?: (events: SchedulerEvents) => Scheduler;
};

/** One process of one VM. */
export class SoakNode {
	readonly index: number;
	readonly region: string;
	readonly process: ProcessClock;
	readonly address: string;
	readonly settings = CurrentSettings.create();
	readonly core: NodeCore;
	isLeaving = false;
	readonly #options: SoakNodeOptions;
	readonly #supervisor: Supervisor;
	#workCount = 0;

	constructor(options: SoakNodeOptions) {
		this.#options = options;
		const {index, generation, region, process, platform, network} = options;
		this.index = index;
		this.region = region;
		this.process = process;
		this.address = addressOf(index);
		const handlers: Record<string, unknown> = {};
		const log = createStrictLog();
		this.core = NodeCore.create({
			clock: process,
			log,
			random: Random.create(options.seed),
			invariants: options.invariants,
			metrics: Metrics.create(),
			settings: this.settings,
			platform: {...platform, table: new ProcessTable(platform.table, process)},
			self: {
				id: `vm-${index}`, process: `${index}.${generation}`, address: this.address, entryAddress: `${this.address}0`, region, dataCentre: `${region}-1`,
			},
			transport: network.attach(this.address, handlers),
			seeds: options.seeds,
			createClient: ({id}: Upstream) => options.connect(id, process),
			createScheduler: options.createScheduler,
			onSuperseded() {
				// The older process of the VM has already been killed.
			},
		});
		Object.assign(handlers, this.core.handlers);
		this.#supervisor = Supervisor.create({
			name: 'node', parts: this.core.parts, clock: process, log,
		});
	}

	async start(): Promise<void> {
		await this.#supervisor.start();
	}

	/** Performs a planned stop. Resolves once all parts have stopped, to whether no request was in flight before that. */
	async drainAndStop(): Promise<boolean> {
		this.isLeaving = true;
		await this.#supervisor.drain();
		const end = this.process.now() + 120_000;
		while (this.core.dispatcher.inFlightCount > 0 && this.process.now() < end) {
			// eslint-disable-next-line no-await-in-loop
			await this.process.sleep(50);
		}

		const isDrained = this.core.dispatcher.inFlightCount === 0;
		await this.core.flush();
		await this.#supervisor.stop();
		await this.core.close();
		return isDrained;
	}

	/** Runs one attempt of a request, as the HTTP interface would. */
	submit(callerRequest: CallerRequest, tier: number, isFirstAttempt: boolean, events: CallerEvents): void {
		const {process, invariants} = this.#options;
		const isBooking = callerRequest.kind === RequestKind.Booking;
		const isKeyed = isBooking || callerRequest.kind === RequestKind.KeyedNote;
		const isPlain = isPlainRequest(callerRequest.kind);
		const pool = isPlain ? BOOKING_POOL : ADVICE_POOL;
		const lifecycle = RequestLifecycle.create({
			invariants, key: {isKeyed, holdsClaim: false, isFirstAttempt}, isIdempotent: callerRequest.kind === RequestKind.Lookup,
		});
		const digest = createHash('sha256').update(callerRequest.body).digest('hex');
		this.#workCount += 1;
		void this.core.dispatcher.run({
			lifecycle,
			work: {
				id: `${this.address}/${this.#workCount}`,
				pool,
				customer: `team/c${tier}`,
				customerWeight: 1,
				tier,
				model: undefined,
				promptTokens: isPlain ? 0 : 100,
				expectedOutputTokens: isPlain ? 1 : 20,
				prefix: [],
				arrivedAt: process.now(),
				deadlineAt: process.now() + DEADLINE_MS,
				fingerprint: `${pool}:${digest}`,
				excluded: [],
			},
			request: {
				dispatchId: lifecycle.id, method: 'POST', path: '/', headers: {}, body: Buffer.from(callerRequest.body), idleTimeoutMs: IDLE_TIMEOUT_MS,
			},
			claimRequest: isKeyed
				? {
					pool, customer: 'team/guest', key: callerRequest.body, digest, isFirstAttempt, keepsAnswer: isBooking,
				}
				: undefined,
			sink: new CallerSink(events, process),
		});
	}
}

/** @returns The peer address of a VM. */
export function addressOf(index: number): string {
	return `10.0.0.${index + 1}:7000`;
}
