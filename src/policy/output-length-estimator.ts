/**
 * Response length estimates per customer and model, and the cost of a request in token units.
 */
import {LRUCache} from 'lru-cache';
import {type Work} from './scheduler.js';

const MAX_ENTRIES = 20_000;
const EWMA_WEIGHT = 0.2;
/** Cost of a decoded token relative to a prefilled one, as decoding occupies the engine for longer. */
const OUTPUT_TOKEN_WEIGHT = 4;

/** Exponentially weighted moving averages of response lengths. */
export class OutputLengthEstimator {
	static create(): OutputLengthEstimator {
		return new OutputLengthEstimator();
	}

	readonly #means = new LRUCache<string, number>({max: MAX_ENTRIES});

	private constructor() {
		// Instances come from `create`.
	}

	/** @returns Expected number of response tokens, capped at `expectedOutputTokens` of the request. */
	expectedTokens(work: Work): number {
		return Math.min(this.#means.get(keyOf(work)) ?? work.expectedOutputTokens, work.expectedOutputTokens);
	}

	/** Updates the average with the length of a complete response. */
	record(work: Work, tokens: number): void {
		const key = keyOf(work);
		const mean = this.#means.get(key) ?? tokens;
		this.#means.set(key, mean + (EWMA_WEIGHT * (tokens - mean)));
	}
}

function keyOf(work: Work): string {
	return `${work.customer}\n${work.model ?? ''}`;
}

/**
 * @param uncachedTokens - Number of prompt tokens to prefill.
 * @param outputTokens - Expected or actual number of response tokens.
 * @returns Cost in units of one prefilled token.
 */
export function requestCost(uncachedTokens: number, outputTokens: number): number {
	return uncachedTokens + (OUTPUT_TOKEN_WEIGHT * outputTokens);
}
