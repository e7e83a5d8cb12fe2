/**
 * Derives the upstream list used for routing from the store's entries. While the store is unreachable, entries of live
 * upstreams expire; these upstreams stay listed until they have had time to register again. The same holds after the store
 * came back in an earlier state, and entries that it has brought back of upstreams that left are not used.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {type Upstream, type UpstreamChanges, type UpstreamList} from './upstream-list.js';

/** How long an entry that expired during a store outage, or that the store forgot, may take to reappear after the store's return, in ms. */
const REREGISTRATION_GRACE_MS = 2300;

/** The state of the store in which all entries were listed. */
export type ListedState = {
	/** Rises when the store comes back in an earlier state. */
	readonly era: number;
	/** Version of the last change of each entry, by upstream. */
	readonly versions: ReadonlyMap<string, number>;
};

/** Applies the store's changes to the upstream list, and delays removals after a store outage. */
export class UpstreamRegistry {
	/**
	 * @param list - The list in use, which `onChanges` updates.
	 * @param onChanges - Called with the changes to apply to the list.
	 */
	static create(clock: Clock, list: UpstreamList, onChanges: (changes: UpstreamChanges) => void): UpstreamRegistry {
		return new UpstreamRegistry(clock, list, onChanges);
	}

	readonly #clock: Clock;
	readonly #onChanges: (changes: UpstreamChanges) => void;
	readonly #list: UpstreamList;
	/** IDs of upstreams whose entries expired and may reappear. */
	readonly #expiredIds = new Set<string>();
	/** The first state that was listed in the present era. */
	#firstListed: ListedState | undefined;
	#isStoreUnreachable = false;
	#graceEndsAt = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	private constructor(clock: Clock, list: UpstreamList, onChanges: (changes: UpstreamChanges) => void) {
		this.#clock = clock;
		this.#list = list;
		this.#onChanges = onChanges;
	}

	/** Called when the store stops responding. */
	noteStoreUnreachable(): void {
		this.#isStoreUnreachable = true;
	}

	/** Called when the store responds again. */
	noteStoreReachable(): void {
		if (this.#isStoreUnreachable) {
			this.#isStoreUnreachable = false;
			this.#graceEndsAt = this.#clock.now() + REREGISTRATION_GRACE_MS;
			this.#scheduleRemoval();
		}
	}

	/** Called when another VM's list comes into use in place of the store's. */
	suspend(): void {
		this.#expiredIds.clear();
		this.#timer?.cancel();
		this.#timer = undefined;
	}

	/** Applies the store's complete list. */
	replace(upstreams: readonly Upstream[], state: ListedState): void {
		const {departed} = this.#list;
		for (const {id} of upstreams) {
			this.#expiredIds.delete(id);
		}

		if (this.#firstListed?.era === state.era) {
			for (const upstream of upstreams) {
				if (this.#firstListed.versions.get(upstream.id) !== state.versions.get(upstream.id)) {
					departed.noteRegistered(upstream);
				}
			}
		} else {
			const knownEra = Math.max(departed.era, this.#firstListed?.era ?? 0);
			if (knownEra > 0 && knownEra < state.era) {
				this.#graceEndsAt = this.#clock.now() + REREGISTRATION_GRACE_MS;
			}

			this.#firstListed = state;
			departed.beginEra(state.era);
		}

		this.#update(this.#list.diff(upstreams.filter(upstream => !departed.has(upstream))));
	}

	/** Applies changes to the store's list. */
	apply(changes: UpstreamChanges): void {
		for (const upstream of changes.changed) {
			this.#list.departed.noteRegistered(upstream);
		}

		this.#update(changes);
	}

	#update({changed, removed}: UpstreamChanges): void {
		for (const upstream of changed) {
			this.#expiredIds.delete(upstream.id);
		}

		const removedNow: string[] = [];
		for (const id of removed) {
			const upstream = this.#list.get(id);
			if (upstream !== undefined && !upstream.isLeaving && this.#isInGracePeriod()) {
				this.#expiredIds.add(id);
			} else if (upstream !== undefined) {
				removedNow.push(id);
			}
		}

		this.#scheduleRemoval();
		if (changed.length > 0 || removedNow.length > 0) {
			this.#onChanges({changed, removed: removedNow});
		}
	}

	#isInGracePeriod(): boolean {
		return this.#isStoreUnreachable || this.#clock.now() < this.#graceEndsAt;
	}

	#scheduleRemoval(): void {
		if (this.#expiredIds.size === 0 || this.#timer !== undefined || this.#isStoreUnreachable) {
			return;
		}

		this.#timer = this.#clock.setTimer(Math.max(1, this.#graceEndsAt - this.#clock.now()), () => {
			this.#timer = undefined;
			if (this.#isInGracePeriod()) {
				this.#scheduleRemoval();
				return;
			}

			const removed = [...this.#expiredIds];
			this.#expiredIds.clear();
			this.#onChanges({changed: [], removed});
		});
	}
}
