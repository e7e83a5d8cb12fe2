/**
 * Waiting work of one pool: tier priority, deadlines, queue bounds and dispatch.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {Admission, PRESSURE_LEAD_MS, TIER_COUNT} from './admission.js';
import {TimerQueue} from './timer-queue.js';
import {type Lane} from './lane.js';
import {Lanes} from './lanes.js';
import {requestCost, type OutputLengthEstimator} from './output-length-estimator.js';
import {type Choice, type Router} from './router.js';
import {type SchedulerEvents, type Work} from './scheduler.js';
import {type WaitingWork} from './waiting-work.js';

const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1;
/** Limits on the candidates, by customer and within each customer, that are considered for a free slot. */
const MAX_CANDIDATE_CUSTOMERS = 2;
const MAX_CANDIDATES_PER_CUSTOMER = 2;
/** Fraction of the time until its latest start after which waiting work puts its tier under pressure. */
const PRESSURE_WAIT_FRACTION = 0.3;
/** Delay before work that no free upstream could take is considered again. */
const HOLD_MS = 20;
/** Interval at which work at risk of missing its deadline renews the pressure on its tier. */
const PRESSURE_RENEWAL_MS = 500;

/** Dependencies and settings of a pool. */
export type PoolOptions = {
	readonly name: string;
	readonly region: string;
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly events: SchedulerEvents;
	readonly router: Router;
	readonly outputEstimator: OutputLengthEstimator;
	/** Maximum number of waiting requests. */
	readonly maxWaiting: number;
	/** Reserves a slot at the chosen upstream. */
	readonly reserveSlot: (waiting: WaitingWork, choice: Choice) => void;
};

/** Queues and dispatches the work of one pool. */
export class Pool {
	static create(options: PoolOptions): Pool {
		return new Pool(options);
	}

	readonly admission: Admission;
	readonly lanes: Lanes;
	readonly #options: PoolOptions;
	readonly #waiting = new Map<string, WaitingWork>();
	readonly #waitingByTier = Array.from({length: TIER_COUNT}, () => 0);
	readonly #timerQueue: TimerQueue;
	#shedTimer: Timer | undefined;
	#holdTimer: Timer | undefined;
	#isDispatching = false;
	#minPrefillMsPerToken = DEFAULT_PREFILL_MS_PER_TOKEN;

	private constructor(options: PoolOptions) {
		this.#options = options;
		this.lanes = Lanes.create(options.clock, options.region);
		this.#timerQueue = TimerQueue.create(options.clock, (waiting, now) => this.#handleTimer(waiting, now));
		this.admission = Admission.create(options.invariants, tier => {
			options.events.notePressure?.(options.name, tier);
		});
	}

	get waitingCount(): number {
		return this.#waiting.size;
	}

	get waitingByTier(): readonly number[] {
		return this.#waitingByTier;
	}

	/** Refreshes state derived from all upstreams; called several times per second. */
	tick(): void {
		let minPrefillMsPerToken = Number.POSITIVE_INFINITY;
		for (const state of this.lanes.members) {
			minPrefillMsPerToken = Math.min(minPrefillMsPerToken, state.prefillMsPerToken);
			this.lanes.refresh(state);
		}

		this.#minPrefillMsPerToken = minPrefillMsPerToken === Number.POSITIVE_INFINITY ? DEFAULT_PREFILL_MS_PER_TOKEN : minPrefillMsPerToken;
		this.dispatchWaiting();
	}

	/** @param cachedTokens - Largest number of prompt tokens that any upstream probably has cached. */
	submit(work: Work, isSuspect: boolean, cachedTokens: number): void {
		const now = this.#options.clock.now();
		const lane = this.lanes.getLane(work.model);
		if (!hasEligibleUpstream(lane.members.keys(), work.excluded)) {
			this.#options.events.refuse(work, ErrorKind.NoUpstream);
			return;
		}

		lane.noteSubmitted(work.tier, now);
		const prefillMs = (work.promptTokens - cachedTokens) * this.#minPrefillMsPerToken;
		const latestStart = work.deadlineAt - prefillMs;
		if (now > latestStart) {
			this.#options.events.refuse(work, ErrorKind.DeadlineUnreachable);
			return;
		}

		const cost = requestCost(work.promptTokens - cachedTokens, this.#options.outputEstimator.expectedTokens(work));
		const waiting: WaitingWork = {
			work, lane, cost, isSuspect, latestStart, heldUntil: Number.NEGATIVE_INFINITY,
		};
		this.#add(waiting);
		if (this.admission.blockedUntil(work.tier) > now) {
			this.admission.prepareShed(work.tier, now);
			this.#shed(waiting, ErrorKind.Overloaded);
			return;
		}

		this.dispatchWaiting();
		if (this.#waiting.has(work.id)) {
			this.#timerQueue.add(now + (PRESSURE_WAIT_FRACTION * Math.max(0, latestStart - now - PRESSURE_LEAD_MS)), waiting);
			this.#shedExcess();
		}
	}

	withdraw(workId: string): boolean {
		const waiting = this.#waiting.get(workId);
		if (waiting !== undefined) {
			this.#remove(waiting);
			waiting.lane.queues[waiting.work.tier]!.drop(waiting.work, waiting.cost);
		}

		return waiting !== undefined;
	}

	/** Starts waiting work that has a suitable upstream, in order of tier priority. */
	dispatchWaiting(): void {
		if (this.#isDispatching) {
			return;
		}

		this.#isDispatching = true;
		try {
			const now = this.#options.clock.now();
			for (let tier = 0; tier < TIER_COUNT; tier += 1) {
				if (this.#waitingByTier[tier]! > 0 && this.admission.blockedUntil(tier) <= now) {
					this.#dispatchTier(tier, now);
				}
			}
		} finally {
			this.#isDispatching = false;
		}
	}

	#dispatchTier(tier: number, now: number): void {
		for (const lane of this.lanes.all) {
			while (lane.queues[tier]!.size > 0 && lane.nearFree.size + lane.farFree.size > 0) {
				const next = this.#selectNext(lane, tier, now);
				if (next === undefined) {
					break;
				}

				this.#start(next.waiting, next.choice, now);
			}
		}
	}

