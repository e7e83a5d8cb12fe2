/**
 * Choice of the upstream for one request among those that have room.
 */
import {type PlaceRequest} from './allocation.js';
import {FixedLocality, type Locality} from './locality.js';
import {type PlacementFilter} from './placement-filter.js';
import {type TrackedUpstream} from './tracked-upstream.js';
import {type Restore} from './unchanged-state.js';
import {type WaitingRequest} from './waiting-queue.js';

/** Cost of an upstream where every request fails, in ms; about the time that a retry takes. */
const FAILURE_COST_MS = 1500;
/** Cost of each stream in which reading a long prompt would cause a gap that is too long, in ms. */
const DELAYED_STREAM_COST_MS = 250;
/** Fraction of the longest acceptable gap that reading a prompt may take; the rest is left for the engine's own work. */
const MAX_PREFILL_PAUSE_RATIO = 0.7;
/** Weight of the total time relative to the time to the first event: a place that is held longer serves fewer requests. */
const TOTAL_TIME_WEIGHT = 0.12;

/**
 * Factor by which the time to the first event may exceed its expectation before a request that can wait is late. Without it,
 * three of four late streams of the simulation had been sent to slow engines, where later work delays them for longest.
 */
const FIRST_EVENT_MARGIN = 1.5;

/** A decision to grant a place. */
export type Grant = {
	readonly waiting: WaitingRequest;
	readonly target: TrackedUpstream;
	readonly expectedFirstMs: number;
};

/** The components of the cost of an upstream for one request, in ms. */
export type CostParts = {
	firstEvent: number;
	totalTime: number;
	locality: number;
	failures: number;
	delayedStreams: number;
	rules: number;
};

/** Why a candidate was left out. */
export const LeftOut = {
	/** The request must not get it, such as because it failed there. */
	Excluded: 'excluded',
	/** A rule beside room and health, such as a roll-out or too little memory. */
	Rule: 'rule',
	/** The request would or might be late there, and waits for a better upstream. */
	Late: 'late',
	/** The request stays in its data centre. */
	Locality: 'locality',
} as const;

export type LeftOut = (typeof LeftOut)[keyof typeof LeftOut];

/** What the choice found out about one candidate. */
export type CandidateVerdict = {
	readonly target: TrackedUpstream;
	/** `undefined` if it was compared by its cost. */
	readonly leftOut?: LeftOut;
	readonly expectedFirstMs?: number;
	readonly costMs?: number;
	readonly parts?: Readonly<CostParts>;
};

/** Called for each candidate, for explanations. */
export type VerdictListener = (verdict: CandidateVerdict) => void;

/** What the choice depends on. */
export type PlacementOptions = {
	/** Expected service time of a request at an upstream of average pace, in ms. */
	readonly serviceMs: (ask: PlaceRequest) => number;
	readonly filters?: readonly PlacementFilter[];
	readonly locality?: Locality;
};

/** A request to be placed, and the upstreams that have room. */
export type PlacementQuery = {
	readonly waiting: WaitingRequest;
	readonly candidates: readonly TrackedUpstream[];
	/** Whether upstreams are left out at which the request would miss its objective. */
	readonly mustBeOnTime: boolean;
	/** Whether the request is expected to be on time if it waits for a better upstream. */
	readonly canWait: boolean;
	readonly now: number;
};

/** Chooses the upstream with the lowest cost. */
export class Placement {
	static create(options: PlacementOptions): Placement {
		return new Placement(options);
	}

	readonly #serviceMs: (ask: PlaceRequest) => number;
	readonly #filters: readonly PlacementFilter[];
	readonly #locality: Locality;

	private constructor({serviceMs, filters = [], locality = FixedLocality.create()}: PlacementOptions) {
		this.#serviceMs = serviceMs;
		this.#filters = filters;
		this.#locality = locality;
	}

