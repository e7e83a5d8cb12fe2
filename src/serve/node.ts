/**
 * Assembles the parts of one entry VM's process.
 */
import {randomUUID} from 'node:crypto';
import {type Clock} from '../base/clock.js';
import {Invariants, PromiseId} from '../base/invariant.js';
import {type Log, LogPrefix} from '../base/log.js';
import {Metrics} from '../base/metrics.js';
import {type Tracing} from '../base/trace.js';
import {CurrentSettings} from '../config/current-settings.js';
import {type Deployment} from '../config/deployment.js';
import {TableClaims} from '../coordination/table-claims.js';
import {Dispatcher} from '../dispatch/dispatcher.js';
import {EntryPart} from '../entry/entry-part.js';
import {type HttpLimits} from '../entry/http-limits.js';
import {type TlsFiles} from '../entry/tls.js';
import {LeastInFlightScheduler} from '../policy/least-in-flight.js';
import {type UpstreamView} from '../policy/scheduler.js';
import {type Table} from '../store/table.js';
import {Supervisor} from '../supervisor/supervisor.js';
import {UpstreamRegistry} from '../upstream/registry.js';

const ENTRIES_KEEP_SECONDS = 10;
const DRAIN_POLL_MS = 20;
const DEFAULT_MAX_DRAIN_MS = 300_000;
const CANCEL_WAIT_MS = 1000;

/** What a node is made of. */
export type NodeOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly table: Table;
	readonly host: string;
	readonly port: number;
	readonly region: string;
	readonly dataCentre: string;
	/** Tests and randomised runs throw on a violated promise. */
	readonly throwOnViolation: boolean;
	/** How long a stopping node still takes new work, as callers keep its address; none by default. */
	readonly leaveMs?: number;
	/** Longest wait for requests in flight at a planned stop. */
	readonly maxDrainMs?: number;
	/** Limits of the HTTP server for callers. */
	readonly httpLimits?: HttpLimits;
	/** Callers use TLS where it is set. */
	readonly tls?: TlsFiles;
	/** Present where traces are exported. */
	readonly tracing?: Tracing;
};

/** One entry VM's process: the root of the supervisor tree. */
export class Node {
	static create(options: NodeOptions): Node {
		return new Node(options);
	}

	/** Identity of this process; a restarted process is another one. */
	readonly id = randomUUID();
	readonly settings = CurrentSettings.create();
	readonly invariants: Invariants;
	readonly metrics = Metrics.create();
	readonly dispatcher: Dispatcher;
	readonly #options: NodeOptions;
	readonly #log: Log;
	readonly #upstreams = UpstreamRegistry.create();
	readonly #entry: EntryPart;
	readonly #supervisor: Supervisor;
	#isDraining = false;
	#isRefusing = false;

	private constructor(options: NodeOptions) {
		this.#options = options;
		this.#log = options.log.part(LogPrefix.Serve);
		const invariantLog = options.log.part(LogPrefix.Invariant);
		this.invariants = Invariants.create({
			throwOnViolation: options.throwOnViolation,
			onViolation(promise, detail) {
				invariantLog.error('A promise was violated.', {promise, detail});
			},
		});
		this.dispatcher = Dispatcher.create({
			clock: options.clock,
			invariants: this.invariants,
			upstreams: this.#upstreams,
			metrics: this.metrics,
			claims: TableClaims.create(options.table, this.id),
			createScheduler: events => LeastInFlightScheduler.create(options.clock, events),
		});
		this.metrics.observe({
			invariants: this.invariants,
			inFlight: () => this.dispatcher.inFlightCount,
			waiting: () => this.dispatcher.scheduler.waitingCount,
		});
		this.settings.subscribe(deployment => {
			this.#upstreams.update(deployment);
			this.dispatcher.scheduler.setUpstreams(toViews(deployment));
		});
		this.#entry = this.#createEntry();
		this.#supervisor = Supervisor.create({
			name: 'node', parts: [this.#entry], clock: options.clock, log: options.log,
		});
	}

	/** `host:port` for callers. */
	get address(): string {
		return this.#entry.address;
	}

	async start(): Promise<void> {
		await this.#supervisor.start();
		this.#log.info('Node started.', {id: this.id, address: this.address, region: this.#options.region});
	}

	/** Planned stop: takes no new work after the drain, and cuts off no request in flight. */
	async stop(): Promise<void> {
		this.#isDraining = true;
		const {clock, leaveMs = 0, maxDrainMs = DEFAULT_MAX_DRAIN_MS} = this.#options;
		await this.#supervisor.drain();
		if (leaveMs > 0) {
			await clock.sleep(leaveMs);
		}

		this.#isRefusing = true;
		const isDrained = await this.#waitUntilIdle(maxDrainMs);
		if (!isDrained) {
			this.#entry.closeConnections();
			// The engines are still to be told to cancel.
			await this.#waitUntilIdle(CANCEL_WAIT_MS);
		}

		await this.#supervisor.stop();
		await this.#upstreams.destroy();
		this.invariants.check(PromiseId.GracefulStop, isDrained, 'A request was in flight at the end of a planned stop.');
		this.#log.info('Node stopped.', {id: this.id});
	}

	/** @returns Whether no request was in flight in the end. */
	async #waitUntilIdle(maxMs: number): Promise<boolean> {
		const {clock} = this.#options;
		const end = clock.now() + maxMs;
		while (this.dispatcher.inFlightCount > 0 && clock.now() < end) {
			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(DRAIN_POLL_MS);
		}

		return this.dispatcher.inFlightCount === 0;
	}

	#createEntry(): EntryPart {
		const {clock, host, port, log, httpLimits: limits, tls} = this.#options;
		return EntryPart.create({
			clock,
			invariants: this.invariants,
			settings: this.settings,
			dispatcher: this.dispatcher,
			entriesFor: () => ({addresses: [this.address], keepSeconds: ENTRIES_KEEP_SECONDS}),
			metrics: async () => this.metrics.expose(),
			instruments: this.metrics,
			tracing: this.#options.tracing,
			isLeaving: () => this.#isDraining,
			isRefusing: () => this.#isRefusing,
			isReady: () => this.settings.isLoaded && !this.#isDraining,
		}, {
			host, port, limits, log, tls,
		});
	}
}

function toViews(deployment: Deployment): UpstreamView[] {
	return deployment.upstreams.map(({id, pool, settings}) => ({
		id,
		pool,
		region: settings.region,
		dataCentre: settings.dataCentre,
		models: settings.models,
		maxConcurrency: settings.maxConcurrency,
		isLeaving: settings.leaving,
	}));
}
