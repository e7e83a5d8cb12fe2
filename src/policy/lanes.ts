/**
 * The upstreams of one pool and its lanes, one for each model.
 */
import {type Clock} from '../base/clock.js';
import {Lane} from './lane.js';
import {divideForLongPrompts} from './long-prompts.js';
import {type UpstreamState} from './upstream-state.js';

/** Lanes of one pool. */
export class Lanes {
	/** @param region - Region of this node. */
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

	/** @returns The lane of a model, which is made on its first use. */
	laneOf(model: string | undefined): Lane {
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

	/** Adds or removes an upstream of this pool, or notes that its models or region changed. */
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
		divideForLongPrompts(this.#members.values());
		for (const lane of this.#lanes.values()) {
			lane.short = [...lane.members.values()].filter(state => !state.takesLongPrompts);
		}
	}

	/**
	 * Notes that the free slots of an upstream may have changed.
	 *
	 * @returns Whether it had no free slot before and has one now.
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
