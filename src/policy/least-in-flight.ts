/**
 * Minimal scheduler: one queue ordered by tier, routing to the upstream with the fewest requests in flight.
 */
import {type Clock} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {
	Scheduler, type SchedulerEvents, type UpstreamView, type Work, type WorkOutcome,
} from './scheduler.js';

type UpstreamEntry = {
	readonly view: UpstreamView;
	inFlight: number;
};

/** Baseline policy without adaptive behavior. */
export class LeastInFlightScheduler extends Scheduler {
	static create(clock: Clock, events: SchedulerEvents): LeastInFlightScheduler {
		return new LeastInFlightScheduler(clock, events);
	}

	readonly #clock: Clock;
	readonly #events: SchedulerEvents;
	#upstreams = new Map<string, UpstreamEntry>();
	#waiting: Work[] = [];
	readonly #running = new Map<string, UpstreamEntry>();

	private constructor(clock: Clock, events: SchedulerEvents) {
		super();
		this.#clock = clock;
		this.#events = events;
	}

	get waitingCount(): number {
		return this.#waiting.length;
	}

	submit(work: Work): void {
		this.#waiting.push(work);
		this.#waiting.sort((a, b) => a.tier - b.tier || a.arrivedAt - b.arrivedAt);
		this.#startWaiting();
	}

	withdraw(workId: string): void {
		this.#waiting = this.#waiting.filter(work => work.id !== workId);
	}

	noteCommitted(): void {
		// This policy does not use the event.
	}

	noteProgress(): void {
		// This policy does not use the event.
	}

	noteFinished(workId: string, _outcome: WorkOutcome): void {
		const state = this.#running.get(workId);
		if (state === undefined) {
			return;
		}

		this.#running.delete(workId);
		state.inFlight -= 1;
		this.#startWaiting();
	}

	setUpstreams(upstreams: readonly UpstreamView[]): void {
		this.#upstreams = new Map(upstreams.map(view => {
			const inFlight = this.#upstreams.get(view.id)?.inFlight ?? 0;
			return [view.id, {view, inFlight}];
		}));
		this.#startWaiting();
	}

	#startWaiting(): void {
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const work of waiting) {
			this.#tryStart(work);
		}
	}

	#tryStart(work: Work): void {
		if (this.#clock.now() >= work.deadlineAt) {
			this.#events.refuse(work, ErrorKind.DeadlineUnreachable);
			return;
		}

		const candidates = [...this.#upstreams.values()].filter(state => isUsable(state, work));
		if (candidates.length === 0) {
			this.#events.refuse(work, ErrorKind.NoUpstream);
			return;
		}

		const free = candidates.filter(state => state.inFlight < state.view.maxConcurrency);
		if (free.length === 0) {
			this.#waiting.push(work);
			return;
		}

		free.sort((a, b) => a.inFlight - b.inFlight);
		const [leastLoaded] = free as [UpstreamEntry];
		leastLoaded.inFlight += 1;
		this.#running.set(work.id, leastLoaded);
		this.#events.start(work, leastLoaded.view.id);
	}
}

function isUsable(state: UpstreamEntry, work: Work): boolean {
	const {view} = state;
	return view.pool === work.pool
		&& !view.isLeaving
		&& !work.excluded.includes(view.id)
		&& (work.model === undefined || view.models === undefined || view.models.includes(work.model));
}
