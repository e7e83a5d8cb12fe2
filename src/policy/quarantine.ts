/**
 * Finds requests that crash upstreams: suspicion by fingerprint, probation, quarantine.
 */
import {LRUCache} from 'lru-cache';

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
	/** IDs of the crashes that it was part of, unique over all nodes. */
	readonly crashes: readonly string[];
	/** Whether a successful run disproved these crashes. */
	readonly isCleared: boolean;
	/** Remaining quarantine in ms; 0 for a suspect. */
	readonly quarantinedMs: number;
	/** Remaining lifetime of the suspicion in ms. */
	readonly remainingMs: number;
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

	/** An upstream lost all requests at once. */
	noteCrash(fingerprints: readonly string[], now: number): void {
		this.#crashCount += 1;
		const crash = `${this.#nodeId}:${this.#crashCount}`;
		const inFlight = new Set(fingerprints);
		const suspects = [...inFlight].filter(fingerprint => this.standing(fingerprint, now) !== Standing.Clear);
		for (const fingerprint of inFlight) {
			const isSoleSuspect = suspects.length === 1 && suspects[0] === fingerprint;
			this.#accuse(fingerprint, crash, isSoleSuspect, now);
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

			const until = record.crashes.size >= MAX_CRASHES ? now + QUARANTINE_MS : now + Math.min(QUARANTINE_MS, suspicion.quarantinedMs);
			if (until > now && record.crashes.size > 0 && record.quarantinedUntil <= now) {
				record.quarantinedUntil = until;
			}
		}
	}

	#accuse(fingerprint: string, crash: string, isSoleSuspect: boolean, now: number): void {
		const record = this.#fresh(fingerprint, now) ?? this.#add(fingerprint, now);
		record.crashes.add(crash);
		record.expiresAt = now + QUARANTINE_MS;
		const bound = isSoleSuspect ? SOLE_SUSPECT_CRASHES : MAX_CRASHES;
		if (record.crashes.size >= bound) {
			record.quarantinedUntil = now + QUARANTINE_MS;
		}

		this.#onChanged?.(toSuspicion(fingerprint, record, now));
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

	if (record.crashes.size === 0) {
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
