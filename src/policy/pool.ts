/**
 * Waiting work of one pool: order of tiers, deadlines, bounds and starts.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {type Invariants} from '../base/invariant.js';
import {Admission, PRESSURE_LEAD_MS, TIER_COUNT} from './admission.js';
import {DueTimes} from './due-times.js';
import {type Lane} from './lane.js';
import {Lanes} from './lanes.js';
import {costOf, type OutputEstimate} from './output-estimate.js';
import {type Choice, type Router} from './router.js';
import {type SchedulerEvents, type Work} from './scheduler.js';
import {type Waiting} from './waiting.js';

const DEFAULT_PREFILL_MS_PER_TOKEN = 0.1;
/** Customers and works of each that are compared when a slot becomes free. */
const WINDOW_CUSTOMERS = 2;
const WINDOW_DEPTH = 2;
/** Work that has waited for this part of its time puts its tier under pressure. */
const RISK_PART = 0.3;
/** Work that no free upstream suits is compared again after this time. */
const HOLD_MS = 20;
const MARK_AGAIN_MS = 500;

/** What a pool works with. */
export type PoolOptions = {
	readonly name: string;
	readonly region: string;
	readonly clock: Clock;
	readonly invariants: Invariants;
	readonly events: SchedulerEvents;
	readonly router: Router;
	readonly outputs: OutputEstimate;
	/** Greatest number of waiting requests. */
	readonly maxWaiting: number;
	/** Occupies a slot of the chosen upstream. */
	readonly occupy: (waiting: Waiting, choice: Choice) => void;
};

/** One pool. */
export class Pool {
	static create(options: PoolOptions): Pool {
		return new Pool(options);
	}

	readonly admission: Admission;
	readonly lanes: Lanes;
	readonly #options: PoolOptions;
	readonly #waiting = new Map<string, Waiting>();
	readonly #waitingByTier = Array.from({length: TIER_COUNT}, () => 0);
	readonly #dues: DueTimes;
	#trimTimer: Timer | undefined;
	#holdTimer: Timer | undefined;
	#isPumping = false;
	#bestPrefillMsPerToken = DEFAULT_PREFILL_MS_PER_TOKEN;

	private constructor(options: PoolOptions) {
		this.#options = options;
		this.lanes = Lanes.create(options.clock, options.region);
		this.#dues = DueTimes.create(options.clock, (waiting, now) => this.#handleDue(waiting, now));
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

	/** Updates what depends on all upstreams; called a few times per second. */
	tick(): void {
		let best = Number.POSITIVE_INFINITY;
		for (const state of this.lanes.members) {
			best = Math.min(best, state.prefillMsPerToken);
			this.lanes.refresh(state);
		}

		this.#bestPrefillMsPerToken = best === Number.POSITIVE_INFINITY ? DEFAULT_PREFILL_MS_PER_TOKEN : best;
		this.pump();
	}

	/** @param cachedTokens - Greatest part of the prompt that some upstream probably holds. */
	submit(work: Work, isSuspect: boolean, cachedTokens: number): void {
		const now = this.#options.clock.now();
		const lane = this.lanes.laneOf(work.model);
		if (!hasOther(lane.members.keys(), work.excluded)) {
			this.#options.events.refuse(work, ErrorKind.NoUpstream);
			return;
		}

		lane.noteSubmitted(work.tier, now);
		const prefillMs = (work.promptTokens - cachedTokens) * this.#bestPrefillMsPerToken;
		const latestStart = work.deadlineAt - prefillMs;
		if (now > latestStart) {
			this.#options.events.refuse(work, ErrorKind.DeadlineUnreachable);
			return;
		}

		const cost = costOf(work.promptTokens - cachedTokens, this.#options.outputs.expected(work));
		const waiting: Waiting = {
			work, lane, cost, isSuspect, latestStart, heldUntil: Number.NEGATIVE_INFINITY,
		};
		this.#add(waiting);
		if (this.admission.blockedUntil(work.tier) > now) {
			this.admission.prepareShed(work.tier, now);
			this.#shed(waiting, ErrorKind.Overloaded);
			return;
		}

		this.pump();
		if (this.#waiting.has(work.id)) {
			this.#dues.add(now + (RISK_PART * Math.max(0, latestStart - now - PRESSURE_LEAD_MS)), waiting);
			this.#trim();
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

	/** Starts what can start, the most important tier first. */
	pump(): void {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		try {
			const now = this.#options.clock.now();
			for (let tier = 0; tier < TIER_COUNT; tier += 1) {
				if (this.#waitingByTier[tier]! > 0 && this.admission.blockedUntil(tier) <= now) {
					this.#pumpTier(tier, now);
				}
			}
		} finally {
			this.#isPumping = false;
		}
	}

	#pumpTier(tier: number, now: number): void {
		for (const lane of this.lanes.all) {
			while (lane.queues[tier]!.size > 0 && lane.nearFree.size + lane.farFree.size > 0) {
				const next = this.#pick(lane, tier, now);
				if (next === undefined) {
					break;
				}

				this.#start(next.waiting, next.choice, now);
			}
		}
	}

	/** Takes the first work in fair order that an upstream suits; a few are looked at, so that held work blocks nobody. */
	#pick(lane: Lane, tier: number, now: number): {waiting: Waiting; choice: Choice} | undefined {
		for (const work of lane.queues[tier]!.next(WINDOW_CUSTOMERS, WINDOW_DEPTH)) {
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

	#hold(waiting: Waiting, now: number): void {
		waiting.heldUntil = now + HOLD_MS;
		this.#holdTimer ??= this.#options.clock.setTimer(HOLD_MS, () => {
			this.#holdTimer = undefined;
			this.pump();
		});
	}

	#start(waiting: Waiting, choice: Choice, now: number): void {
		const {work, lane} = waiting;
		this.#remove(waiting);
		lane.queues[work.tier]!.take(work);
		if (!this.admission.noteStart(work.tier, now)) {
			this.#options.events.refuse(work, ErrorKind.Internal);
			return;
		}

		this.#options.occupy(waiting, choice);
		this.#options.events.start(work, choice.state.view.id);
	}

