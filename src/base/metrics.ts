/**
 * Metrics of a node in the Prometheus exposition format. Label values come only from closed sets: constants and the
 * configuration.
 */
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {
	Counter, Gauge, type Metric, Registry,
} from 'prom-client';
import {CustomerMetrics} from './customer-metrics.js';
import {DataCentreMetrics} from './data-centre-metrics.js';
import {type ErrorKind} from './errors.js';
import {type Invariants} from './invariant.js';
import {type MemoryAccount, type Relief} from './memory-account.js';

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MAX_TRACKED_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MAX_TIER = 4;
/** Lists the open file descriptors of the process on Linux. */
const DESCRIPTOR_FOLDER = '/proc/self/fd';
const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];

/** How a request ended: with a response from its upstream, with an error after dispatch, or without dispatch. */
export const RequestOutcome = {
	Done: 'done',
	Failed: 'failed',
	Refused: 'refused',
} as const;

export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** What happened to the response of a request that was read completely. */
export const RequestEnd = {
	/** The upstream's response was sent completely. */
	Answered: 'answered',
	/** An error response was sent that states that the request was not run. */
	Refused: 'refused',
	/** Another error response was sent. */
	Failed: 'failed',
	/** The connection was closed inside a response that could not be completed. */
	Broken: 'broken',
	/** The caller closed the connection before the response was sent. */
	Aborted: 'aborted',
	/** The end of a shutdown closed the connection before the response was sent. */
	Stopped: 'stopped',
	/** The request came on a connection that was closing; it was neither run nor answered. */
	Unserved: 'unserved',
	/** The connection was closed without a response while the caller waited. */
	Lost: 'lost',
} as const;

export type RequestEnd = (typeof RequestEnd)[keyof typeof RequestEnd];

/** What an upstream can state about itself in a response. */
export const UpstreamNotice = {
	/** It is shutting down. */
	Leaving: 'leaving',
	/** It wants no request from this VM for a time. */
	Pause: 'pause',
	/** It takes a limited number of requests from all VMs together. */
	Limit: 'limit',
	/** A limit that cannot be parsed. */
	UnusableLimit: 'unusable-limit',
} as const;

export type UpstreamNotice = (typeof UpstreamNotice)[keyof typeof UpstreamNotice];

/** Values that are read at each scrape. */
export type MetricSources = {
	readonly invariants: Invariants;
	readonly inFlight: () => number;
	readonly waiting: () => number;
	/** Number of upstreams with a limit on the requests that they take. */
	readonly limitedUpstreams: () => number;
	/** Requests that were read completely and have not ended. */
	readonly openRequests?: () => number;
	/** Number of features whose requests are refused because they crash upstreams. */
	readonly quarantined?: () => number;
	/** Account of the bytes that are held for callers and upstreams. */
	readonly memory: MemoryAccount;
	/** Number of connections of callers. */
	readonly connections: () => number;
	/** How often the store came back in an earlier state, as it counts. */
	readonly storeEra: () => number;
	/** Pools of the configuration, on the VM that allocates. */
	readonly pools?: () => readonly PoolMeasures[];
};

/** Measures of one pool. */
export type PoolMeasures = {
	readonly pool: string;
	/** Mean factor by which work takes longer at this moment than on average; `undefined` if no upstream states its pace. */
	readonly momentaryPace: number | undefined;
	readonly paceAgeMs: number | undefined;
	/** Fraction of its memory that is charged at the fullest upstream. */
	readonly memoryFillRatio: number;
};

/** Durations recorded in an HDR histogram and exposed as a summary in seconds, over the lifetime of the process. */
export class DurationSummary {
	readonly #name: string;
	readonly #help: string;
	readonly #histogram: Histogram = build({highestTrackableValue: MAX_TRACKED_MICROSECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS});
	#sumMs = 0;

