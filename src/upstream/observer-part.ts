/**
 * Polls the engines assigned to this node for cache events, and those that it allocates for load reports.
 */
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Scheduler} from '../policy/scheduler.js';
import {IntervalPart} from '../supervisor/interval-part.js';
import {Engine, type LoadReport} from './engine.js';
import {type UpstreamRegistry} from './registry.js';

const POLL_INTERVAL_MS = 1000;
/** Cache events only improve routing accuracy, so they are polled less often than load. */
const ROUNDS_PER_CACHE_POLL = 2;
/** Interval at which an unchanged report is forwarded again, because nodes that started in the meantime do not have it. */
const LOAD_REFRESH_INTERVAL_MS = 10_000;

/** The load report last forwarded to the other nodes. */
type ForwardedLoad = {
	readonly requestCount: number;
	readonly at: number;
};

/** Dependencies of the part. */
export type ObserverPartOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly upstreams: UpstreamRegistry;
	readonly scheduler: Scheduler;
	/** Upstreams assigned to this node. */
	readonly assigned: () => readonly string[];
	/** Whether this node polls the load of an upstream on behalf of all nodes that send requests to it. */
	readonly isAllocator: (upstreamId: string) => boolean;
	/** Forwards a changed or refreshed report to the other nodes. */
	readonly onLoad: (upstreamId: string, report: LoadReport) => void;
	/** Called when an engine reports that it is leaving and accepts no new work. */
	readonly onLeaving: (upstreamId: string) => void;
};

/** Supervised part that polls engines at a fixed interval. */
export class ObserverPart extends IntervalPart {
	static create(options: ObserverPartOptions): ObserverPart {
		return new ObserverPart(options);
	}

	readonly #options: ObserverPartOptions;
	readonly #lastSequences = new Map<string, number>();
	readonly #forwardedLoads = new Map<string, ForwardedLoad>();
	#roundCount = 0;

	private constructor(options: ObserverPartOptions) {
		super(options.clock, POLL_INTERVAL_MS);
		this.#options = options;
	}

	get name(): string {
		return 'observer';
	}

	protected round(): void {
		const {assigned, log} = this.#options;
		const pollsCache = this.#roundCount % ROUNDS_PER_CACHE_POLL === 0;
		this.#roundCount += 1;
		// Not awaited, so that a slow engine delays neither the polls of other engines nor the next round.
		for (const upstreamId of assigned()) {
			runInBackground(log, 'poll of an engine', async () => this.#pollEngine(upstreamId, pollsCache));
		}
	}

	async #pollEngine(upstreamId: string, pollsCache: boolean): Promise<void> {
		const client = this.#options.upstreams.getClient(upstreamId);
		if (!(client instanceof Engine)) {
			return;
		}

		const polls = [];
		if (this.#options.isAllocator(upstreamId)) {
			polls.push(this.#pollLoad(upstreamId, client));
		}

		if (pollsCache) {
			polls.push(this.#pollCacheEvents(upstreamId, client));
		}

		await Promise.all(polls);
	}

	async #pollLoad(upstreamId: string, engine: Engine): Promise<void> {
		const {scheduler, onLoad, onLeaving} = this.#options;
		const report = await engine.loadReport();
		if (report.isErr) {
			return;
		}

		const {runningCount, waitingCount, ageMs, isLeaving} = report.value;
		scheduler.noteLoad(upstreamId, runningCount + waitingCount, ageMs);
		if (this.#needsForwarding(upstreamId, runningCount + waitingCount)) {
			onLoad(upstreamId, report.value);
		}

		if (isLeaving) {
			onLeaving(upstreamId);
		}
	}

	#needsForwarding(upstreamId: string, requestCount: number): boolean {
		const now = this.#options.clock.now();
		const forwarded = this.#forwardedLoads.get(upstreamId);
		if (forwarded?.requestCount === requestCount && now - forwarded.at < LOAD_REFRESH_INTERVAL_MS) {
			return false;
		}

		this.#forwardedLoads.set(upstreamId, {requestCount, at: now});
		return true;
	}

	async #pollCacheEvents(upstreamId: string, engine: Engine): Promise<void> {
		const events = await engine.cacheEvents(this.#lastSequences.get(upstreamId) ?? 0);
		if (events.isErr) {
			return;
		}

		for (const event of events.value) {
			this.#options.scheduler.noteCacheChange(upstreamId, event);
			this.#lastSequences.set(upstreamId, event.sequence);
		}
	}
}
