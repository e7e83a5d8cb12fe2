/**
 * Baseline schedulers: first come, first served; no tiers; each node has an equal, fixed part of each upstream.
 */
import {type Clock} from '../../src/base/clock.js';
import {ErrorKind} from '../../src/base/errors.js';
import {type Random} from '../../src/base/random.js';
import {
	Scheduler, type SchedulerEvents, type UpstreamView, type Work, WorkOutcome,
} from '../../src/policy/scheduler.js';

/** How a baseline chooses among the upstreams with free slots. */
export const BaselineKind = {
	Random: 'random',
	RoundRobin: 'round-robin',
	LeastReported: 'least-reported',
	TwoChoices: 'two-choices',
} as const;

export type BaselineKind = (typeof BaselineKind)[keyof typeof BaselineKind];

/** Fixed time without new work after a refused or lost connection. */
const FAILURE_PAUSE_MS = 1000;

type State = {
	readonly view: UpstreamView;
	readonly slots: number;
	inFlight: number;
	reported: number;
	pausedUntil: number;
};

/** What a baseline works with. */
export type BaselineOptions = {
	readonly kind: BaselineKind;
	readonly clock: Clock;
	readonly random: Random;
	readonly events: SchedulerEvents;
	readonly nodeCount: number;
	readonly maxWaiting: number;
};

/** A baseline. */
export class BaselineScheduler extends Scheduler {
	static create(options: BaselineOptions): BaselineScheduler {
		return new BaselineScheduler(options);
	}

	readonly #options: BaselineOptions;
	#states = new Map<string, State>();
	#waiting: Work[] = [];
	readonly #running = new Map<string, State>();
	#turn = 0;
	#isPumping = false;

	private constructor(options: BaselineOptions) {
		super();
		this.#options = options;
	}

	get waitingCount(): number {
		return this.#waiting.length;
	}

	override noteLoad(upstreamId: string, total: number): void {
		this.#states.get(upstreamId)!.reported = total;
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
		this.#pump();
	}

	withdraw(workId: string): void {
		this.#waiting = this.#waiting.filter(work => work.id !== workId);
	}

	noteCommitted(): void {
		// Nothing is learned.
	}

	noteProgress(): void {
		// Nothing is learned.
	}

	noteFinished(workId: string, outcome: WorkOutcome): void {
		const state = this.#running.get(workId);
		if (state !== undefined) {
			this.#running.delete(workId);
			state.inFlight -= 1;
			if (outcome === WorkOutcome.Lost || outcome === WorkOutcome.ConnectionRefused) {
				state.pausedUntil = this.#options.clock.now() + FAILURE_PAUSE_MS;
			}

			this.#pump();
		}
	}

	setUpstreams(upstreams: readonly UpstreamView[]): void {
		this.#states = new Map(upstreams.map(view => [view.id, {
			view, slots: Math.ceil(view.maxConcurrency / this.#options.nodeCount), inFlight: 0, reported: 0, pausedUntil: 0,
		}]));
	}

	#pump(): void {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		const fullPools = new Set<string>();
		for (const work of this.#waiting) {
			if (!fullPools.has(work.pool) && !this.#tryStart(work)) {
				fullPools.add(work.pool);
			}
		}

		this.#isPumping = false;
	}

	#tryStart(work: Work): boolean {
		const now = this.#options.clock.now();
		const free = [...this.#states.values()].filter(({view, inFlight, slots, pausedUntil}) => view.pool === work.pool
			&& !view.isLeaving && !work.excluded.includes(view.id) && inFlight < slots && pausedUntil <= now);
		if (free.length === 0) {
			return false;
		}

		const state = this.#choose(free);
		state.inFlight += 1;
		this.#running.set(work.id, state);
		this.withdraw(work.id);
		this.#options.events.start(work, state.view.id);
		return true;
	}

	#choose(free: readonly State[]): State {
		const {kind, random} = this.#options;
		if (kind === BaselineKind.Random) {
			return random.pick(free);
		}

		if (kind === BaselineKind.RoundRobin) {
			this.#turn += 1;
			return free[this.#turn % free.length]!;
		}

		const candidates = kind === BaselineKind.TwoChoices ? [random.pick(free), random.pick(free)] : free;
		let [best] = candidates as [State];
		for (const state of candidates) {
			best = state.reported < best.reported ? state : best;
		}

		return best;
	}
}
