/**
 * Baseline schedulers: first come, first served, without tiers; each node has an equal, fixed share of each upstream.
 */
import {type Clock} from '../../src/base/clock.js';
import {ErrorKind} from '../../src/base/errors.js';
import {type Random} from '../../src/base/random.js';
import {
	Scheduler, type SchedulerEvents, type UpstreamView, type Work, WorkOutcome,
} from '../../src/policy/scheduler.js';

/** How a baseline selects one of the upstreams with free slots. */
export const BaselineKind = {
	Random: 'random',
	RoundRobin: 'round-robin',
	LeastReported: 'least-reported',
	TwoChoices: 'two-choices',
} as const;

export type BaselineKind = (typeof BaselineKind)[keyof typeof BaselineKind];

/** Time for which an upstream gets no new work after a refused or lost connection. */
const FAILURE_BACKOFF_MS = 1000;

type UpstreamState = {
	readonly view: UpstreamView;
	readonly slots: number;
	inFlight: number;
	reportedLoad: number;
	blockedUntil: number;
};

/** Options of a baseline scheduler. */
export type BaselineOptions = {
	readonly kind: BaselineKind;
	readonly clock: Clock;
	readonly random: Random;
	readonly events: SchedulerEvents;
	readonly nodeCount: number;
	readonly maxWaiting: number;
};

/** A scheduler that starts requests in order of arrival and selects upstreams by a simple rule. */
export class BaselineScheduler extends Scheduler {
	static create(options: BaselineOptions): BaselineScheduler {
		return new BaselineScheduler(options);
	}

	readonly #options: BaselineOptions;
	#states = new Map<string, UpstreamState>();
	#waiting: Work[] = [];
	readonly #running = new Map<string, UpstreamState>();
	#roundRobinIndex = 0;
	#isStarting = false;

	private constructor(options: BaselineOptions) {
		super();
		this.#options = options;
	}

	get waitingCount(): number {
		return this.#waiting.length;
	}

	override noteLoad(upstreamId: string, total: number): void {
		this.#states.get(upstreamId)!.reportedLoad = total;
	}

	submit(work: Work): void {
		const {clock, events, maxWaiting} = this.#options;
		if (this.#waiting.filter(other => other.pool === work.pool).length >= maxWaiting) {
			events.refuse(work, ErrorKind.Overloaded);
			return;
		}

		this.#waiting.push(work);
		clock.setTimer(work.deadlineAt - clock.now(), () => {
			if (this.#waiting.includes(work)) {
				this.withdraw(work.id);
				events.refuse(work, ErrorKind.DeadlineUnreachable);
			}
		});
		this.#startWaiting();
	}

	withdraw(workId: string): void {
		this.#waiting = this.#waiting.filter(work => work.id !== workId);
	}

	noteCommitted(): void {
		// Baselines do not adapt.
	}

	noteProgress(): void {
		// Baselines do not adapt.
	}

	noteFinished(workId: string, outcome: WorkOutcome): void {
		const state = this.#running.get(workId);
		if (state !== undefined) {
			this.#running.delete(workId);
			state.inFlight -= 1;
			if (outcome === WorkOutcome.Lost || outcome === WorkOutcome.ConnectionRefused) {
				state.blockedUntil = this.#options.clock.now() + FAILURE_BACKOFF_MS;
			}

			this.#startWaiting();
		}
	}

	setUpstreams(upstreams: readonly UpstreamView[]): void {
		this.#states = new Map(upstreams.map(view => [view.id, {
			view, slots: Math.ceil(view.maxConcurrency / this.#options.nodeCount), inFlight: 0, reportedLoad: 0, blockedUntil: 0,
		}]));
	}

	#startWaiting(): void {
		if (this.#isStarting) {
			return;
		}

		this.#isStarting = true;
		const fullPools = new Set<string>();
		for (const work of this.#waiting) {
			if (!fullPools.has(work.pool) && !this.#tryStart(work)) {
				fullPools.add(work.pool);
			}
		}

		this.#isStarting = false;
	}

	#tryStart(work: Work): boolean {
		const now = this.#options.clock.now();
		const available = [...this.#states.values()].filter(({view, inFlight, slots, blockedUntil}) => view.pool === work.pool
			&& !view.isLeaving && !work.excluded.includes(view.id) && inFlight < slots && blockedUntil <= now);
		if (available.length === 0) {
			return false;
		}

		const state = this.#selectUpstream(available);
		state.inFlight += 1;
		this.#running.set(work.id, state);
		this.withdraw(work.id);
		this.#options.events.start(work, state.view.id);
		return true;
	}

	#selectUpstream(available: readonly UpstreamState[]): UpstreamState {
		const {kind, random} = this.#options;
		if (kind === BaselineKind.Random) {
			return random.pick(available);
		}

		if (kind === BaselineKind.RoundRobin) {
			this.#roundRobinIndex += 1;
			return available[this.#roundRobinIndex % available.length]!;
		}

		const candidates = kind === BaselineKind.TwoChoices ? [random.pick(available), random.pick(available)] : available;
		let [best] = candidates as [UpstreamState];
		for (const state of candidates) {
			best = state.reportedLoad < best.reportedLoad ? state : best;
		}

		return best;
	}
}
