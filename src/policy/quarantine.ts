/**
 * Detects requests that crash upstreams: tracks crashes by request fingerprint and isolates or quarantines suspects.
 */
import {LRUCache} from 'lru-cache';
import {countCrashes, countCorroboratedCrashes, crashId} from './crash-evidence.js';

/** Lifetime of suspicions and quarantines. */
export const QUARANTINE_MS = 600_000;
const MAX_SUSPECTS = 10_000;
const CRASHES_TO_QUARANTINE = 3;
const SOLE_SUSPECT_CRASHES_TO_QUARANTINE = 2;

/** Restriction that applies to requests with a given fingerprint. */
export const Standing = {
	Clear: 'clear',
	/** At most one suspect runs at an upstream at a time. */
	Suspect: 'suspect',
	Quarantined: 'quarantined',
} as const;

export type Standing = (typeof Standing)[keyof typeof Standing];

/** Suspicion as exchanged between nodes; contains durations instead of timestamps because node clocks differ. */
export type Suspicion = {
	readonly fingerprint: string;
	/** IDs from `crash-evidence.ts` of the crashes that the request was involved in; identical on all nodes. */
	readonly crashes: readonly string[];
	/** Whether these crashes no longer count against the request. */
	readonly isCleared: boolean;
	/** Remaining quarantine in milliseconds; 0 for a suspect. */
	readonly quarantinedMs: number;
	/** Remaining lifetime of the suspicion in milliseconds. */
	readonly remainingMs: number;
};

/** Requests that were lost at an upstream at the same time. */
export type Loss = {
	readonly upstreamId: string;
	readonly fingerprints: ReadonlySet<string>;
	/** Fingerprint of the only request that was already a suspect; `undefined` if there were none or several. */
	readonly soleSuspect: string | undefined;
	readonly at: number;
};

type SuspectRecord = {
	crashes: Set<string>;
	cleared: Set<string>;
	quarantinedUntil: number;
	expiresAt: number;
};

/** Suspicions known to one node. Times are milliseconds of its monotonic clock. */
export class Quarantine {
	/**
	 * @param nodeId - ID of the node including its incarnation, which makes crash IDs unique.
	 * @param onChanged - Called with each local change that other nodes must learn of.
	 */
	static create(nodeId: string, onChanged?: (suspicion: Suspicion) => void): Quarantine {
		return new Quarantine(nodeId, onChanged);
	}

	readonly #nodeId: string;
	readonly #records = new LRUCache<string, SuspectRecord>({max: MAX_SUSPECTS});
	readonly #onChanged: ((suspicion: Suspicion) => void) | undefined;
	#crashCount = 0;

	private constructor(nodeId: string, onChanged: ((suspicion: Suspicion) => void) | undefined) {
		this.#nodeId = nodeId;
		this.#onChanged = onChanged;
	}

	standing(fingerprint: string, now: number): Standing {
		const record = this.#findUnexpired(fingerprint, now);
		if (record === undefined) {
			return Standing.Clear;
		}

		if (record.quarantinedUntil > now) {
			return Standing.Quarantined;
		}

		return record.crashes.size > 0 ? Standing.Suspect : Standing.Clear;
	}

