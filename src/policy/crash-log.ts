/**
 * Crashes of upstreams with the features of the requests that may have caused them, and the test whether a feature is to
 * blame rather than another feature, or a cause outside the requests.
 */
import {LRUCache} from 'lru-cache';
import {isSharedFeature} from './features.js';
import {type SuspectRecord} from './suspicion.js';

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
/** Sum of a feature's shares in the crashes, with which few crashes suffice: of a request, and of what requests share. */
const MIN_TOTAL_SHARE = 1;
const MIN_TOTAL_SHARE_SHARED = 2;
/** Crashes without the feature, for each one with it, above which crashes have another cause: with few and with many crashes of the feature. */
const MAX_OTHERS_RATIO_FEW = 0.25;
const MAX_OTHERS_RATIO_MANY = 2;
/** Requests without a shared feature that must have been answered since its first crash, which shows that upstreams are sound without it. */
const MIN_CONTROL_REQUESTS = 3;
/**
 * Times after a crash at which a response of the same start of the upstream shows that it did not crash, in ms: it is not
 * delayed from before the crash, and it comes before the upstream can be back, or after VMs have learned that it is back.
 */
const REFUTATION_FROM_MS = 150;
const REFUTATION_UNTIL_MS = 2000;
const REFUTATION_AGAIN_FROM_MS = 5000;

type Crash = {
	readonly pool: string;
	readonly at: number;
	readonly features: Set<string>;
	/** Requests of the pool that had been answered by then. */
	readonly answeredBefore: number;
	isExplained: boolean;
};

/** What speaks against a feature. */
export type Accusation = {
	/** IDs of the crashes in which requests with the feature were in flight. */
	readonly crashes: ReadonlySet<string>;
	/** Features that all these requests had. */
	readonly companions: ReadonlySet<string>;
	/** Returns what is held against another feature. */
	readonly suspects: (feature: string) => Readonly<Pick<SuspectRecord, 'crashes' | 'companions'>> | undefined;
};

/** Crashes known to one node. Times in ms of its monotonic clock. */
export class CrashLog {
	static create(): CrashLog {
		return new CrashLog();
	}

	readonly #crashes = new LRUCache<string, Crash>({max: MAX_CRASHES});
	readonly #harmless = new LRUCache<string, true>({max: MAX_HARMLESS_FEATURES, ttl: HARMLESS_MS, ttlResolution: 1000});
	readonly #answeredCounts = new Map<string, number>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Adds a feature of a request that was in flight at a crash. */
	add(id: string, {pool, feature, at}: {readonly pool: string; readonly feature: string; readonly at: number}): void {
		const crash = this.#crashes.get(id) ?? {
			pool, at, features: new Set(), answeredBefore: this.#answeredCounts.get(pool) ?? 0, isExplained: false,
		};
		crash.features.add(feature);
		this.#crashes.set(id, crash);
	}

	/** Records that an upstream of the pool answered a request with these features as a whole. */
	noteAnswered(pool: string, features: readonly string[]): void {
		this.#answeredCounts.set(pool, (this.#answeredCounts.get(pool) ?? 0) + 1);
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
		const ageMs = crash === undefined ? 0 : now - crash.at;
		if (crash === undefined || ageMs < REFUTATION_FROM_MS || (ageMs > REFUTATION_UNTIL_MS && ageMs < REFUTATION_AGAIN_FROM_MS)) {
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

		const moments = isSharedFeature(feature) ? firstOfMoments(own, this.#harmless.has(feature) ? SIMULTANEOUS_HARMLESS_MS : SIMULTANEOUS_MS) : own;
		const count = moments.length;
		const share = moments.reduce((sum, crash) => sum + (1 / countRequests(crash)), 0);
		const isMany = count >= MANY_CRASHES;
		if (!isMany && (count < FEW_CRASHES || share < (isSharedFeature(feature) ? MIN_TOTAL_SHARE_SHARED : MIN_TOTAL_SHARE))) {
			return false;
		}

		if (this.#hasBetterSuspect(feature, own, {crashes, companions, suspects})) {
			return false;
		}

		if (!isSharedFeature(feature)) {
			return true;
		}

		const others = [...this.#crashes.entries()].filter(([id, crash]) => !crash.isExplained && crash.pool === first.pool && crash.at >= first.at - SIMULTANEOUS_MS && !crashes.has(id)).length;
		const answered = (this.#answeredCounts.get(first.pool) ?? 0) - Math.min(...own.map(({answeredBefore}) => answeredBefore));
		return answered >= MIN_CONTROL_REQUESTS && others <= own.length * (isMany ? MAX_OTHERS_RATIO_MANY : MAX_OTHERS_RATIO_FEW);
	}

	/**
	 * @returns Whether a feature of other requests was in flight at all these crashes, and at more of them, or is as suspect and
	 * shared by more requests, or came with this feature each time, so that it narrows the cause down.
	 */
	#hasBetterSuspect(feature: string, own: readonly Crash[], {crashes, companions, suspects}: Accusation): boolean {
		const [first, ...rest] = own;
		return [...first!.features].some(other => {
			if (companions.has(other) || !rest.every(crash => crash.features.has(other))) {
				return false;
			}

			const suspect = suspects(other);
			if (suspect === undefined || ![...crashes].every(id => suspect.crashes.has(id))) {
				return false;
			}

			const isNarrower = isSharedFeature(other) && suspect.companions?.has(feature) === true;
			return suspect.crashes.size > crashes.size || isNarrower || (isSharedFeature(other) && !isSharedFeature(feature));
		});
	}
}

/** @returns Number of requests that may have caused a crash, at least 1. */
function countRequests({features}: Crash): number {
	return Math.max(1, [...features].filter(feature => !isSharedFeature(feature)).length);
}

/** @returns The crashes without those within `windowMs` of an earlier one that remains. */
function firstOfMoments(own: readonly Crash[], windowMs: number): Crash[] {
	const moments: Crash[] = [];
	for (const crash of own) {
		if (crash.at - (moments.at(-1)?.at ?? Number.NEGATIVE_INFINITY) > windowMs) {
			moments.push(crash);
		}
	}

	return moments;
}
