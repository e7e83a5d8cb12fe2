/**
 * Finds requests that crash upstreams: suspicion by fingerprint, probation, quarantine.
 */
import {LRUCache} from 'lru-cache';
import {countCrashes, countProvenCrashes, crashId} from './crash-evidence.js';

/** How long suspicions and quarantines last. */
export const QUARANTINE_MS = 600_000;
const MAX_SUSPECTS = 10_000;
const MAX_CRASHES = 3;
const SOLE_SUSPECT_CRASHES = 2;

/** How a request may run. */
export const Standing = {
	Clear: 'clear',
	/** At most one such request runs on an upstream at a time. */
	Suspect: 'suspect',
	Quarantined: 'quarantined',
} as const;

export type Standing = (typeof Standing)[keyof typeof Standing];

/** A suspicion as nodes exchange it; it carries durations, as clocks of nodes differ. */
export type Suspicion = {
	readonly fingerprint: string;
	/** IDs of the crashes that it was part of, as `crash-evidence.ts` makes them; equal on all nodes. */
	readonly crashes: readonly string[];
	/** Whether a successful run disproved these crashes. */
	readonly isCleared: boolean;
	/** Remaining quarantine in ms; 0 for a suspect. */
	readonly quarantinedMs: number;
	/** Remaining lifetime of the suspicion in ms. */
	readonly remainingMs: number;
};

/** Requests that an upstream lost at once. */
export type Loss = {
	readonly upstreamId: string;
	readonly fingerprints: ReadonlySet<string>;
	/** The only one of them that was a suspect before. */
	readonly soleSuspect: string | undefined;
	readonly at: number;
};

type SuspectRecord = {
	crashes: Set<string>;
	cleared: Set<string>;
	quarantinedUntil: number;
	expiresAt: number;
};

/** Suspicions of one node. Times in ms of its monotonic clock. */
export class Quarantine {
	/**
	 * @param nodeId - Makes the IDs of crashes unique; includes the incarnation of the node.
	 * @param onChanged - Called when this node learns something itself that other nodes should know.
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
		const record = this.#fresh(fingerprint, now);
		if (record === undefined) {
			return Standing.Clear;
		}

		if (record.quarantinedUntil > now) {
			return Standing.Quarantined;
		}

		return record.crashes.size > 0 ? Standing.Suspect : Standing.Clear;
	}

	/** @returns Remaining quarantine in ms. */
	remaining(fingerprint: string, now: number): number {
		return Math.max(0, (this.#fresh(fingerprint, now)?.quarantinedUntil ?? 0) - now);
	}

	/** An upstream lost all its requests of this node at once. */
	noteLoss(upstreamId: string, fingerprints: readonly string[], now: number): Loss {
		const inFlight = new Set(fingerprints);
		const suspects = [...inFlight].filter(fingerprint => this.standing(fingerprint, now) !== Standing.Clear);
		const loss: Loss = {
			upstreamId, fingerprints: inFlight, soleSuspect: suspects.length === 1 ? suspects[0] : undefined, at: now,
		};
		this.#accuse(loss, fingerprints.length > 1 ? crashId.several(upstreamId) : crashId.alone(upstreamId), now);
		return loss;
	}

	/** The upstream refused a connection soon after the loss, so that it crashed. */
	confirm(loss: Loss, now: number): void {
		this.#crashCount += 1;
		this.#accuse(loss, crashId.refused(loss.upstreamId, `${this.#nodeId}:${this.#crashCount}`), now);
	}

	/** The upstream goes on losing other requests without refusing connections, so that it is at fault itself. */
	withdraw(loss: Loss, now: number): void {
		const crashes = [crashId.alone(loss.upstreamId), crashId.several(loss.upstreamId)];
		for (const fingerprint of loss.fingerprints) {
			const record = this.#fresh(fingerprint, now);
			if (record !== undefined && crashes.some(crash => record.crashes.has(crash))) {
				clear(record, crashes);
				this.#onChanged?.({...toSuspicion(fingerprint, record, now), crashes, isCleared: true});
			}
		}
	}

	/** The request ran to its end, so that it did not cause the crashes that it was part of. */
	noteSuccess(fingerprint: string, now: number): void {
		const record = this.#fresh(fingerprint, now);
		if (record !== undefined && record.crashes.size > 0) {
			clear(record, record.crashes);
			this.#onChanged?.(toSuspicion(fingerprint, record, now));
		}
	}

	/** @returns What other nodes should know. */
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

	/** Takes over what another node knows; receiving the same suspicion again changes nothing. */
	import(suspicions: readonly Suspicion[], now: number): void {
		for (const suspicion of suspicions) {
			const record = this.#fresh(suspicion.fingerprint, now) ?? this.#add(suspicion.fingerprint, now);
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

			const until = countCrashes(record.crashes) >= MAX_CRASHES ? now + QUARANTINE_MS : now + Math.min(QUARANTINE_MS, suspicion.quarantinedMs);
			if (until > now && record.crashes.size > 0 && record.quarantinedUntil <= now) {
				record.quarantinedUntil = until;
			}
		}
	}

	#accuse({fingerprints, soleSuspect}: Loss, crash: string, now: number): void {
		for (const fingerprint of fingerprints) {
			const record = this.#fresh(fingerprint, now) ?? this.#add(fingerprint, now);
			record.crashes.add(crash);
			record.expiresAt = now + QUARANTINE_MS;
			if (countCrashes(record.crashes) >= MAX_CRASHES
				|| (fingerprint === soleSuspect && countProvenCrashes(record.crashes) >= SOLE_SUSPECT_CRASHES)) {
				record.quarantinedUntil = now + QUARANTINE_MS;
			}

			this.#onChanged?.(toSuspicion(fingerprint, record, now));
		}
	}

	#fresh(fingerprint: string, now: number): SuspectRecord | undefined {
		const record = this.#records.get(fingerprint);
		return record !== undefined && record.expiresAt > now ? record : undefined;
	}

	#add(fingerprint: string, now: number): SuspectRecord {
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

	if (countCrashes(record.crashes) < SOLE_SUSPECT_CRASHES) {
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
