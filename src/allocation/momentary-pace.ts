/**
 * The momentary pace of one upstream, estimated from what it states in its responses. What an upstream states is compared
 * with its own mean, so that a statement that never changes, or that is wrong by a constant factor, has no effect.
 */

/** Time constant with which a statement loses its meaning, in ms; the simulation in `docs/design/pace.md` compares values. */
const MOMENT_DECAY_MS = 400;
/** Time constant of the upstream's mean statement, in ms; a mean over some tens of moments. */
const MEAN_DECAY_MS = 10_000;
/** Time for which the first statement counts in the mean, in ms; one statement says little of the mean. */
const FIRST_STATEMENT_MS = 500;
/** The mean of an upstream that has made no statement; 1 is defined as the usual. */
const INITIAL_MEAN = 1;
/** Bounds of the momentary factor, so that a wrong statement neither attracts all requests nor makes an upstream unusable. */
const MOMENT_BOUNDS = {min: 0.4, max: 5} as const;
/** Bounds of a statement; others are taken as the nearest bound. */
const STATED_BOUNDS = {min: 0.1, max: 20} as const;

/** The pace that an upstream stated. */
export type StatedPace = {
	/** How long work takes there, as a factor of the usual. */
	readonly factor: number;
	/** Time since the statement, in ms. */
	readonly ageMs: number;
};

/** The momentary factor of one upstream. Times in ms of the allocator's monotonic clock. */
export class MomentaryPace {
	static create(): MomentaryPace {
		return new MomentaryPace();
	}

	#mean = INITIAL_MEAN;
	#stated = INITIAL_MEAN;
	#statedAt: number | undefined;

	private constructor() {
		// Instances come from `create`.
	}

	/** When the latest statement was made; `undefined` before the first. */
	get statedAt(): number | undefined {
		return this.#statedAt;
	}

	note({factor, ageMs}: StatedPace, now: number): void {
		const bounded = Math.min(STATED_BOUNDS.max, Math.max(STATED_BOUNDS.min, factor));
		const at = now - Math.max(0, ageMs);
		const sinceLastMs = this.#statedAt === undefined ? FIRST_STATEMENT_MS : Math.max(0, at - this.#statedAt);
		this.#mean += (1 - Math.exp(-sinceLastMs / MEAN_DECAY_MS)) * (bounded - this.#mean);
		// Reports of several VMs arrive out of order.
		if (this.#statedAt === undefined || at >= this.#statedAt) {
			this.#stated = bounded;
			this.#statedAt = at;
		}
	}

	/** @returns Factor by which work takes longer at this time than on average. */
	at(now: number): number {
		return this.mean(now, now);
	}

	/** @returns Expected mean of the factor over a span of time, before, after or around the latest statement; exactly 1 without one. */
	mean(from: number, to: number): number {
		if (this.#statedAt === undefined) {
			return 1;
		}

		const stated = Math.min(MOMENT_BOUNDS.max, Math.max(MOMENT_BOUNDS.min, this.#stated / this.#mean));
		return 1 + ((stated - 1) * meanDecay(from - this.#statedAt, to - this.#statedAt));
	}
}

/** @returns Mean of `exp(-|t| / MOMENT_DECAY_MS)` over a span of time. */
function meanDecay(from: number, to: number): number {
	return to - from < 1 ? Math.exp(-Math.abs(from) / MOMENT_DECAY_MS) : (decayIntegral(to) - decayIntegral(from)) / (to - from);
}

/** @returns Integral of `exp(-|t| / MOMENT_DECAY_MS)` from 0. */
function decayIntegral(to: number): number {
	return Math.sign(to) * MOMENT_DECAY_MS * (1 - Math.exp(-Math.abs(to) / MOMENT_DECAY_MS));
}
