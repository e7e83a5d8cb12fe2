/**
 * Polls the engines that this node talks to for cache events, and those that it allocates for load reports.
 */
import {type Clock} from '../base/clock.js';
import {type Scheduler} from '../policy/scheduler.js';
import {IntervalPart} from '../supervisor/interval-part.js';
import {Engine, type LoadReport} from './engine.js';
import {type UpstreamRegistry} from './registry.js';

const POLL_INTERVAL_MS = 1000;
/** Cache events only make routing more accurate, so they are read less often than load. */
const POLLS_PER_CACHE_READ = 2;
/** An unchanged report is passed on this often, as nodes that started since do not have it. */
const REPEAT_LOAD_MS = 10_000;

/** The load that was last passed on. */
type PassedLoad = {
	readonly total: number;
	readonly at: number;
};

/** What the part is made of. */
export type ObserverPartOptions = {
	readonly clock: Clock;
	readonly upstreams: UpstreamRegistry;
	readonly scheduler: Scheduler;
	/** Upstreams that this node talks to. */
	readonly assigned: () => readonly string[];
	/** Whether this node reads the load of an upstream for all nodes that talk to it. */
	readonly isAllocator: (upstreamId: string) => boolean;
	/** Passes a changed report on to the other nodes. */
	readonly onLoad: (upstreamId: string, report: LoadReport) => void;
	/** Called when an engine says that it takes no new work. */
	readonly onLeaving: (upstreamId: string) => void;
};

/** The part that observes engines. */
export class ObserverPart extends IntervalPart {
	static create(options: ObserverPartOptions): ObserverPart {
		return new ObserverPart(options);
	}

	readonly #options: ObserverPartOptions;
	readonly #lastSequences = new Map<string, number>();
	readonly #passedLoads = new Map<string, PassedLoad>();
	#rounds = 0;

	private constructor(options: ObserverPartOptions) {
		super(options.clock, POLL_INTERVAL_MS);
		this.#options = options;
	}

	get name(): string {
		return 'observer';
	}

	protected round(): void {
		const readsCache = this.#rounds % POLLS_PER_CACHE_READ === 0;
		this.#rounds += 1;
		// A slow engine must not hold up the reports of the others, nor the next round.
		for (const upstreamId of this.#options.assigned()) {
			void this.#observe(upstreamId, readsCache);
		}
	}

	async #observe(upstreamId: string, readsCache: boolean): Promise<void> {
		const client = this.#options.upstreams.getClient(upstreamId);
		if (!(client instanceof Engine)) {
			return;
		}

		const reads = [];
		if (this.#options.isAllocator(upstreamId)) {
			reads.push(this.#readLoad(upstreamId, client));
		}

		if (readsCache) {
			reads.push(this.#readCache(upstreamId, client));
		}

		await Promise.all(reads);
	}

	async #readLoad(upstreamId: string, engine: Engine): Promise<void> {
		const {scheduler, onLoad, onLeaving} = this.#options;
		const report = await engine.loadReport();
		if (report.isErr) {
			return;
		}

		const {runningCount, waitingCount, ageMs, isLeaving} = report.value;
		scheduler.noteLoad(upstreamId, runningCount + waitingCount, ageMs);
		if (this.#isNews(upstreamId, runningCount + waitingCount)) {
			onLoad(upstreamId, report.value);
		}

		if (isLeaving) {
			onLeaving(upstreamId);
		}
	}

	#isNews(upstreamId: string, total: number): boolean {
		const now = this.#options.clock.now();
		const passed = this.#passedLoads.get(upstreamId);
		if (passed?.total === total && now - passed.at < REPEAT_LOAD_MS) {
			return false;
		}

		this.#passedLoads.set(upstreamId, {total, at: now});
		return true;
	}

	async #readCache(upstreamId: string, engine: Engine): Promise<void> {
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
