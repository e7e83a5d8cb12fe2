/**
 * The upstreams that exist now, as the registry lists them.
 */
import {LRUCache} from 'lru-cache';

/** One upstream. */
export type Upstream = {
	/** Unique for each start, mostly. */
	readonly id: string;
	readonly pool: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: string;
	readonly region: string;
	/** Requests that it works on at a time. */
	readonly slots: number;
	/** Gets no new work. */
	readonly isLeaving: boolean;
	/** When it started, in ms since the Unix epoch; tells two starts under one ID apart. */
	readonly startedAt: number;
};

/** One start of an upstream. */
export type UpstreamBoot = {
	readonly id: string;
	/** In ms since the Unix epoch. */
	readonly startedAt: number;
};

/** A change of the list. */
export type UpstreamChanges = {
	readonly changed: readonly Upstream[];
	/** IDs of upstreams that are gone. */
	readonly removed: readonly string[];
};

/** Starts of upstreams that are remembered as leaving; some hours of replacements in the largest deployment. */
const MAX_DEPARTURES = 4096;

/**
 * All upstreams by ID. An upstream that began to leave never takes work again in the same start, whatever a later and
 * perhaps older source says of it.
 */
export class UpstreamList {
	static create(): UpstreamList {
		return new UpstreamList();
	}

	readonly #upstreams = new Map<string, Upstream>();
	readonly #departures = new LRUCache<string, true>({max: MAX_DEPARTURES});

	private constructor() {
		// Made by `create`.
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

	/** Starts of listed upstreams that leave. */
	get leaving(): UpstreamBoot[] {
		return this.all.filter(upstream => upstream.isLeaving).map(({id, startedAt}) => ({id, startedAt}));
	}

	/** @returns What has changed in fact. */
	apply({changed, removed}: UpstreamChanges): UpstreamChanges {
		const gone = removed.filter(id => this.#upstreams.delete(id));
		const news: Upstream[] = [];
		for (const upstream of changed) {
			if (upstream.isLeaving) {
				this.#departures.set(bootKey(upstream), true);
			}

			const effective = this.#withDeparture(upstream);
			if (!isSame(this.#upstreams.get(upstream.id), effective)) {
				this.#upstreams.set(upstream.id, effective);
				news.push(effective);
			}
		}

		return {changed: news, removed: gone};
	}

	/**
	 * Takes upstreams that said themselves that they leave.
	 *
	 * @returns What has changed by it.
	 */
	markLeaving(boots: readonly UpstreamBoot[]): UpstreamChanges {
		const changed: Upstream[] = [];
		for (const boot of boots) {
			this.#departures.set(bootKey(boot), true);
			const upstream = this.#upstreams.get(boot.id);
			if (upstream !== undefined) {
				changed.push(this.#withDeparture(upstream));
			}
		}

		return this.apply({changed, removed: []});
	}

	/**
	 * @param next - The whole list.
	 * @returns What changes this list into it.
	 */
	changesTo(next: readonly Upstream[]): UpstreamChanges {
		const ids = new Set(next.map(upstream => upstream.id));
		return {
			changed: next.filter(upstream => !isSame(this.#upstreams.get(upstream.id), this.#withDeparture(upstream))),
			removed: [...this.#upstreams.keys()].filter(id => !ids.has(id)),
		};
	}

	#withDeparture(upstream: Upstream): Upstream {
		return this.#departures.has(bootKey(upstream)) ? {...upstream, isLeaving: true} : upstream;
	}
}

function bootKey({id, startedAt}: UpstreamBoot): string {
	return `${id} ${startedAt}`;
}

function isSame(a: Upstream | undefined, b: Upstream): boolean {
	return a?.pool === b.pool
		&& a.address === b.address
		&& a.dataCentre === b.dataCentre
		&& a.slots === b.slots
		&& a.isLeaving === b.isLeaving
		&& a.startedAt === b.startedAt;
}