	/** @returns Remaining quarantine in milliseconds. */
	remaining(fingerprint: string, now: number): number {
		return Math.max(0, (this.#findUnexpired(fingerprint, now)?.quarantinedUntil ?? 0) - now);
	}

	/** Records that an upstream lost all requests of this node at the same time. */
	noteLoss(upstreamId: string, fingerprints: readonly string[], now: number): Loss {
		const inFlight = new Set(fingerprints);
		const suspects = [...inFlight].filter(fingerprint => this.standing(fingerprint, now) !== Standing.Clear);
		const loss: Loss = {
			upstreamId, fingerprints: inFlight, soleSuspect: suspects.length === 1 ? suspects[0] : undefined, at: now,
		};
		this.#recordCrash(loss, fingerprints.length > 1 ? crashId.multipleRequests(upstreamId) : crashId.singleRequest(upstreamId), now);
		return loss;
	}

	/** Confirms a crash: the upstream refused a connection soon after the loss. */
	confirm(loss: Loss, now: number): void {
		this.#crashCount += 1;
		this.#recordCrash(loss, crashId.refused(loss.upstreamId, `${this.#nodeId}:${this.#crashCount}`), now);
	}

	/** Withdraws the suspicion of a loss: the upstream keeps losing other requests without refusing connections, so it is at fault. */
	withdraw(loss: Loss, now: number): void {
		const crashes = [crashId.singleRequest(loss.upstreamId), crashId.multipleRequests(loss.upstreamId)];
		for (const fingerprint of loss.fingerprints) {
			const record = this.#findUnexpired(fingerprint, now);
			if (record !== undefined && crashes.some(crash => record.crashes.has(crash))) {
				clear(record, crashes);
				this.#onChanged?.({...toSuspicion(fingerprint, record, now), crashes, isCleared: true});
			}
		}
	}

	/** Clears a request that completed, and so did not cause the crashes that it was involved in. */
	noteSuccess(fingerprint: string, now: number): void {
		const record = this.#findUnexpired(fingerprint, now);
		if (record !== undefined && record.crashes.size > 0) {
			clear(record, record.crashes);
			this.#onChanged?.(toSuspicion(fingerprint, record, now));
		}
	}

	/** @returns All unexpired suspicions, to be sent to other nodes. */
	export(now: number): Suspicion[] {
		const suspicions: Suspicion[] = [];
		for (const [fingerprint, record] of this.#records.entries()) {
			if (record.expiresAt > now) {
				suspicions.push(toSuspicion(fingerprint, record, now));
				if (record.crashes.size > 0 && record.cleared.size > 0) {
					suspicions.push({...toSuspicion(fingerprint, record, now), crashes: [...record.cleared], isCleared: true});
				}
			}
		}

		return suspicions;
	}

	/** @returns The suspicions that are quarantines. */
	exportQuarantined(now: number): Suspicion[] {
		const suspicions: Suspicion[] = [];
		for (const [fingerprint, record] of this.#records.entries()) {
			if (record.quarantinedUntil > now) {
				suspicions.push(toSuspicion(fingerprint, record, now));
			}
		}

		return suspicions;
	}

	/** Merges suspicions from another node. Idempotent. */
	import(suspicions: readonly Suspicion[], now: number): void {
		for (const suspicion of suspicions) {
			const record = this.#findUnexpired(suspicion.fingerprint, now) ?? this.#createRecord(suspicion.fingerprint, now);
			record.expiresAt = Math.max(record.expiresAt, now + Math.min(QUARANTINE_MS, suspicion.remainingMs));
			if (suspicion.isCleared) {
				clear(record, suspicion.crashes);
				continue;
			}

			for (const crash of suspicion.crashes) {
				if (!record.cleared.has(crash)) {
					record.crashes.add(crash);
				}
			}

			const until = countCrashes(record.crashes) >= CRASHES_TO_QUARANTINE ? now + QUARANTINE_MS : now + Math.min(QUARANTINE_MS, suspicion.quarantinedMs);
			if (until > now && record.crashes.size > 0 && record.quarantinedUntil <= now) {
				record.quarantinedUntil = until;
			}
		}
	}

	#recordCrash({fingerprints, soleSuspect}: Loss, crash: string, now: number): void {
		for (const fingerprint of fingerprints) {
			const record = this.#findUnexpired(fingerprint, now) ?? this.#createRecord(fingerprint, now);
			record.crashes.add(crash);
			record.expiresAt = now + QUARANTINE_MS;
			if (countCrashes(record.crashes) >= CRASHES_TO_QUARANTINE
				|| (fingerprint === soleSuspect && countCorroboratedCrashes(record.crashes) >= SOLE_SUSPECT_CRASHES_TO_QUARANTINE)) {
				record.quarantinedUntil = now + QUARANTINE_MS;
			}

			this.#onChanged?.(toSuspicion(fingerprint, record, now));
		}
	}

	#findUnexpired(fingerprint: string, now: number): SuspectRecord | undefined {
		const record = this.#records.get(fingerprint);
		return record !== undefined && record.expiresAt > now ? record : undefined;
	}

	#createRecord(fingerprint: string, now: number): SuspectRecord {
		const record = {
			crashes: new Set<string>(), cleared: new Set<string>(), quarantinedUntil: 0, expiresAt: now,
		};
		this.#records.set(fingerprint, record);
		return record;
	}
}

function clear(record: SuspectRecord, crashes: Iterable<string>): void {
	for (const crash of crashes) {
		record.cleared.add(crash);
		record.crashes.delete(crash);
	}

	if (countCrashes(record.crashes) < SOLE_SUSPECT_CRASHES_TO_QUARANTINE) {
		record.quarantinedUntil = 0;
	}
}

function toSuspicion(fingerprint: string, record: SuspectRecord, now: number): Suspicion {
	const isCleared = record.crashes.size === 0;
	return {
		fingerprint,
		crashes: [...(isCleared ? record.cleared : record.crashes)],
		isCleared,
		quarantinedMs: Math.max(0, record.quarantinedUntil - now),
		remainingMs: record.expiresAt - now,
	};
}
