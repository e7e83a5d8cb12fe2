/**
 * Waiting work of one pool and model, with the upstreams that may run it.
 */
import {TIER_COUNT} from './admission.js';
import {FairQueue} from './fair-queue.js';
import {FreeSet} from './free-set.js';
import {type UpstreamView} from './scheduler.js';
import {type UpstreamState} from './upstream-state.js';

/** Slots are kept for a tier that was seen within this time. */
const TOP_TIER_MEMORY_MS = 10_000;

/** One lane. */
export class Lane {
	/** @param region - Region of this node. */
	static create(model: string | undefined, region: string): Lane {
		return new Lane(model, region);
	}

	readonly model: string | undefined;
	readonly queues = Array.from({length: TIER_COUNT}, () => FairQueue.create());
	readonly members = new Map<string, UpstreamState>();
	/** Upstreams of this node's region with free slots. */
	readonly nearFree = FreeSet.create<UpstreamState>();
	/** Upstreams of other regions with free slots. */
	readonly farFree = FreeSet.create<UpstreamState>();
	/** Upstreams without long prefills. */
	short: UpstreamState[] = [];
	/** The most important tier that was submitted lately. */
	topTier = TIER_COUNT - 1;
	readonly #region: string;
	readonly #seenAt = Array.from({length: TIER_COUNT}, () => Number.NEGATIVE_INFINITY);

	private constructor(model: string | undefined, region: string) {
		this.model = model;
		this.#region = region;
	}

	noteSubmitted(tier: number, now: number): void {
		this.#seenAt[tier] = now;
		this.topTier = this.#seenAt.findIndex(at => now - at < TOP_TIER_MEMORY_MS);
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

	/** @returns Whether this changed anything. */
	setFree(state: UpstreamState, isFree: boolean): boolean {
		const set = state.view.region === this.#region ? this.nearFree : this.farFree;
		return set.set(state, isFree && this.members.has(state.view.id));
	}
}
