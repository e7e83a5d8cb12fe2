/**
 * The time to the first event as a fixed part plus a part for each prompt token, fitted to observed times by least squares
 * with exponentially decreasing weights. Engines differ in the ratio of both parts by a factor of ten and more.
 */

/** Weight lost by earlier samples with each new one; about the last thousand of the pool's streams count. */
const FORGETTING = 0.001;
/** Weight of each of the two samples that represent the initial estimate. */
const PRIOR_WEIGHT = 2;
/** Prompt length of the second of these samples, in tokens; the first has an empty prompt. */
const PRIOR_PROMPT_TOKENS = 4000;
/** Bounds of a sample relative to its estimate, so that a stalled stream does not change the fit. */
const SAMPLE_RATIO_BOUNDS = {min: 0.1, max: 8} as const;
/** Smallest fixed part, in ms. */
const MIN_FIXED_MS = 1;

/** Fits the time to the first event of a pool's engines. */
export class FirstEventModel {
	/** @param initialMs - Initial estimate by number of prompt tokens. */
	static create(initialMs: (promptTokens: number) => number): FirstEventModel {
		return new FirstEventModel(initialMs);
	}

	#fixedMs: number;
	#msPerToken: number;
	#weight = 0;
	#sumTokens = 0;
	#sumMs = 0;
	#sumTokensTokens = 0;
	#sumTokensMs = 0;

	private constructor(initialMs: (promptTokens: number) => number) {
		this.#fixedMs = initialMs(0);
		this.#msPerToken = (initialMs(PRIOR_PROMPT_TOKENS) - this.#fixedMs) / PRIOR_PROMPT_TOKENS;
		this.#add(0, this.#fixedMs, PRIOR_WEIGHT);
		this.#add(PRIOR_PROMPT_TOKENS, initialMs(PRIOR_PROMPT_TOKENS), PRIOR_WEIGHT);
	}

	/** @returns Time to the first event, in ms. */
	firstMs(promptTokens: number): number {
		return this.#fixedMs + this.prefillMs(promptTokens);
	}

	/** @returns Time to read a prompt, in ms. */
	prefillMs(promptTokens: number): number {
		return promptTokens * this.#msPerToken;
	}

	/** @param firstMs - Time to the first event at an upstream of factor 1. */
	note(promptTokens: number, firstMs: number): void {
		const expectedMs = this.firstMs(promptTokens);
		this.#weight *= 1 - FORGETTING;
		this.#sumTokens *= 1 - FORGETTING;
		this.#sumMs *= 1 - FORGETTING;
		this.#sumTokensTokens *= 1 - FORGETTING;
		this.#sumTokensMs *= 1 - FORGETTING;
		this.#add(promptTokens, Math.min(SAMPLE_RATIO_BOUNDS.max * expectedMs, Math.max(SAMPLE_RATIO_BOUNDS.min * expectedMs, firstMs)), 1);
		this.#fit();
	}

	/** Errors are proportional to the time itself, so that samples of long times weigh less. */
	#add(tokens: number, ms: number, weight: number): void {
		const relative = weight / (this.firstMs(tokens) ** 2);
		this.#weight += relative;
		this.#sumTokens += relative * tokens;
		this.#sumMs += relative * ms;
		this.#sumTokensTokens += relative * tokens * tokens;
		this.#sumTokensMs += relative * tokens * ms;
	}

	#fit(): void {
		const varianceTokens = (this.#weight * this.#sumTokensTokens) - (this.#sumTokens ** 2);
		const covariance = (this.#weight * this.#sumTokensMs) - (this.#sumTokens * this.#sumMs);
		// Samples of one prompt length only scale the slope that was known before.
		const slope = varianceTokens > 0 ? covariance / varianceTokens : this.#msPerToken;
		this.#msPerToken = Math.min(Math.max(0, slope), Math.max(0, (this.#sumMs - (MIN_FIXED_MS * this.#weight)) / Math.max(1, this.#sumTokens)));
		this.#fixedMs = Math.max(MIN_FIXED_MS, (this.#sumMs - (this.#msPerToken * this.#sumTokens)) / this.#weight);
	}
}
