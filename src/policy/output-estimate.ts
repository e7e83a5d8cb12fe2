/**
 * Expected length of answers, learned per customer and model, and the cost of a request in token units.
 */
import {LRUCache} from 'lru-cache';
import {type Work} from './scheduler.js';

const MAX_ENTRIES = 20_000;
const NEW_SAMPLE_WEIGHT = 0.2;
/** A decoded token occupies an engine for longer than a prefilled one. */
const OUTPUT_TOKEN_WEIGHT = 4;

/** Moving means of answer lengths. */
export class OutputEstimate {
	static create(): OutputEstimate {
		return new OutputEstimate();
	}

	readonly #means = new LRUCache<string, number>({max: MAX_ENTRIES});

	private constructor() {
		// Instances come from `create`.
	}

	/** @returns Expected tokens of the answer, at most the bound of the request. */
	expected(work: Work): number {
		return Math.min(this.#means.get(keyOf(work)) ?? work.expectedOutputTokens, work.expectedOutputTokens);
	}

	/** Learns from a whole answer. */
	note(work: Work, tokens: number): void {
		const key = keyOf(work);
		const mean = this.#means.get(key) ?? tokens;
		this.#means.set(key, mean + (NEW_SAMPLE_WEIGHT * (tokens - mean)));
	}
}

function keyOf(work: Work): string {
	return `${work.customer}\n${work.model ?? ''}`;
}

/**
 * @param uncachedTokens - Prompt tokens that must be prefilled.
 * @param outputTokens - Expected or actual tokens of the answer.
 * @returns Cost in units of one prefilled token.
 */
export function costOf(uncachedTokens: number, outputTokens: number): number {
	return uncachedTokens + (OUTPUT_TOKEN_WEIGHT * outputTokens);
}
