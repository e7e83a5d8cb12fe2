/**
 * How many requests a version may get before it is known to be good.
 */
import {type RolloutBounds} from './rollout-bounds.js';

/** Part of the exposed share that is used; the rest covers the time until a verdict after the switch. */
const USED_SHARE = 0.5;
/** Part of the slack that the first allocator uses; the rest covers requests granted while a verdict is on its way. */
const USED_SLACK = 0.5;
/** Part of the used slack that is available at the start; the rest follows evenly, as some faults show late only. */
const INITIAL_SLACK = 0.3;

/** Part of the bound at which the evidence has to suffice; requests arrive between two checks. */
const NEAR_BOUND = 0.93;

/** What an exposure budget is created from. */
export type ExposureOptions = {
	readonly bounds: RolloutBounds;
	/** Time over which the slack becomes available, in ms. */
	readonly slackMs: number;
	/** Whether this is the first allocator of the roll-out; a successor gets no slack. */
	readonly hasSlack: boolean;
};

/** Counts the requests that this allocator granted since the order. */
export class Exposure {
	static create(options: ExposureOptions): Exposure {
		return new Exposure(options);
	}

	readonly #share: number;
	readonly #slack: number;
	readonly #slackMs: number;
	readonly #bounds: RolloutBounds;
	#requests = 0;
	#candidateRequests = 0;

	private constructor({bounds, slackMs, hasSlack}: ExposureOptions) {
		this.#share = USED_SHARE * bounds.exposedShare;
		this.#slack = hasSlack ? USED_SLACK * bounds.exposedSlack : 0;
		this.#slackMs = slackMs;
		this.#bounds = bounds;
	}

	/** Requests of the pool since the order. */
	get requests(): number {
		return this.#requests;
	}

	/** Those of them that went to the candidate. */
	get candidateRequests(): number {
		return this.#candidateRequests;
	}

	note(isCandidate: boolean): void {
		this.#requests += 1;
		this.#candidateRequests += isCandidate ? 1 : 0;
	}

	/**
	 * @param passed - Part of the period that has passed, above 0.
	 * @returns Whether the candidate nearly got what a bad version may get until the end of the period.
	 */
	isAtBound(passed: number): boolean {
		const {exposedShare, exposedSlack} = this.#bounds;
		return this.#candidateRequests >= NEAR_BOUND * ((exposedShare * this.#requests / passed) + exposedSlack);
	}

	/**
	 * @param ageMs - Time since the order.
	 * @returns Number of requests that the candidate may get now.
	 */
	available(ageMs: number): number {
		const releasedSlack = this.#slack * Math.min(1, INITIAL_SLACK + ((1 - INITIAL_SLACK) * ageMs / this.#slackMs));
		return releasedSlack + (this.#share * this.#requests) - this.#candidateRequests;
	}
}