	/**
	 * Selects the first work in fair order that has a suitable upstream. Several candidates are considered, so that held work
	 * does not block others.
	 */
	#selectNext(lane: Lane, tier: number, now: number): {waiting: WaitingWork; choice: Choice} | undefined {
		for (const work of lane.queues[tier]!.next(MAX_CANDIDATE_CUSTOMERS, MAX_CANDIDATES_PER_CUSTOMER)) {
			const waiting = this.#waiting.get(work.id)!;
			if (waiting.heldUntil > now) {
				continue;
			}

			const choice = this.#options.router.choose(lane, work, waiting.isSuspect, now);
			if (choice !== undefined && now + choice.firstTokenMs <= work.deadlineAt) {
				return {waiting, choice};
			}

			this.#hold(waiting, now);
		}

		return undefined;
	}

	#hold(waiting: WaitingWork, now: number): void {
		waiting.heldUntil = now + HOLD_MS;
		this.#holdTimer ??= this.#options.clock.setTimer(HOLD_MS, () => {
			this.#holdTimer = undefined;
			this.dispatchWaiting();
		});
	}

	#start(waiting: WaitingWork, choice: Choice, now: number): void {
		const {work, lane} = waiting;
		this.#remove(waiting);
		lane.queues[work.tier]!.dequeue(work);
		if (!this.admission.noteStart(work.tier, now)) {
			this.#options.events.refuse(work, ErrorKind.Internal);
			return;
		}

		this.#options.reserveSlot(waiting, choice);
		this.#options.events.start(work, choice.state.view.id);
	}

	#add(waiting: WaitingWork): void {
		const {work, lane, cost} = waiting;
		this.#waiting.set(work.id, waiting);
		this.#waitingByTier[work.tier]! += 1;
		lane.queues[work.tier]!.push(work, cost);
	}

	#remove(waiting: WaitingWork): void {
		this.#waiting.delete(waiting.work.id);
		this.#waitingByTier[waiting.work.tier]! -= 1;
	}

	/** Refuses work because of load, after shedding all lower-priority work. */
	#shed(waiting: WaitingWork, kind: ErrorKind): void {
		const {tier} = waiting.work;
		for (let lower = TIER_COUNT - 1; lower > tier; lower -= 1) {
			this.#shedTier(lower);
		}

		this.#shedOne(waiting, kind);
	}

	#shedTier(tier: number): void {
		if (this.#waitingByTier[tier] === 0) {
			return;
		}

		for (const waiting of this.#waiting.values()) {
			if (waiting.work.tier === tier) {
				this.#shedOne(waiting, ErrorKind.Overloaded);
			}
		}
	}

	#shedOne(waiting: WaitingWork, kind: ErrorKind): void {
		const now = this.#options.clock.now();
		this.withdraw(waiting.work.id);
		this.admission.noteShed(waiting.work.tier, this.#waitingByTier, now);
		this.#options.events.refuse(waiting.work, kind);
	}

	/** Sheds work while the queue exceeds its bound, from the lowest tier and the customer furthest ahead of its fair share. */
	#shedExcess(): void {
		const {maxWaiting, clock} = this.#options;
		while (this.#waiting.size > maxWaiting) {
			const candidate = this.#findShedCandidate();
			const allowedAt = this.admission.prepareShed(candidate.work.tier, clock.now());
			if (allowedAt > clock.now() && this.#waiting.size < 2 * maxWaiting) {
				this.#shedTimer ??= clock.setTimer(allowedAt - clock.now(), () => {
					this.#shedTimer = undefined;
					this.#shedExcess();
				});
				return;
			}

			this.#shed(candidate, ErrorKind.Overloaded);
		}
	}

	#findShedCandidate(): WaitingWork {
		const tier = this.#waitingByTier.findLastIndex(count => count > 0);
		for (const lane of this.lanes.all) {
			const work = lane.queues[tier]!.findShedCandidate();
			if (work !== undefined) {
				return this.#waiting.get(work.id)!;
			}
		}

		throw new Error('No waiting work was found in the lowest-priority tier.');
	}

	/** @returns Next due time of the work; `undefined` if it no longer waits. */
	#handleTimer(waiting: WaitingWork, now: number): number | undefined {
		if (this.#waiting.get(waiting.work.id) !== waiting) {
			return undefined;
		}

		const allowedAt = Math.max(waiting.latestStart, this.admission.prepareShed(waiting.work.tier, now));
		if (allowedAt > now) {
			return Math.min(allowedAt, now + PRESSURE_RENEWAL_MS);
		}

		this.#shed(waiting, ErrorKind.DeadlineUnreachable);
		return undefined;
	}
}

function hasEligibleUpstream(upstreamIds: Iterable<string>, excluded: readonly string[]): boolean {
	for (const id of upstreamIds) {
		if (!excluded.includes(id)) {
			return true;
		}
	}

	return false;
}
