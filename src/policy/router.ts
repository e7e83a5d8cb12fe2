/**
 * Routes each request to the upstream with the lowest cost, expressed in milliseconds.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';
import {type Random} from '../base/random.js';
import {type Lane} from './lane.js';
import {LONG_PREFILL_MS} from './long-prompts.js';
import {type PrefixIndex} from './prefix-index.js';
import {type Work} from './scheduler.js';
import {type UpstreamState} from './upstream-state.js';

const SAME_REGION_SAMPLE_SIZE = 4;
const OTHER_REGION_SAMPLE_SIZE = 2;
const SAME_REGION_ROUND_TRIP_MS = 1;
const CROSS_REGION_ROUND_TRIP_MS = 16;
const BYTES_PER_TOKEN = 4;
/** Cost of transferring 1 MB between regions, as an equivalent delay of the response. */
const CROSS_REGION_COST_MS_PER_MEGABYTE = 400;
/** Cost at full utilization of the limit, as decoding slows down with the batch size. */
const FULL_LIMIT_COST_MS = 60;
/** Cost per unit by which the slowdown of an engine exceeds 1. */
const SLOWDOWN_COST_MS = 300;
const PROBATION_COST_MS = 500;
/** Time in which the probation cost decays to 0 after an ejection, so that the returned upstream receives requests. */
const PROBATION_COST_DECAY_MS = 2000;
const NO_LONG_PREFILL_SAMPLE_SIZE = 2;
/** Work with less time until its deadline avoids upstreams that accept long prefills. */
const TIGHT_DEADLINE_MS = 2000;
const LONG_PREFILL_RISK_COST_MS = 600;
/**
 * Lower tiers leave last slots unused once at most this fraction of the upstreams has free slots. A value of 0.5 lowered
 * the goodput of the top tier by 0.6 to 0.7 percentage points.
 */
const RESERVE_FREE_FRACTION = 0.75;
/** Waiting for a busy upstream with a cached prefix must save at least this multiple of the expected wait. */
const HOLD_FACTOR = 1.5;

/** Maximum time that an upstream may have been leaving when new work is routed to it (P6). */
const MAX_LEAVING_MS = 3000;

/** Candidate upstream with its cost. */
export type Choice = {
	readonly state: UpstreamState;
	/** Cost in milliseconds, for comparison only. */
	readonly score: number;
	/** Expected time to first token in milliseconds. */
	readonly firstTokenMs: number;
	/** Portion of `firstTokenMs` that is attributable to requests of this node. */
	readonly ownFirstTokenMs: number;
	/** Number of prompt tokens that the upstream probably has cached. */
	readonly cachedTokens: number;
	/** Whether the prefill would take longer than `LONG_PREFILL_MS`. */
	readonly isLong: boolean;
};

/** Dependencies of the router and ablation switches. */
export type RouterOptions = {
	readonly region: string;
	readonly random: Random;
	readonly index: PrefixIndex;
	readonly invariants: Invariants;
	/** Ablation: ignores the prefix index. */
	readonly ignoresPrefixes?: boolean;
	/** Ablation: ignores the cost of transfers between regions. */
	readonly ignoresRegions?: boolean;
	/** Ablation: never waits for a busy upstream. */
	readonly neverHolds?: boolean;
	/** Ablation: does not reserve last slots by the fraction of free upstreams. */
	readonly neverReserves?: boolean;
	/** Ablation: routes long prompts to any upstream. */
	readonly mixesLongPrompts?: boolean;
};

/** Scores a bounded number of candidate upstreams per request. */
export class Router {
	static create(options: RouterOptions): Router {
		return new Router(options);
	}

	readonly #options: RouterOptions;

	private constructor(options: RouterOptions) {
		this.#options = options;
	}

	/**
	 * @param isSuspect - Whether the request must not run concurrently with another suspect.
	 * @returns The upstream to use now; `undefined` if the request must wait.
	 */
	choose(lane: Lane, work: Work, isSuspect: boolean, now: number): Choice | undefined {
		let best: Choice | undefined;
		let bestBusy: Choice | undefined;
		for (const [state, blocks] of this.#candidates(lane, this.#holders(lane, work, now))) {
			if (work.excluded.includes(state.view.id) || state.view.isLeaving || (isSuspect && state.hasSuspect)) {
				continue;
			}

			const choice = this.#score(state, work, blocks, now);
			if (choice.isLong && !state.takesLongPrompts && this.#options.mixesLongPrompts !== true) {
				continue;
			}

			if (state.isFree(now) && this.#mayTakeSlot(lane, work, state, now)) {
				best = best === undefined || choice.score < best.score ? choice : best;
			} else if (state.health.slots(now) > 0) {
				bestBusy = bestBusy === undefined || choice.score < bestBusy.score ? choice : bestBusy;
			}
		}

		if (best === undefined || !this.#checkLeavingLimit(best.state, now) || this.#shouldHold(best, bestBusy, work, now)) {
			return undefined;
		}

		return best;
	}

	/**
	 * Reserves the last slot of an upstream for the highest-priority active tier. At upstreams without long prefills, where
	 * that tier is not delayed, the slot is always reserved; at others, lower tiers may take it while most upstreams have
	 * free slots.
	 */
	#mayTakeSlot(lane: Lane, work: Work, state: UpstreamState, now: number): boolean {
		if (work.tier <= lane.topTier || state.inFlight + 1 < state.slots(now)) {
			return true;
		}

