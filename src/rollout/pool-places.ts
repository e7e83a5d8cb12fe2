/**
 * The upstreams and places of a pool as a roll-out sees them: by version.
 */
import {type HeldRequest, type TrackedUpstream} from '../allocation/tracked-upstream.js';
import {type KnownPool} from './pool-knowledge.js';
import {CANARY_UPSTREAMS, type RolloutProgress} from './rollout-course.js';
import {NO_VERSION, VersionRule} from './version-rules.js';

/** The allocator, as far as roll-outs depend on it. */
export type RolloutAllocator = {
	/** Whether it decides for all VMs, and no other allocator is likely to. */
	readonly decidesForAll: boolean;
	upstreamsOf(pool: string): ReadonlyMap<string, TrackedUpstream>;
	placesOf(pool: string): ReadonlyMap<string, HeldRequest>;
};

/** Counts the upstreams and places of one pool. */
export class PoolPlaces {
	static create(pool: KnownPool, allocator: () => RolloutAllocator): PoolPlaces {
		return new PoolPlaces(pool, allocator);
	}

	readonly #pool: KnownPool;
	readonly #allocator: () => RolloutAllocator;
	/** Versions of upstreams by ID, also of those that are no longer listed. */
	readonly #versions = new Map<string, string>();

	private constructor(pool: KnownPool, allocator: () => RolloutAllocator) {
		this.#pool = pool;
		this.#allocator = allocator;
	}

	/** Whether the allocator decides for all VMs. */
	get decidesForAll(): boolean {
		return this.#allocator().decidesForAll;
	}

	/** @returns IDs of the candidate upstreams that get the canary requests; the same ones as long as they are listed. */
	canaryIds(to: string): ReadonlySet<string> {
		const ids = this.#usable().filter(({version = NO_VERSION}) => version === to).map(({id}) => id);
		return new Set(ids.toSorted().slice(0, CANARY_UPSTREAMS));
	}

	/** @returns Number of usable upstreams of the version, and of those in force before. */
	countUpstreams(to: string): Pick<RolloutProgress, 'candidateUpstreams' | 'baseUpstreams'> {
		const {rules, record} = this.#pool;
		const versions = this.#usable().map(({version = NO_VERSION}) => version);
		const isBase = (version: string) => rules.get(version) === VersionRule.Open || record?.base.includes(version) === true;
		return {
			candidateUpstreams: versions.filter(version => version === to).length,
			baseUpstreams: versions.filter(version => version !== to && isBase(version)).length,
		};
	}

	/** @returns Number of places that are held at upstreams of other versions, listed or not. */
	heldElsewhere(to: string): number {
		const allocator = this.#allocator();
		for (const {upstream} of allocator.upstreamsOf(this.#pool.name).values()) {
			this.#versions.set(upstream.id, upstream.version ?? NO_VERSION);
		}

		return [...allocator.placesOf(this.#pool.name).values()].filter(({upstreamId}) => this.#versions.get(upstreamId) !== to).length;
	}

	#usable(): Array<TrackedUpstream['upstream']> {
		return [...this.#allocator().upstreamsOf(this.#pool.name).values()].map(({upstream}) => upstream).filter(({isLeaving}) => !isLeaving);
	}
}
