/**
 * The current upstreams, as listed by the registry.
 */
import {LRUCache} from 'lru-cache';
import {DepartedUpstreams, type Departure} from './departed-upstreams.js';
import {bootKey, type UpstreamBoot} from './upstream-boot.js';

/** An upstream as listed by the registry. */
export type Upstream = {
	/** Usually unique for each start. */
	readonly id: string;
	readonly pool: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: string;
	readonly region: string;
	/** Number of requests that it processes concurrently. */
	readonly slots: number;
	/** It is shutting down and gets no new work. */
	readonly isLeaving: boolean;
	/** Start time in ms since the Unix epoch; distinguishes two starts with the same ID. */
	readonly startedAt: number;
	/** Version of its software, if it states one. */
	readonly version?: string;
};

/** Changes to the list. */
export type UpstreamChanges = {
	readonly changed: readonly Upstream[];
	/** IDs of upstreams that were removed. */
	readonly removed: readonly string[];
};

/** Number of upstream starts remembered as leaving; covers some hours of replacements in the largest deployment. */
const MAX_LEAVING_BOOTS = 4096;

/**
 * All upstreams by ID. An upstream that began to leave gets no more work until it restarts, even if a later update from a
 * stale source lists it as available.
 */
export class UpstreamList {
	static create(): UpstreamList {
		return new UpstreamList();
	}

	readonly departed = DepartedUpstreams.create();
	readonly #upstreams = new Map<string, Upstream>();
	readonly #leavingBoots = new LRUCache<string, true>({max: MAX_LEAVING_BOOTS});

	private constructor() {
		// Instances come from `create`.
	}

	get(id: string): Upstream | undefined {
		return this.#upstreams.get(id);
	}

	get all(): readonly Upstream[] {
		return [...this.#upstreams.values()];
	}

	get size(): number {
		return this.#upstreams.size;
	}

	/** Starts of the listed upstreams that are leaving. */
	get leaving(): UpstreamBoot[] {
		return this.all.filter(upstream => upstream.isLeaving).map(({id, startedAt}) => ({id, startedAt}));
	}

	/** @returns The changes that had an effect. */
	apply({changed, removed}: UpstreamChanges): UpstreamChanges {
		const deleted = removed.filter(id => this.#remove(id));
		const updated: Upstream[] = [];
		for (const upstream of changed) {
			if (upstream.isLeaving) {
				this.#leavingBoots.set(bootKey(upstream), true);
			}

			const effective = this.#withLeavingState(upstream);
			const before = this.#upstreams.get(upstream.id);
			if (before !== undefined && before.startedAt !== upstream.startedAt) {
				this.departed.note(before);
			}

			this.departed.forget(upstream);
			if (!isSameEntry(before, effective)) {
				this.#upstreams.set(upstream.id, effective);
				updated.push(effective);
			}
		}

		return {changed: updated, removed: deleted};
	}

	/**
	 * Marks upstreams that announced that they are leaving.
	 *
	 * @returns The changes that had an effect.
	 */
	markLeaving(boots: readonly UpstreamBoot[]): UpstreamChanges {
		const changed: Upstream[] = [];
		for (const boot of boots) {
			this.#leavingBoots.set(bootKey(boot), true);
			const upstream = this.#upstreams.get(boot.id);
			if (upstream !== undefined) {
				changed.push(this.#withLeavingState(upstream));
			}
		}

		return this.apply({changed, removed: []});
	}

	/**
	 * Takes departures that another VM knows of, and removes the entries that the registry has brought back.
	 *
	 * @returns The departures that had an effect.
	 */
	markDeparted(departures: readonly Departure[]): Departure[] {
		const effective: Departure[] = [];
		for (const departure of departures) {
			const isListed = this.#upstreams.get(departure.id)?.startedAt === departure.startedAt;
			if (!isListed) {
				this.departed.add(departure);
			} else if (this.departed.isBroughtBack(departure)) {
				this.departed.add(departure);
				this.#remove(departure.id);
				effective.push(departure);
			}
		}

		return effective;
	}

	/**
	 * @param next - The complete new list.
	 * @returns The changes that turn this list into `next`.
	 */
	diff(next: readonly Upstream[]): UpstreamChanges {
		const ids = new Set(next.map(upstream => upstream.id));
		return {
			changed: next.filter(upstream => !isSameEntry(this.#upstreams.get(upstream.id), this.#withLeavingState(upstream))),
			removed: [...this.#upstreams.keys()].filter(id => !ids.has(id)),
		};
	}

	/** @returns Whether it was listed. */
	#remove(id: string): boolean {
		const upstream = this.#upstreams.get(id);
		if (upstream !== undefined) {
			this.departed.note(upstream);
			this.#upstreams.delete(id);
		}

		return upstream !== undefined;
	}

	#withLeavingState(upstream: Upstream): Upstream {
		return this.#leavingBoots.has(bootKey(upstream)) ? {...upstream, isLeaving: true} : upstream;
	}
}

function isSameEntry(a: Upstream | undefined, b: Upstream): boolean {
	return a?.pool === b.pool
		&& a.address === b.address
		&& a.dataCentre === b.dataCentre
		&& a.slots === b.slots
		&& a.isLeaving === b.isLeaving
		&& a.startedAt === b.startedAt
		&& a.version === b.version;
}
