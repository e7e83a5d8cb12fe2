/**
 * Turns what the store says of upstreams into the list that requests are routed by. While the store was away, entries
 * lapse of upstreams that live; these keep their place until they have had time to come back.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {type Upstream, type UpstreamChanges, type UpstreamList} from './upstream-list.js';

/** How long an entry that lapsed while the store was away may take to come back after its return, in ms. */
const RETURN_MS = 2300;

/** The registry. */
export class UpstreamRegistry {
	/**
	 * @param list - The list in use, which `onChanges` brings up to date.
	 * @param onChanges - Called with each change of the list.
	 */
	static create(clock: Clock, list: UpstreamList, onChanges: (changes: UpstreamChanges) => void): UpstreamRegistry {
		return new UpstreamRegistry(clock, list, onChanges);
	}

	readonly #clock: Clock;
	readonly #onChanges: (changes: UpstreamChanges) => void;
	readonly #list: UpstreamList;
	/** Entries that are missing and may come back. */
	readonly #lapsed = new Set<string>();
	#isStoreAway = false;
	#returnsUntil = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	private constructor(clock: Clock, list: UpstreamList, onChanges: (changes: UpstreamChanges) => void) {
		this.#clock = clock;
		this.#list = list;
		this.#onChanges = onChanges;
	}

	/** The store does not answer. */
	noteStoreUnreachable(): void {
		this.#isStoreAway = true;
	}

	/** The store answers again. */
	noteStoreReachable(): void {
		if (this.#isStoreAway) {
			this.#isStoreAway = false;
			this.#returnsUntil = this.#clock.now() + RETURN_MS;
		}
	}

	/** Takes the whole list of the store. */
	replace(upstreams: readonly Upstream[]): void {
		this.apply(this.#list.changesTo(upstreams));
	}

	/** Takes changes of the store's list. */
	apply({changed, removed}: UpstreamChanges): void {
		for (const upstream of changed) {
			this.#lapsed.delete(upstream.id);
		}

		const gone: string[] = [];
		for (const id of removed) {
			const upstream = this.#list.get(id);
			if (upstream !== undefined && !upstream.isLeaving && this.#mayReturn()) {
				this.#lapsed.add(id);
			} else if (upstream !== undefined) {
				gone.push(id);
			}
		}

		this.#watchLapsed();
		if (changed.length > 0 || gone.length > 0) {
			this.#onChanges({changed, removed: gone});
		}
	}

	#mayReturn(): boolean {
		return this.#isStoreAway || this.#clock.now() < this.#returnsUntil;
	}

	#watchLapsed(): void {
		if (this.#lapsed.size === 0 || this.#timer !== undefined) {
			return;
		}

		this.#timer = this.#clock.setTimer(Math.max(1, this.#returnsUntil - this.#clock.now()), () => {
			this.#timer = undefined;
			if (this.#mayReturn()) {
				this.#watchLapsed();
				return;
			}

			const removed = [...this.#lapsed];
			this.#lapsed.clear();
			this.#onChanges({changed: [], removed});
		});
	}
}
