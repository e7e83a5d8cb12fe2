/**
 * Chooses an upstream for a request by one cost in ms.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';
import {type Random} from '../base/random.js';
import {type Lane} from './lane.js';
import {LONG_PREFILL_MS} from './long-prompts.js';
import {type PrefixIndex} from './prefix-index.js';
import {type Work} from './scheduler.js';
import {type UpstreamState} from './upstream-state.js';

const NEAR_SAMPLE = 4;
const FAR_SAMPLE = 2;
const LOCAL_ROUND_TRIP_MS = 1;
const REGION_ROUND_TRIP_MS = 16;
const BYTES_PER_TOKEN = 4;
/** Price of 1 MB between regions, as ms that a caller would rather wait. */
const MS_PER_MEGABYTE = 400;
/** Cost of a wholly used limit, as decoding slows down with the batch. */
const FULL_LIMIT_MS = 60;
/** Cost of each multiple of an engine's own usual speed. */
const SLOWDOWN_MS = 300;
const PROBATION_MS = 500;
/** Time after its return in which the price of probation falls to nothing, so that a returned upstream is tried. */
const PROBATION_FALL_MS = 2000;
const SHORT_SAMPLE = 2;
/** Work with less time left avoids upstreams that take long prefills. */
const TIGHT_MS = 2000;
const DELAY_RISK_MS = 600;
/** Work of lower tiers leaves slots free once at most this part of the upstreams has any; 0.5 gave 0.6 to 0.7 points less of the top tier. */
const RESERVE_PART = 0.75;
/** Waiting for a warm upstream must save at least this many times the expected wait. */
const HOLD_FACTOR = 1.5;

/** No new work may reach an upstream that has been leaving for this long (P6). */
const LEAVING_LIMIT_MS = 3000;

/** A candidate with its cost. */
export type Choice = {
	readonly state: UpstreamState;
	/** Cost in ms, for comparison only. */
	readonly score: number;
	/** Expected ms to the first token. */
	readonly firstTokenMs: number;
	/** The part of it that this node's own requests explain. */
	readonly ownFirstTokenMs: number;
	/** Prompt tokens that the upstream probably has in its cache. */
	readonly cachedTokens: number;
	/** Its prefill delays the requests behind it noticeably. */
	readonly isLong: boolean;
};

/** What a router works with. */
export type RouterOptions = {
	readonly region: string;
	readonly random: Random;
	readonly index: PrefixIndex;
	readonly invariants: Invariants;
	/** Do without the prefix index, for ablations. */
	readonly ignoresPrefixes?: boolean;
	/** Do without the price of bytes, for ablations. */
	readonly ignoresRegions?: boolean;
	/** Do not wait for a warm upstream, for ablations. */
	readonly neverHolds?: boolean;
	/** Let all tiers take the last slots, for ablations. */
	readonly neverReserves?: boolean;
	/** Let long prompts run anywhere, for ablations. */
	readonly mixesLongPrompts?: boolean;
};

/** Scores a bounded number of candidates. */
export class Router {
	static create(options: RouterOptions): Router {
		return new Router(options);
	}

	readonly #options: RouterOptions;

	private constructor(options: RouterOptions) {
		this.#options = options;
	}

	/**
	 * @param isSuspect - Whether the request must run beside no other suspect.
	 * @returns The upstream to use now; `undefined` to wait.
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

		if (best === undefined || !this.#mayUse(best.state, now) || this.#mustHold(best, bestBusy, work, now)) {
			return undefined;
		}

		return best;
	}

	/**
	 * Less important work leaves a slot free for the most important tier. Where no long prefill can delay that tier, it
	 * always does; elsewhere it may take the last slot while most upstreams have free ones.
	 */
	#mayTakeSlot(lane: Lane, work: Work, state: UpstreamState, now: number): boolean {
		if (work.tier <= lane.topTier || state.inFlight + 1 < state.slots(now)) {
			return true;
		}

