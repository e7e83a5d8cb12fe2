/**
 * What is held against a feature of requests: the crashes in which requests with it were in flight.
 */
import {countCrashes} from './crash-evidence.js';

/** Crashes below which a quarantine ends, as others are cleared. */
const MIN_CRASHES_IN_QUARANTINE = 2;

/** Suspicion as exchanged between nodes; contains durations instead of timestamps because node clocks differ. */
export type Suspicion = {
	/** Fingerprint of the request, or another feature from `features.ts`. */
	readonly feature: string;
	/** IDs from `crash-evidence.ts` of the crashes that requests with the feature were involved in; identical on all nodes. */
	readonly crashes: readonly string[];
	/** Time since each of these crashes, in ms; absent where crashes have no upstream boot. */
	readonly agesMs?: readonly number[];
	/** Pool of the upstreams that crashed; absent where crashes have no upstream boot. */
	readonly pool?: string;
	/** Features that all crashed requests with this one had; the feature itself is included. */
	readonly companions?: readonly string[];
	/** Nodes that saw the crashes. */
	readonly seenBy?: readonly string[];
	/** Whether these crashes no longer count against the feature. */
	readonly isCleared: boolean;
	/** Remaining quarantine in milliseconds; 0 for a suspect. */
	readonly quarantinedMs: number;
	/** Remaining lifetime of the suspicion in milliseconds. */
	readonly remainingMs: number;
};

/** A request that an upstream may have begun to run when it crashed. */
export type CrashedRequest = {
	/** From `crashId.refused`, with the start of the upstream as the event: the same on all nodes. */
	readonly crash: string;
	readonly pool: string;
	readonly features: readonly string[];
	/** Node that sent the request. */
	readonly seenBy: string;
};

/** What one node knows of a feature. Times in ms of its monotonic clock. */
export type SuspectRecord = {
	crashes: Set<string>;
	cleared: Set<string>;
	/** Features that all crashed requests with this one had. */
	companions: Set<string> | undefined;
	readonly seenBy: Set<string>;
	quarantinedUntil: number;
	/** Until when the request that tries the feature after its quarantine may take to be answered. */
	trialUntil: number;
	/** Whether a quarantine ended without a success since; the next crash renews it. */
	wasQuarantined: boolean;
	expiresAt: number;
};

/** @returns A record without crashes, which has expired unless a crash is added. */
export function createRecord(now: number): SuspectRecord {
	return {
		crashes: new Set(), cleared: new Set(), companions: undefined, seenBy: new Set(), quarantinedUntil: 0, trialUntil: 0, wasQuarantined: false, expiresAt: now,
	};
}

/** Counts crashes no longer against a feature; with too few left, its quarantine ends. */
export function clear(record: SuspectRecord, crashes: Iterable<string>): void {
	for (const crash of crashes) {
		record.cleared.add(crash);
		record.crashes.delete(crash);
	}

	if (countCrashes(record.crashes) < MIN_CRASHES_IN_QUARANTINE) {
		record.quarantinedUntil = 0;
		record.trialUntil = 0;
		record.wasQuarantined = false;
	}
}

/** @returns Those of the features that all crashed requests had in common, these ones included. */
export function commonFeatures({crashes, companions}: SuspectRecord, features: readonly string[]): Set<string> {
	return new Set(crashes.size === 0 || companions === undefined ? features : features.filter(feature => companions.has(feature)));
}