	/** @returns A function that restores the current state, after an evaluation for a pool that must change nothing. */
	snapshot(pool: string): Restore {
		const restores = [this.#locality.snapshot(), ...this.#filters.map(filter => filter.snapshot(pool))];
		return () => {
			for (const restore of restores) {
				restore();
			}
		};
	}

	/** @returns The placement with the lowest cost; `undefined` if no candidate may run the request. */
	choose({waiting, candidates, mustBeOnTime, canWait, now}: PlacementQuery, onVerdict?: VerdictListener): Grant | undefined {
		const {ask} = waiting;
		const filters = this.#filters.filter(filter => filter.restricts(ask.pool));
		let best: Grant | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const target of candidates) {
			if (ask.excluded.includes(target.upstream.id)) {
				onVerdict?.({target, leftOut: LeftOut.Excluded});
				continue;
			}

			if (!filters.every(filter => filter.accepts(ask, target, now))) {
				onVerdict?.({target, leftOut: LeftOut.Rule});
				continue;
			}

			const expectedFirstMs = this.#slotWaitMs(target, ask, now) + target.pace.firstMs(ask.promptTokens, target.pendingPromptTokens, now);
			// A request that can be on time at some upstream waits for it, rather than taking a place where it would be late.
			if (mustBeOnTime && (now + expectedFirstMs > waiting.objectiveAt || (canWait && !this.#isLikelyOnTime(waiting, target, expectedFirstMs, now)))) {
				onVerdict?.({target, leftOut: LeftOut.Late, expectedFirstMs});
				continue;
			}

			// Only explanations need the components; a decision allocates none.
			const parts = onVerdict && emptyParts();
			let cost = this.#cost(ask, target, expectedFirstMs, now, parts);
			for (const filter of filters) {
				const ruleMs = filter.costMs(ask, target, now);
				cost += ruleMs;
				if (parts !== undefined) {
					parts.rules += ruleMs;
				}
			}

			if (cost === Number.POSITIVE_INFINITY) {
				onVerdict?.({target, leftOut: LeftOut.Locality, expectedFirstMs});
				continue;
			}

			onVerdict?.({
				target, expectedFirstMs, costMs: cost, parts,
			});
			if (cost < bestCost) {
				bestCost = cost;
				best = {waiting, target, expectedFirstMs};
			}
		}

		return best;
	}

	/** @returns Whether the request is likely to be on time there, and not to make pauses too long, if the upstream slows down or gets more work. */
	#isLikelyOnTime({ask, objectiveAt}: WaitingRequest, {pace, held}: TrackedUpstream, expectedFirstMs: number, now: number): boolean {
		if (now + (FIRST_EVENT_MARGIN * expectedFirstMs) > objectiveAt) {
			return false;
		}

		const interferenceMs = held.size === 0 ? 0 : pace.interferenceMs(ask.promptTokens, now);
		return ask.maxPauseMs === 0 || interferenceMs + pace.eventMs(now) <= MAX_PREFILL_PAUSE_RATIO * ask.maxPauseMs;
	}

	/** @returns Expected time until a full engine has a free slot, in ms. */
	#slotWaitMs({held, upstream, pace}: TrackedUpstream, ask: PlaceRequest, now: number): number {
		return held.size < upstream.slots ? 0 : pace.factorAt(now) * this.#serviceMs(ask) / upstream.slots;
	}

	#cost(ask: PlaceRequest, target: TrackedUpstream, expectedFirstMs: number, now: number, parts?: CostParts): number {
		const {upstream, pace, standing, held} = target;
		const totalTime = TOTAL_TIME_WEIGHT * pace.totalMs({promptTokens: ask.promptTokens, events: ask.outputEvents}, now);
		const locality = this.#locality.costMs(ask, upstream, now);
		const failures = FAILURE_COST_MS * standing.failureRate(now);
		const isDelaying = ask.maxPauseMs > 0 && pace.interferenceMs(ask.promptTokens, now) + pace.eventMs(now) > MAX_PREFILL_PAUSE_RATIO * ask.maxPauseMs;
		const delayedStreams = isDelaying ? DELAYED_STREAM_COST_MS * held.size : 0;
		if (parts !== undefined) {
			Object.assign(parts, {
				firstEvent: expectedFirstMs, totalTime, locality, failures, delayedStreams,
			});
		}

		return expectedFirstMs + totalTime + locality + failures + delayedStreams;
	}
}

function emptyParts(): CostParts {
	return {
		firstEvent: 0, totalTime: 0, locality: 0, failures: 0, delayedStreams: 0, rules: 0,
	};
}