	constructor(name: string, help: string, registry: Registry) {
		this.#name = name;
		this.#help = help;
		// The registry uses only the name and the `get` method of a metric.
		// eslint-disable-next-line @typescript-eslint/no-this-alias, unicorn/no-this-assignment
		const summary = this;
		registry.registerMetric({name, get: async () => summary.#expose()} as unknown as Metric);
	}

	/** @param ms - Duration in ms. */
	record(ms: number): void {
		this.#sumMs += ms;
		this.#histogram.recordValue(Math.min(MAX_TRACKED_MICROSECONDS, Math.max(0, Math.round(ms * MICROSECONDS_PER_MS))));
	}

	#expose() {
		const values = quantiles.map(quantile => ({
			labels: {quantile}, value: this.#histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_SECOND,
		}));
		return {
			name: this.#name,
			help: this.#help,
			type: 'summary',
			aggregator: 'sum',
			values: [
				...values,
				{metricName: `${this.#name}_sum`, labels: {}, value: this.#sumMs / 1000},
				{metricName: `${this.#name}_count`, labels: {}, value: this.#histogram.totalCount},
			],
		};
	}
}

/** All metrics of one node. */
export class Metrics {
	static create(): Metrics {
		return new Metrics();
	}

	readonly registry = new Registry();
	readonly queueWait = new DurationSummary('redwingspool_queue_wait_seconds', 'From arrival to dispatch.', this.registry);
	readonly timeToFirstToken = new DurationSummary('redwingspool_time_to_first_token_seconds', 'From arrival to the first part of a model\'s answer.', this.registry);
	readonly timeBetweenTokens = new DurationSummary('redwingspool_time_between_tokens_seconds', 'Between two parts of a model\'s answer.', this.registry);
	/** What customers got where they share scarce room. */
	readonly customers = CustomerMetrics.create(this.registry);
	/** Traffic with other data centres. */
	readonly dataCentres = DataCentreMetrics.create(this.registry);
	readonly #requests: Counter<'tier' | 'outcome'>;
	readonly #requestsBegun: Counter;
	readonly #requestEnds: Counter<'end'>;
	readonly #errors: Counter<'kind'>;
	readonly #upstreamNotices: Counter<'notice'>;
	readonly #quarantines: Counter;
	readonly #unhandledErrors: Counter;
	readonly #rolloutRequests: Counter<'version'>;
	readonly #rolloutFailures: Counter<'version'>;
	readonly #rolloutSlowResponses: Counter<'version'>;
	/** Phase of the latest roll-out of each pool. */
	readonly #rolloutPhases = new Map<string, string>();
	readonly #reliefs: Counter<'relief'>;
	readonly #closedConnections: Counter;

	private constructor() {
		this.#requests = new Counter({
			name: 'redwingspool_requests_total', help: 'Requests that ended, by rank of their tier.', labelNames: ['tier', 'outcome'], registers: [this.registry],
		});
		this.#requestsBegun = new Counter({
			name: 'redwingspool_requests_begun_total', help: 'Requests that were read completely.', registers: [this.registry],
		});
		this.#requestEnds = new Counter({
			name: 'redwingspool_request_ends_total', help: 'Requests that were read completely and ended, by what happened to the response.', labelNames: ['end'], registers: [this.registry],
		});
		this.#errors = new Counter({
			name: 'redwingspool_errors_total', help: 'Errors answered, by kind.', labelNames: ['kind'], registers: [this.registry],
		});
		this.#upstreamNotices = new Counter({
			name: 'redwingspool_upstream_notices_total', help: 'Responses in which an upstream stated something about itself, by notice.', labelNames: ['notice'], registers: [this.registry],
		});
		this.#quarantines = new Counter({
			name: 'redwingspool_quarantines_total', help: 'Features whose requests were found to crash upstreams.', registers: [this.registry],
		});
		this.#unhandledErrors = new Counter({
			name: 'redwingspool_unhandled_errors_total', help: 'Errors that no handler caught.', registers: [this.registry],
		});
		this.#rolloutRequests = new Counter({
			name: 'redwingspool_rollout_requests_total', help: 'Places granted during roll-outs, by version: base or candidate.', labelNames: ['version'], registers: [this.registry],
		});
		this.#rolloutFailures = new Counter({
			name: 'redwingspool_rollout_failures_total', help: 'Exchanges that failed during roll-outs, by version: base or candidate.', labelNames: ['version'], registers: [this.registry],
		});
		this.#rolloutSlowResponses = new Counter({
			name: 'redwingspool_rollout_slow_responses_total', help: 'Responses that were slow during roll-outs, by version: base or candidate.', labelNames: ['version'], registers: [this.registry],
		});
		const rolloutPhases = this.#rolloutPhases;
		// eslint-disable-next-line no-new -- the constructor registers the metric
		new Gauge({
			name: 'redwingspool_rollouts', help: 'Pools by the phase of their latest roll-out.', labelNames: ['phase'], registers: [this.registry], collect() {
				this.reset();
				for (const phase of rolloutPhases.values()) {
					this.inc({phase});
				}
			},
		});
		this.#reliefs = new Counter({
			name: 'redwingspool_reliefs_total', help: 'Messages that were ended to bound the held bytes, by reason.', labelNames: ['relief'], registers: [this.registry],
		});
		this.#closedConnections = new Counter({
			name: 'redwingspool_connections_closed_total', help: 'Connections that were closed because there were too many.', registers: [this.registry],
		});
		this.#registerGauge('redwingspool_resident_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss());
		this.#registerGauge('redwingspool_open_descriptors', 'Open file descriptors of the process; 0 where the system does not list them.', countOpenDescriptors);
	}

	/** Counts an error that no handler caught. */
	countUnhandledError(): void {
		this.#unhandledErrors.inc();
	}

	/** Counts a message that the account of held bytes ended. */
	countRelief(relief: Relief): void {
		this.#reliefs.inc({relief});
	}

	/** Counts a connection that was closed because there were too many. */
	countClosedConnection(): void {
		this.#closedConnections.inc();
	}

	/** Counts a feature whose requests are refused from now on. */
	countQuarantine(): void {
		this.#quarantines.inc();
	}

	/** Counts a place that was granted during a roll-out. */
	countRolloutRequest(isCandidate: boolean): void {
		this.#rolloutRequests.inc({version: isCandidate ? 'candidate' : 'base'});
	}

	/** Counts an exchange that failed during a roll-out. */
	countRolloutFailure(isCandidate: boolean): void {
		this.#rolloutFailures.inc({version: isCandidate ? 'candidate' : 'base'});
	}

	/** Counts a response that was slow compared with the base version during a roll-out. */
	countRolloutSlowResponse(isCandidate: boolean): void {
		this.#rolloutSlowResponses.inc({version: isCandidate ? 'candidate' : 'base'});
	}

	/** Records the phase of the latest roll-out of a pool. */
	setRollout(pool: string, phase: string): void {
		this.#rolloutPhases.set(pool, phase);
	}

	/** Registers metrics whose values are kept by other components. */
	registerSources(sources: MetricSources): void {
		const registers = [this.registry];
		const gauge = this.#registerGauge.bind(this);
		gauge('redwingspool_in_flight', 'Requests that are not answered yet.', sources.inFlight);
		gauge('redwingspool_requests_open', 'Requests that were read completely and have not ended.', sources.openRequests ?? (() => 0));
		gauge('redwingspool_waiting', 'Requests that wait in the queues.', sources.waiting);
		gauge('redwingspool_held_bytes', 'Bytes that are held for bodies of requests and for responses.', () => sources.memory.heldBytes);
		gauge('redwingspool_held_limit_bytes', 'Bound on the bytes that are held.', () => sources.memory.limitBytes);
		gauge('redwingspool_held_waiting', 'Messages that are not read on for want of room.', () => sources.memory.waitingCount);
		gauge('redwingspool_connections', 'Connections of callers.', sources.connections);
		gauge('redwingspool_limited_upstreams', 'Upstreams that limit the requests they take.', sources.limitedUpstreams);
		gauge('redwingspool_store_era', 'Era of the store: rises each time it comes back in an earlier state.', sources.storeEra);
		if (sources.quarantined !== undefined) {
			gauge('redwingspool_quarantined', 'Features whose requests are refused because they crash upstreams.', sources.quarantined);
		}

		const pools = sources.pools ?? (() => []);
		this.#registerPoolGauge('redwingspool_pool_momentary_pace', 'Mean factor by which work takes longer at this moment than on average.', pools, ({momentaryPace}) => momentaryPace);
		this.#registerPoolGauge('redwingspool_pool_pace_age_seconds', 'Mean age of what upstreams stated about their pace.', pools, ({paceAgeMs}) => paceAgeMs === undefined ? undefined : paceAgeMs / MS_PER_SECOND);
		this.#registerPoolGauge('redwingspool_pool_memory_fill_ratio', 'Fraction of the memory charged at the fullest upstream.', pools, ({memoryFillRatio}) => memoryFillRatio);

		for (const state of ['evaluated', 'violated'] as const) {
			// eslint-disable-next-line no-new -- the constructor registers the metric
			new Counter({
				name: `redwingspool_promises_${state}_total`, help: `How often each promise was ${state}.`, labelNames: ['promise'], registers, collect() {
					this.reset();
					for (const [promise, count] of sources.invariants.counts) {
						this.inc({promise}, count[state]);
					}
				},
			});
		}
	}

	/** @param tier - Rank of the tier. */
	countRequest(tier: number, outcome: RequestOutcome): void {
		this.#requests.inc({tier: String(Math.min(tier, MAX_TIER)), outcome});
	}

	countRequestBegun(): void {
		this.#requestsBegun.inc();
	}

	countRequestEnd(end: RequestEnd): void {
		this.#requestEnds.inc({end});
	}

	countError(kind: ErrorKind): void {
		this.#errors.inc({kind});
	}

	countUpstreamNotice(notice: UpstreamNotice): void {
		this.#upstreamNotices.inc({notice});
	}

	/** @returns All metrics in the text format. */
	async expose(): Promise<string> {
		return this.registry.metrics();
	}

	/** Registers a gauge by pool; pools without a value are left out. */
	#registerPoolGauge(name: string, help: string, pools: () => readonly PoolMeasures[], valueOf: (pool: PoolMeasures) => number | undefined): void {
		// eslint-disable-next-line no-new -- the constructor registers the metric
		new Gauge({
			name, help, labelNames: ['pool'], registers: [this.registry], collect() {
				this.reset();
				for (const measures of pools()) {
					const value = valueOf(measures);
					if (value !== undefined) {
						this.set({pool: measures.pool}, value);
					}
				}
			},
		});
	}

	/** @param read - Called at each scrape. */
	#registerGauge(name: string, help: string, read: () => number): void {
		// eslint-disable-next-line no-new -- the constructor registers the metric
		new Gauge({
			name, help, registers: [this.registry], collect() {
				this.set(read());
			},
		});
	}
}

function countOpenDescriptors(): number {
	try {
		return readdirSync(DESCRIPTOR_FOLDER).length;
	} catch {
		return 0;
	}
}