	#add(waiting: Waiting): void {
		const {work, lane, cost} = waiting;
		this.#waiting.set(work.id, waiting);
		this.#waitingByTier[work.tier]! += 1;
		lane.queues[work.tier]!.push(work, cost);
	}

	#remove(waiting: Waiting): void {
		this.#waiting.delete(waiting.work.id);
		this.#waitingByTier[waiting.work.tier]! -= 1;
	}

	/** Refuses work because of load; all lower work is refused first. */
	#shed(waiting: Waiting, kind: ErrorKind): void {
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

	#shedOne(waiting: Waiting, kind: ErrorKind): void {
		const now = this.#options.clock.now();
		this.withdraw(waiting.work.id);
		this.admission.noteShed(waiting.work.tier, this.#waitingByTier, now);
		this.#options.events.refuse(waiting.work, kind);
	}

	/** Sheds the least entitled work of the lowest tier while too much waits. */
	#trim(): void {
		const {maxWaiting, clock} = this.#options;
		while (this.#waiting.size > maxWaiting) {
			const victim = this.#victim();
			const allowedAt = this.admission.prepareShed(victim.work.tier, clock.now());
			if (allowedAt > clock.now() && this.#waiting.size < 2 * maxWaiting) {
				this.#trimTimer ??= clock.setTimer(allowedAt - clock.now(), () => {
					this.#trimTimer = undefined;
					this.#trim();
				});
				return;
			}

			this.#shed(victim, ErrorKind.Overloaded);
		}
	}

	#victim(): Waiting {
		const tier = this.#waitingByTier.findLastIndex(count => count > 0);
		for (const lane of this.lanes.all) {
			const work = lane.queues[tier]!.leastEntitled();
			if (work !== undefined) {
				return this.#waiting.get(work.id)!;
			}
		}

		throw new Error('No work waits in the lowest tier.');
	}

	/** @returns When the work is due again. */
	#handleDue(waiting: Waiting, now: number): number | undefined {
		if (this.#waiting.get(waiting.work.id) !== waiting) {
			return undefined;
		}

		const allowedAt = Math.max(waiting.latestStart, this.admission.prepareShed(waiting.work.tier, now));
		if (allowedAt > now) {
			return Math.min(allowedAt, now + MARK_AGAIN_MS);
		}

		this.#shed(waiting, ErrorKind.DeadlineUnreachable);
		return undefined;
	}
}

function hasOther(ids: Iterable<string>, excluded: readonly string[]): boolean {
	for (const id of ids) {
		if (!excluded.includes(id)) {
			return true;
		}
	}

	return false;
}