		if (work.promptTokens > 0 && this.#options.neverReserves !== true && lane.nearFree.size + lane.farFree.size <= RESERVE_PART * lane.members.size) {
			return false;
		}

		return state.takesLongPrompts || this.#options.mixesLongPrompts === true;
	}

	#mayUse(state: UpstreamState, now: number): boolean {
		const leavingMs = now - (state.leavingSince ?? now);
		return this.#options.invariants.check(
			PromiseId.LeavingUpstream,
			leavingMs <= LEAVING_LIMIT_MS,
			() => `${state.view.id} has been leaving for ${leavingMs} ms`,
		);
	}

	/** Upstreams that hold a part of the prefix, with the number of blocks. */
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

	/** Adds samples of the free upstreams and of those without long prefills to the holders. */
	#candidates(lane: Lane, holders: Map<UpstreamState, number>): Map<UpstreamState, number> {
		const {random} = this.#options;
		const samples = [
			lane.nearFree.sample(NEAR_SAMPLE, random),
			lane.farFree.sample(FAR_SAMPLE, random),
			sampleList(lane.short, SHORT_SAMPLE, random),
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
		const isFar = state.view.region !== this.#options.region;
		const link = isFar ? REGION_ROUND_TRIP_MS : LOCAL_ROUND_TRIP_MS;
		const prefill = (work.promptTokens - cachedTokens) * state.prefillMsPerToken;
		const ownFirstTokenMs = state.prefillQueueMs + prefill + link + usualGapMs;
		const firstTokenMs = ownFirstTokenMs + state.excessMs(now);
		const use = state.inFlight / Math.max(1, state.limit.value);
		const score = firstTokenMs
			+ (use * FULL_LIMIT_MS)
			+ ((slowdown - 1) * SLOWDOWN_MS)
			+ (this.#risksDelay(state, work, prefill, now) ? DELAY_RISK_MS : 0)
			+ probationPrice(state, now)
			+ (isFar && !this.#options.ignoresRegions ? this.#priceOfBytes(work) : 0);
		return {
			state, score, firstTokenMs, ownFirstTokenMs, cachedTokens, isLong: prefill > LONG_PREFILL_MS,
		};
	}

	/** A long prefill of another node may be ahead. */
	#risksDelay(state: UpstreamState, work: Work, prefillMs: number, now: number): boolean {
		return state.takesLongPrompts && prefillMs <= LONG_PREFILL_MS && work.deadlineAt - now < TIGHT_MS
			&& this.#options.mixesLongPrompts !== true;
	}

	#priceOfBytes(work: Work): number {
		return (work.promptTokens + work.expectedOutputTokens) * BYTES_PER_TOKEN * MS_PER_MEGABYTE / 1e6;
	}

	/** Waiting for a busy warm upstream can be cheaper than prefilling again, as long as the deadline allows it. */
	#mustHold(best: Choice, busy: Choice | undefined, work: Work, now: number): boolean {
		if (busy === undefined || this.#options.neverHolds) {
			return false;
		}

		// The price of probation ranks free upstreams. Work that waits would keep a returned upstream from proving itself.
		const probationMs = probationPrice(best.state, now);
		const wait = busy.state.slotIntervalMs * HOLD_FACTOR;
		const slack = work.deadlineAt - now - busy.firstTokenMs;
		return best.score - probationMs - busy.score > wait && slack > 2 * wait;
	}
}

/** @returns The price of an upstream that has returned and not yet proved itself, in ms. */
function probationPrice({health}: UpstreamState, now: number): number {
	if (!health.isOnProbation) {
		return 0;
	}

	return PROBATION_MS * Math.max(0, 1 - ((now - health.ejectedUntil) / PROBATION_FALL_MS));
}

function sampleList<Item>(list: readonly Item[], count: number, random: Random): readonly Item[] {
	return list.length <= count ? list : Array.from({length: count}, () => random.pick(list));
}
