/**
 * Upstreams of one pool and its lanes, one per model.
 */
import {type Clock} from '../base/clock.js';
import {Lane} from './lane.js';
import {partitionForLongPrompts} from './long-prompts.js';
import {type UpstreamState} from './upstream-state.js';

/** Upstreams and lanes of one pool. */
export class Lanes {
	/** @param region - Region of the local node. */
	static create(clock: Clock, region: string): Lanes {
		return new Lanes(clock, region);
	}

	readonly #clock: Clock;
	readonly #region: string;
	readonly #lanes = new Map<string | undefined, Lane>();
	readonly #members = new Map<string, UpstreamState>();

	private constructor(clock: Clock, region: string) {
		this.#clock = clock;
		this.#region = region;
	}

	get members(): Iterable<UpstreamState> {
		return this.#members.values();
	}

	get all(): Iterable<Lane> {
		return this.#lanes.values();
	}

	/** @returns The lane of a model, created on first use. */
	getLane(model: string | undefined): Lane {
		let lane = this.#lanes.get(model);
		if (lane === undefined) {
			lane = Lane.create(model, this.#region);
			this.#lanes.set(model, lane);
			const now = this.#clock.now();
			for (const state of this.#members.values()) {
				lane.setMember(state, lane.serves(state.view));
				lane.setFree(state, state.isFree(now));
			}

			lane.short = [...lane.members.values()].filter(state => !state.takesLongPrompts);
		}

		return lane;
	}

	/** Adds, updates or removes an upstream; an update is required when its models or region change. */
	setMember(state: UpstreamState, isMember: boolean): void {
		if (isMember) {
			this.#members.set(state.view.id, state);
		} else {
			this.#members.delete(state.view.id);
		}

		for (const lane of this.#lanes.values()) {
			lane.setMember(state, isMember && lane.serves(state.view));
		}
	}

	noteMembersChanged(): void {
		partitionForLongPrompts(this.#members.values());
		for (const lane of this.#lanes.values()) {
			lane.short = [...lane.members.values()].filter(state => !state.takesLongPrompts);
		}
	}

	/**
	 * Updates the free state of an upstream in all lanes.
	 *
	 * @returns Whether the upstream gained a free slot in any lane.
	 */
	refresh(state: UpstreamState): boolean {
		const isFree = state.isFree(this.#clock.now());
		let isChanged = false;
		for (const lane of this.#lanes.values()) {
			isChanged = lane.setFree(state, isFree) || isChanged;
		}

		return isFree && isChanged;
	}
}
