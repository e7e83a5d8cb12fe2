/**
 * The upstreams that exist now, as the registry lists them.
 */

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

/** A change of the list. */
export type UpstreamChanges = {
	readonly changed: readonly Upstream[];
	/** IDs of upstreams that are gone. */
	readonly removed: readonly string[];
};

/** All upstreams by ID. */
export class UpstreamList {
	static create(): UpstreamList {
		return new UpstreamList();
	}

	readonly #upstreams = new Map<string, Upstream>();

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

	apply({changed, removed}: UpstreamChanges): void {
		for (const id of removed) {
			this.#upstreams.delete(id);
		}

		for (const upstream of changed) {
			this.#upstreams.set(upstream.id, upstream);
		}
	}

	/**
	 * @param next - The whole list.
	 * @returns What changes this list into it.
	 */
	changesTo(next: readonly Upstream[]): UpstreamChanges {
		const ids = new Set(next.map(upstream => upstream.id));
		return {
			changed: next.filter(upstream => !isSame(this.#upstreams.get(upstream.id), upstream)),
			removed: [...this.#upstreams.keys()].filter(id => !ids.has(id)),
		};
	}
}

function isSame(a: Upstream | undefined, b: Upstream): boolean {
	return a?.pool === b.pool
		&& a.address === b.address
		&& a.dataCentre === b.dataCentre
		&& a.slots === b.slots
		&& a.isLeaving === b.isLeaving
		&& a.startedAt === b.startedAt;
}