		if (work.promptTokens > 0 && this.#options.neverReserves !== true && lane.nearFree.size + lane.farFree.size <= RESERVE_FREE_FRACTION * lane.members.size) {
			return false;
		}

		return state.takesLongPrompts || this.#options.mixesLongPrompts === true;
	}

	#checkLeavingLimit(state: UpstreamState, now: number): boolean {
		const leavingMs = now - (state.leavingSince ?? now);
		return this.#options.invariants.check(
			PromiseId.LeavingUpstream,
			leavingMs <= MAX_LEAVING_MS,
			() => `${state.view.id} has been leaving for ${leavingMs} ms`,
		);
	}

	/** Returns upstreams that hold a part of the prefix, with the number of leading blocks. */
	#holders(lane: Lane, work: Work, now: number): Map<UpstreamState, number> {
		const states = new Map<UpstreamState, number>();
		if (this.#options.ignoresPrefixes === true || work.prefix.length === 0) {
			return states;
		}

		for (const [id, blocks] of this.#options.index.holders(work.prefix, now)) {
			const state = lane.members.get(id);
			if (state !== undefined) {
				states.set(state, blocks);
			}
		}

		return states;
	}

	/** Extends the prefix holders with samples of free upstreams and of upstreams without long prefills. */
	#candidates(lane: Lane, holders: Map<UpstreamState, number>): Map<UpstreamState, number> {
		const {random} = this.#options;
		const samples = [
			lane.nearFree.sample(SAME_REGION_SAMPLE_SIZE, random),
			lane.farFree.sample(OTHER_REGION_SAMPLE_SIZE, random),
			sampleList(lane.short, NO_LONG_PREFILL_SAMPLE_SIZE, random),
		];
		for (const sample of samples) {
			for (const state of sample) {
				if (!holders.has(state)) {
					holders.set(state, 0);
				}
			}
		}

		return holders;
	}

	#score(state: UpstreamState, work: Work, blocks: number, now: number): Choice {
		const cachedTokens = blocks === 0 ? 0 : Math.floor(work.promptTokens * blocks / work.prefix.length);
		const {slowdown, usualGapMs} = state.limit;
		const isOtherRegion = state.view.region !== this.#options.region;
		const roundTripMs = isOtherRegion ? CROSS_REGION_ROUND_TRIP_MS : SAME_REGION_ROUND_TRIP_MS;
		const prefillMs = (work.promptTokens - cachedTokens) * state.prefillMsPerToken;
		const ownFirstTokenMs = state.prefillQueueMs + prefillMs + roundTripMs + usualGapMs;
		const firstTokenMs = ownFirstTokenMs + state.excessMs(now);
		const utilization = state.inFlight / Math.max(1, state.limit.value);
		const score = firstTokenMs
			+ (utilization * FULL_LIMIT_COST_MS)
			+ ((slowdown - 1) * SLOWDOWN_COST_MS)
			+ (this.#risksLongPrefillDelay(state, work, prefillMs, now) ? LONG_PREFILL_RISK_COST_MS : 0)
			+ probationCostMs(state, now)
			+ (isOtherRegion && !this.#options.ignoresRegions ? this.#crossRegionCostMs(work) : 0);
		return {
			state, score, firstTokenMs, ownFirstTokenMs, cachedTokens, isLong: prefillMs > LONG_PREFILL_MS,
		};
	}

	/** Returns whether a short prefill with a tight deadline could queue behind a long prefill from another node. */
	#risksLongPrefillDelay(state: UpstreamState, work: Work, prefillMs: number, now: number): boolean {
		return state.takesLongPrompts && prefillMs <= LONG_PREFILL_MS && work.deadlineAt - now < TIGHT_DEADLINE_MS
			&& this.#options.mixesLongPrompts !== true;
	}

	#crossRegionCostMs(work: Work): number {
		return (work.promptTokens + work.expectedOutputTokens) * BYTES_PER_TOKEN * CROSS_REGION_COST_MS_PER_MEGABYTE / 1e6;
	}

	/** Returns whether waiting for a busy upstream is cheaper than prefilling again and the deadline allows it. */
	#shouldHold(best: Choice, busy: Choice | undefined, work: Work, now: number): boolean {
		if (busy === undefined || this.#options.neverHolds) {
			return false;
		}

		// Probation cost only ranks free upstreams. If it counted here, work could be held back from a returned upstream, which
		// would then never complete slow start.
		const probationMs = probationCostMs(best.state, now);
		const waitMs = busy.state.slotIntervalMs * HOLD_FACTOR;
		const slackMs = work.deadlineAt - now - busy.firstTokenMs;
		return best.score - probationMs - busy.score > waitMs && slackMs > 2 * waitMs;
	}
}

/** @returns Cost in milliseconds of an upstream on probation; decays to 0 after its ejection. */
function probationCostMs({health}: UpstreamState, now: number): number {
	if (!health.isOnProbation) {
		return 0;
	}

	return PROBATION_COST_MS * Math.max(0, 1 - ((now - health.ejectedUntil) / PROBATION_COST_DECAY_MS));
}

function sampleList<Item>(list: readonly Item[], count: number, random: Random): readonly Item[] {
	return list.length <= count ? list : Array.from({length: count}, () => random.pick(list));
}
