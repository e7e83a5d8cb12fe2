/**
 * Derives the upstream list used for routing from the store's entries. While the store is unreachable, entries of live
 * upstreams expire; these upstreams stay listed until they have had time to register again.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {type Upstream, type UpstreamChanges, type UpstreamList} from './upstream-list.js';

/** How long an entry that expired during a store outage may take to reappear after the outage, in ms. */
const REREGISTRATION_GRACE_MS = 2300;

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
		}
	}

	/** Applies the store's complete list. */
	replace(upstreams: readonly Upstream[]): void {
		this.apply(this.#list.diff(upstreams));
	}

	/** Applies changes to the store's list. */
	apply({changed, removed}: UpstreamChanges): void {
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
		if (this.#expiredIds.size === 0 || this.#timer !== undefined) {
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
