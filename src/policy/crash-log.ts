/**
 * Crashes of upstreams with the features of the requests that may have caused them, and the test whether a feature is to
 * blame rather than another feature, or a cause outside the requests.
 */
import {LRUCache} from 'lru-cache';
import {isSharedFeature} from './features.js';

const MAX_CRASHES = 4096;
/** Features that are remembered as harmless. */
const MAX_HARMLESS_FEATURES = 50_000;
/** How long a success speaks for a feature, in ms. */
const HARMLESS_MS = 600_000;
/** Crashes within this time of the first, in ms, count as one for a shared feature, as they may have a common cause such as a power loss. */
const SIMULTANEOUS_MS = 100;
/** The same time for a feature on which upstreams have answered before, in ms. */
const SIMULTANEOUS_HARMLESS_MS = 1000;
/** Crashes that make a feature guilty if few other requests were in flight, and those that do in any case. */
const FEW_CRASHES = 3;
const MANY_CRASHES = 5;
/** Sum of a feature's shares in the crashes, with which few crashes suffice. */
const MIN_TOTAL_SHARE = 1;
/** Crashes without the feature, for each one with it, above which crashes have another cause: with few and with many crashes of the feature. */
const MAX_OTHERS_RATIO_FEW = 2;
const MAX_OTHERS_RATIO_MANY = 4;
/** Requests without a shared feature that must have begun since its first crash, which shows that upstreams are sound without it. */
const MIN_CONTROL_REQUESTS = 3;
/** Time after a crash in which a response of the same start of the upstream shows that it did not crash, in ms: not delayed from before, and before the upstream can be back. */
const REFUTATION_FROM_MS = 150;
const REFUTATION_UNTIL_MS = 2000;

type Crash = {
	readonly pool: string;
	readonly at: number;
	readonly features: Set<string>;
	/** Requests of the pool that had begun by then. */
	readonly begunBefore: number;
	isExplained: boolean;
};

/** What speaks against a feature. */
export type Accusation = {
	/** IDs of the crashes in which requests with the feature were in flight. */
	readonly crashes: ReadonlySet<string>;
	/** Features that all these requests had. */
	readonly companions: ReadonlySet<string>;
	/** Returns the crashes of another feature. */
	readonly suspects: (feature: string) => ReadonlySet<string> | undefined;
};

/** Crashes known to one node. Times in ms of its monotonic clock. */
export class CrashLog {
	static create(): CrashLog {
		return new CrashLog();
	}

