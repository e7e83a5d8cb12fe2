/**
 * Restricts requests to the versions in force, and sends the requests that a roll-out's canary wants to its candidates.
 */
import {type PlaceRequest} from '../allocation/allocation.js';
import {PlacementFilter} from '../allocation/placement-filter.js';
import {type TrackedUpstream} from '../allocation/tracked-upstream.js';
import {type Restore} from '../allocation/unchanged-state.js';
import {type RolloutCourse} from './rollout-course.js';
import {NO_VERSION, VersionRule} from './version-rules.js';

/** Preference for the candidate, in ms: more than any other cost of a placement. */
const CANARY_PREFERENCE_MS = 1_000_000;
/** Preference for each request that a candidate upstream holds, where the busiest is wanted, in ms; more than other costs, and small against the preference. */
const BUSY_PREFERENCE_MS = 10_000;

/** The upstreams that get the canary requests of one roll-out. */
export type Canary = {
	readonly course: RolloutCourse;
	readonly upstreamIds: ReadonlySet<string>;
	/** Whether this process may send requests to the candidate now. */
	readonly isAllowed: () => boolean;
};

/** The rules of one pool. */
export type PoolGate = {
	readonly rules: ReadonlyMap<string, VersionRule>;
	readonly canary: Canary | undefined;
};

/** Restricts the versions that a request may use. */
export class VersionGate extends PlacementFilter {
	/** @param gates - The rules of each pool; pools without any are not restricted. */
	static create(gates: ReadonlyMap<string, PoolGate>): VersionGate {
		return new VersionGate(gates);
	}

	readonly #gates: ReadonlyMap<string, PoolGate>;

	private constructor(gates: ReadonlyMap<string, PoolGate>) {
		super();
		this.#gates = gates;
	}

	override snapshot(pool: string): Restore {
		return this.#gates.get(pool)?.canary?.course.preserveBurst() ?? (() => undefined);
	}

	override restricts(pool: string): boolean {
		return this.#gates.has(pool);
	}

	override isOpen({upstream}: TrackedUpstream): boolean {
		const rule = this.#ruleOf(upstream);
		return rule === undefined || rule === VersionRule.Open;
	}

	override isAwaitable({upstream}: TrackedUpstream): boolean {
		const rule = this.#ruleOf(upstream);
		return rule === undefined || rule === VersionRule.Open || rule === VersionRule.Held;
	}

	override accepts(ask: PlaceRequest, target: TrackedUpstream, now: number): boolean {
		const rule = this.#ruleOf(target.upstream);
		if (rule !== VersionRule.Canary) {
			return rule === undefined || rule === VersionRule.Open;
		}

		const canary = this.#gates.get(target.upstream.pool)?.canary;
		// Only first attempts: what fails at a candidate, or goes on behind another upstream's events, belongs to the base.
		return canary !== undefined && ask.attempt === 1 && !ask.isContinuation
			&& !ask.excluded.some(id => canary.upstreamIds.has(id)) && canary.upstreamIds.has(target.upstream.id) && canary.isAllowed() && canary.course.wantsCanary(ask.route ?? '', now);
	}

	override costMs(_ask: PlaceRequest, {upstream, held}: TrackedUpstream, now: number): number {
		const gate = this.#gates.get(upstream.pool);
		if (gate?.canary === undefined || gate.rules.get(upstream.version ?? NO_VERSION) !== VersionRule.Canary) {
			return 0;
		}

		return -CANARY_PREFERENCE_MS - (gate.canary.course.prefersBusy(now) ? BUSY_PREFERENCE_MS * held.size : 0);
	}

	#ruleOf({pool, version}: TrackedUpstream['upstream']): VersionRule | undefined {
		return this.#gates.get(pool)?.rules.get(version ?? NO_VERSION);
	}
}
