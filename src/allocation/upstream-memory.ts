/**
 * Accounts for the memory of upstreams, in tokens: an upstream whose requests exceed its memory crashes with all of them.
 * What a request needs follows from the request alone, so that a successor which adopts the held places knows it too.
 */
import {type PoolSettings} from '../gateway/routing-table.js';
import {type PlaceRequest} from './allocation.js';
import {PlacementFilter} from './placement-filter.js';
import {currentExternalLoad, type TrackedUpstream} from './tracked-upstream.js';

/** Fraction of the stated memory that is used; the rest is for what the token counts do not include. */
const MAX_FILL_RATIO = 0.9;

/** Keeps the requests at each upstream of a pool within the memory that the pool's settings state. */
export class UpstreamMemory extends PlacementFilter {
	static create(): UpstreamMemory {
		return new UpstreamMemory();
	}

	#budgetTokens = Number.POSITIVE_INFINITY;
	#tokensPerEvent = 1;

	private constructor() {
		super();
	}

	setSettings({memoryTokens, tokensPerEvent}: PoolSettings): void {
		this.#budgetTokens = memoryTokens === undefined ? Number.POSITIVE_INFINITY : MAX_FILL_RATIO * memoryTokens;
		this.#tokensPerEvent = tokensPerEvent;
	}

	/** @returns Whether even an upstream without other requests has too little memory. */
	isTooLarge(ask: PlaceRequest): boolean {
		return this.#expectedTokens(ask) > this.#budgetTokens;
	}

	/** @returns Tokens of the requests at the upstream. */
	usedTokens(target: TrackedUpstream): number {
		let tokens = 0;
		for (const {ask} of target.held.values()) {
			tokens += this.#chargedTokens(ask);
		}

		return tokens;
	}

	/** @returns Fraction of the stated memory that the requests at the upstream may need; 0 if none is stated. */
	fillRatio(target: TrackedUpstream): number {
		return MAX_FILL_RATIO * this.usedTokens(target) / this.#budgetTokens;
	}

	override restricts(): boolean {
		return this.#budgetTokens < Number.POSITIVE_INFINITY;
	}

	accepts(ask: PlaceRequest, target: TrackedUpstream, now: number): boolean {
		// Of other VMs' requests only the number is known; each is taken to fill its slot's share.
		const freeSlotsRatio = Math.max(0, 1 - (currentExternalLoad(target, now) / target.upstream.slots));
		return this.usedTokens(target) + this.#chargedTokens(ask) <= this.#budgetTokens * freeSlotsRatio;
	}

	/**
	 * Charges the stated maximum of the output, since callers' estimates are often far off and exceeding the memory ends all
	 * requests at the upstream. A request that fits only by its estimate is charged all of the memory and runs alone.
	 */
	#chargedTokens(ask: PlaceRequest): number {
		const expectedTokens = this.#expectedTokens(ask);
		const maxTokens = ask.promptTokens + (ask.maxOutputTokens ?? 0);
		return Math.max(expectedTokens, Math.min(maxTokens, this.#budgetTokens));
	}

	#expectedTokens({promptTokens, outputEvents, maxOutputTokens = Number.POSITIVE_INFINITY}: PlaceRequest): number {
		return promptTokens + Math.min(maxOutputTokens, outputEvents * this.#tokensPerEvent);
	}
}