	readonly #crashes = new LRUCache<string, Crash>({max: MAX_CRASHES});
	readonly #harmless = new LRUCache<string, true>({max: MAX_HARMLESS_FEATURES, ttl: HARMLESS_MS, ttlResolution: 1000});
	readonly #begunCounts = new Map<string, number>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Adds a feature of a request that was in flight at a crash. */
	add(id: string, {pool, feature, at}: {readonly pool: string; readonly feature: string; readonly at: number}): void {
		const crash = this.#crashes.get(id) ?? {
			pool, at, features: new Set(), begunBefore: this.#begunCounts.get(pool) ?? 0, isExplained: false,
		};
		crash.features.add(feature);
		this.#crashes.set(id, crash);
	}

	/** Records that an upstream of the pool began to answer a request with these features. */
	noteBegun(pool: string, features: readonly string[]): void {
		this.#begunCounts.set(pool, (this.#begunCounts.get(pool) ?? 0) + 1);
		for (const feature of features) {
			if (isSharedFeature(feature)) {
				this.#harmless.set(feature, true);
			}
		}
	}

	/** @returns When a crash happened; `fallback` if it is not known. */
	at(id: string, fallback: number): number {
		return this.#crashes.peek(id)?.at ?? fallback;
	}

	/** @returns Whether a verdict explains a crash. */
	isExplained(id: string): boolean {
		return this.#crashes.peek(id)?.isExplained === true;
	}

	poolOf(id: string | undefined): string | undefined {
		return id === undefined ? undefined : this.#crashes.peek(id)?.pool;
	}

	/**
	 * Removes a crash if a response now shows that the upstream did not crash.
	 *
	 * @returns The features of the removed crash.
	 */
	refute(id: string, now: number): Iterable<string> {
		const crash = this.#crashes.peek(id);
		if (crash === undefined || now - crash.at < REFUTATION_FROM_MS || now - crash.at > REFUTATION_UNTIL_MS) {
			return [];
		}

		this.#crashes.delete(id);
		return crash.features;
	}

	/**
	 * Marks crashes as explained by a verdict.
	 *
	 * @returns All features that were suspected in them.
	 */
	explain(ids: Iterable<string>): Set<string> {
		const features = new Set<string>();
		for (const id of ids) {
			const crash = this.#crashes.peek(id);
			if (crash !== undefined) {
				crash.isExplained = true;
				for (const feature of crash.features) {
					features.add(feature);
				}
			}
		}

		return features;
	}

	/**
	 * @returns Whether a feature crashes upstreams: it was in enough crashes, no other feature explains them better, and for a
	 * shared feature, upstreams run other requests and crash seldom without it.
	 */
	isGuilty(feature: string, {crashes, companions, suspects}: Accusation): boolean {
		const own = [...crashes].map(id => this.#crashes.peek(id)).filter(crash => crash !== undefined).sort((a, b) => a.at - b.at);
		const [first] = own;
		if (first === undefined) {
			return false;
		}

		const count = isSharedFeature(feature) ? countMoments(own, this.#harmless.has(feature) ? SIMULTANEOUS_HARMLESS_MS : SIMULTANEOUS_MS) : own.length;
		const share = own.reduce((sum, crash) => sum + (1 / countRequests(crash)), 0);
		const isMany = count >= MANY_CRASHES;
		if (!isMany && (count < FEW_CRASHES || share < MIN_TOTAL_SHARE)) {
			return false;
		}

		if (this.#hasBetterSuspect(feature, own, {crashes, companions, suspects})) {
			return false;
		}

		if (!isSharedFeature(feature)) {
			return true;
		}

		const others = [...this.#crashes.entries()].filter(([id, crash]) => !crash.isExplained && crash.pool === first.pool && crash.at >= first.at - SIMULTANEOUS_MS && !crashes.has(id)).length;
		const begun = (this.#begunCounts.get(first.pool) ?? 0) - Math.min(...own.map(({begunBefore}) => begunBefore));
		return begun >= MIN_CONTROL_REQUESTS && others <= own.length * (isMany ? MAX_OTHERS_RATIO_MANY : MAX_OTHERS_RATIO_FEW);
	}

	/** @returns Whether a feature of other requests was in flight at all these crashes and at more, or is as suspect and shared by more requests. */
	#hasBetterSuspect(feature: string, own: readonly Crash[], {crashes, companions, suspects}: Accusation): boolean {
		const [first, ...rest] = own;
		return [...first!.features].some(other => {
			if (companions.has(other) || !rest.every(crash => crash.features.has(other))) {
				return false;
			}

			const otherCrashes = suspects(other);
			const isSuperset = otherCrashes !== undefined && [...crashes].every(id => otherCrashes.has(id));
			return isSuperset && (otherCrashes.size > crashes.size || (isSharedFeature(other) && !isSharedFeature(feature)));
		});
	}
}

/** @returns Number of requests that may have caused a crash, at least 1. */
function countRequests({features}: Crash): number {
	return Math.max(1, [...features].filter(feature => !isSharedFeature(feature)).length);
}

/** @returns Number of crashes, where those within `windowMs` of the first one count as one. */
function countMoments(crashes: readonly Crash[], windowMs: number): number {
	let count = 0;
	let start = Number.NEGATIVE_INFINITY;
	for (const {at} of crashes) {
		if (at - start > windowMs) {
			count += 1;
			start = at;
		}
	}

	return count;
}
