/**
 * Queues of waiting work for one pool and model, and the upstreams that serve the model.
 */
import {TIER_COUNT} from './admission.js';
import {FairQueue} from './fair-queue.js';
import {SampleableSet} from './sampleable-set.js';
import {type UpstreamView} from './scheduler.js';
import {type UpstreamState} from './upstream-state.js';

/** A tier counts towards `topTier` for this long after its last submission. */
const TOP_TIER_WINDOW_MS = 10_000;

/** Queues and upstreams of one pool and model. */
export class Lane {
	/** @param region - Region of the local node. */
	static create(model: string | undefined, region: string): Lane {
		return new Lane(model, region);
	}

	readonly model: string | undefined;
	readonly queues = Array.from({length: TIER_COUNT}, () => FairQueue.create());
	readonly members = new Map<string, UpstreamState>();
	/** Upstreams with free slots in the region of the local node. */
	readonly nearFree = SampleableSet.create<UpstreamState>();
	/** Upstreams with free slots in other regions. */
	readonly farFree = SampleableSet.create<UpstreamState>();
	/** Upstreams that do not accept prompts with long prefills. */
	short: UpstreamState[] = [];
	/** Highest-priority tier with a recent submission. */
	topTier = TIER_COUNT - 1;
	readonly #region: string;
	readonly #lastSubmittedAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);

	private constructor(model: string | undefined, region: string) {
		this.model = model;
		this.#region = region;
	}

	noteSubmitted(tier: number, now: number): void {
		this.#lastSubmittedAt[tier] = now;
		this.topTier = this.#lastSubmittedAt.findIndex(at => now - at < TOP_TIER_WINDOW_MS);
	}

	serves(view: UpstreamView): boolean {
		return this.model === undefined || view.models === undefined || view.models.includes(this.model);
	}

	setMember(state: UpstreamState, isMember: boolean): void {
		if (isMember) {
			this.members.set(state.view.id, state);
		} else {
			this.members.delete(state.view.id);
			this.setFree(state, false);
		}
	}

	/** @returns Whether the set of free upstreams changed. */
	setFree(state: UpstreamState, isFree: boolean): boolean {
		const set = state.view.region === this.#region ? this.nearFree : this.farFree;
		return set.set(state, isFree && this.members.has(state.view.id));
	}
}
