/**
 * Detects what crashes upstreams: tracks crashes by the features that requests share, such as their fingerprint or a part of
 * their prompt, and isolates or quarantines suspects. Crashes are known by the losses that one node sees (`noteLoss`), or by
 * the start of the upstream that ended (`noteCrash`); the file is long as both change the same records.
 */
import {LRUCache} from 'lru-cache';
import {countCrashes, countCorroboratedCrashes, crashId} from './crash-evidence.js';
import {CrashLog} from './crash-log.js';
import {
	clear, commonFeatures, createRecord, type CrashedRequest, type SuspectRecord, type Suspicion,
} from './suspicion.js';

/** Lifetime of suspicions, and of quarantines unless another is set, in ms. */
export const QUARANTINE_MS = 600_000;
/** Time in which the trial of a feature after its quarantine must begin to be answered, in ms; until then no other request tries it. */
const TRIAL_MS = 60_000;
const MAX_SUSPECTS = 10_000;
const CRASHES_TO_QUARANTINE = 3;
const SOLE_SUSPECT_CRASHES_TO_QUARANTINE = 2;

/** Restriction that applies to requests with a given feature. */
export const Standing = {
	Clear: 'clear',
	/** At most one suspect runs at an upstream at a time. */
	Suspect: 'suspect',
	Quarantined: 'quarantined',
} as const;

export type Standing = (typeof Standing)[keyof typeof Standing];

/** Requests that were lost at an upstream at the same time. */
export type Loss = {
	readonly upstreamId: string;
	readonly fingerprints: ReadonlySet<string>;
	/** Fingerprint of the only request that was already a suspect; `undefined` if there were none or several. */
	readonly soleSuspect: string | undefined;
	readonly at: number;
};

/** Options of a quarantine. */
export type QuarantineOptions = {
	/** How long a feature stays quarantined, in ms. */
	readonly quarantineMs?: number;
	/** Called when a feature is quarantined by this node or another. */
	readonly onQuarantined?: (suspicion: Suspicion) => void;
};

/** Suspicions known to one node. Times are milliseconds of its monotonic clock. */
export class Quarantine {
	/**
	 * @param nodeId - ID of the node including its incarnation, which makes crash IDs unique.
	 * @param onChanged - Called with each local change that other nodes must learn of.
	 */
	static create(nodeId: string, onChanged?: (suspicion: Suspicion) => void, options: QuarantineOptions = {}): Quarantine {
		return new Quarantine(nodeId, onChanged, options);
	}

	readonly #nodeId: string;
	readonly #quarantineMs: number;
	readonly #records = new LRUCache<string, SuspectRecord>({max: MAX_SUSPECTS});
	readonly #log = CrashLog.create();
	readonly #onChanged: ((suspicion: Suspicion) => void) | undefined;
	readonly #onQuarantined: ((suspicion: Suspicion) => void) | undefined;
	#crashCount = 0;

	private constructor(nodeId: string, onChanged: ((suspicion: Suspicion) => void) | undefined, {quarantineMs = QUARANTINE_MS, onQuarantined}: QuarantineOptions) {
		this.#nodeId = nodeId;
		this.#onChanged = onChanged;
		this.#quarantineMs = quarantineMs;
		this.#onQuarantined = onQuarantined;
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

	/**
	 * Finds the verdict that holds for a request. A verdict on one of several features that crashed requests had in common
	 * holds only for requests with all of them, as any of them may be to blame.
	 *
	 * @returns A quarantined feature of the request; `undefined` if it may run.
	 */
	findQuarantined(features: readonly string[], now: number): string | undefined {
		return this.#findHeldBack(features, now, ({quarantinedUntil}) => quarantinedUntil > now);
	}

	/** @returns A feature of the request that is quarantined or tried by another request; `undefined` if it may be admitted. */
	findRefusal(features: readonly string[], now: number): string | undefined {
		return this.#findHeldBack(features, now, ({quarantinedUntil, trialUntil}) => Math.max(quarantinedUntil, trialUntil) > now);
	}

	/** Begins the trial of features whose quarantine has ended, with a request that was admitted. */
	beginTrial(features: readonly string[], now: number): void {
		for (const feature of features) {
			const record = this.#findUnexpired(feature, now);
			if (record?.wasQuarantined === true && record.quarantinedUntil <= now) {
				record.trialUntil = now + TRIAL_MS;
			}
		}
	}

	/**
	 * Records a request that an upstream may have begun to run when it crashed. Further crashes of a quarantined feature renew
	 * its quarantine and accuse no other feature.
	 */
	noteCrash({crash, pool, features, seenBy}: CrashedRequest, now: number): void {
		const guilty = this.findQuarantined(features, now);
		if (guilty === undefined && this.#log.isExplained(crash)) {
			return;
		}

		const blamed = guilty === undefined ? features : this.#suspectedWith(guilty, this.#records.get(guilty)!);
		for (const feature of blamed) {
			this.#log.add(crash, {pool, feature, at: now});
			const record = this.#findUnexpired(feature, now) ?? this.#createRecord(feature, now);
			if (!record.cleared.has(crash)) {
				record.companions = commonFeatures(record, features);
				record.crashes.add(crash);
				record.seenBy.add(seenBy);
				record.expiresAt = Math.max(record.expiresAt, now + QUARANTINE_MS);
			}
		}

		if (guilty === undefined) {
			this.#judge(features, now);
		} else {
			this.#renew(guilty, now);
		}

		for (const feature of blamed) {
			const record = this.#findUnexpired(feature, now);
			if (record !== undefined && record.crashes.size > 0) {
				this.#onChanged?.(this.#toSuspicion(feature, record, now));
			}
		}
	}

	/**
	 * Records that an upstream answered a request as a whole, which clears all its features.
	 *
	 * @param crash - ID that a crash of this start of the upstream has.
	 */
	noteAnswered({crash, pool, features}: Omit<CrashedRequest, 'seenBy'>, now: number): void {
		this.#log.noteAnswered(pool, features);
		for (const feature of features) {
			this.noteSuccess(feature, now);
		}

		this.noteAlive(crash, now);
	}

	/** Records that an upstream answers: a crash of this start of it did not happen, and is withdrawn. */
	noteAlive(crash: string, now: number): void {
		for (const feature of this.#log.refute(crash, now)) {
			const record = this.#findUnexpired(feature, now);
			if (record?.crashes.has(crash) === true) {
				clear(record, [crash]);
				this.#onChanged?.({...this.#toSuspicion(feature, record, now), crashes: [crash], isCleared: true});
			}
		}
	}

	/**
	 * Lifts the suspicion and the quarantine of a feature.
	 *
	 * @returns Whether the feature was known.
	 */
	lift(feature: string, now: number): boolean {
		const record = this.#findUnexpired(feature, now);
		this.noteSuccess(feature, now);
		return record !== undefined;
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
				this.#onChanged?.({...this.#toSuspicion(fingerprint, record, now), crashes, isCleared: true});
			}
		}
	}

	/** Clears a feature of a request that completed, and so did not cause the crashes that it was involved in. */
	noteSuccess(feature: string, now: number): void {
		const record = this.#findUnexpired(feature, now);
		if (record !== undefined && record.crashes.size > 0) {
			clear(record, record.crashes);
			this.#onChanged?.(this.#toSuspicion(feature, record, now));
		}
	}

	/** @returns All unexpired suspicions, to be sent to other nodes. */
	export(now: number): Suspicion[] {
		const suspicions: Suspicion[] = [];
		for (const [fingerprint, record] of this.#records.entries()) {
			if (record.expiresAt > now) {
				suspicions.push(this.#toSuspicion(fingerprint, record, now));
				if (record.crashes.size > 0 && record.cleared.size > 0) {
					suspicions.push({...this.#toSuspicion(fingerprint, record, now), crashes: [...record.cleared], isCleared: true});
				}
			}
		}

		return suspicions;
	}

	/** @returns The suspicions that are quarantines. */
	exportQuarantined(now: number): Suspicion[] {
		return this.export(now).filter(({isCleared, quarantinedMs}) => !isCleared && quarantinedMs > 0);
	}

	/** Merges suspicions from another node. Idempotent. */
	import(suspicions: readonly Suspicion[], now: number): void {
		for (const suspicion of suspicions) {
			const {feature, isCleared, crashes, quarantinedMs} = suspicion;
			const record = this.#findUnexpired(feature, now) ?? this.#createRecord(feature, now);
			record.expiresAt = Math.max(record.expiresAt, now + Math.min(this.#maxLifetimeMs, suspicion.remainingMs));
			if (isCleared) {
				clear(record, crashes);
				continue;
			}

			this.#importCrashes(suspicion, record, now);
			const isProven = suspicion.companions === undefined && countCrashes(record.crashes) >= CRASHES_TO_QUARANTINE;
			const until = isProven ? now + this.#quarantineMs : now + Math.min(this.#quarantineMs, quarantinedMs);
			if (until > now && record.crashes.size > 0 && record.quarantinedUntil <= now) {
				this.#quarantine(feature, record, until, now);
			}
		}

		this.#judge(suspicions.filter(({companions}) => companions !== undefined).map(({feature}) => feature), now);
	}

	#importCrashes({feature, crashes, agesMs, pool, companions, seenBy}: Suspicion, record: SuspectRecord, now: number): void {
		const added = crashes.filter(crash => !record.cleared.has(crash) && !record.crashes.has(crash));
		if (companions !== undefined && added.length > 0) {
			record.companions = commonFeatures(record, companions);
		}

		for (const crash of added) {
			record.crashes.add(crash);
			if (pool !== undefined) {
				this.#log.add(crash, {pool, feature, at: now - (agesMs?.[crashes.indexOf(crash)] ?? 0)});
			}
		}

		for (const node of seenBy ?? []) {
			record.seenBy.add(node);
		}
	}

	/** Quarantines those of the features that are guilty. Crashes that a verdict explains count no longer against other features. */
	#judge(features: readonly string[], now: number): void {
		for (const feature of features) {
			const record = this.#findUnexpired(feature, now);
			if (record === undefined || record.quarantinedUntil > now || record.crashes.size === 0) {
				continue;
			}

			if (record.wasQuarantined || this.#log.isGuilty(feature, {crashes: record.crashes, companions: record.companions ?? new Set([feature]), suspects: this.#recordOf})) {
				this.#quarantine(feature, record, now + this.#quarantineMs, now);
			}
		}
	}

	readonly #recordOf = (feature: string): SuspectRecord | undefined => this.#records.peek(feature);

	#quarantine(feature: string, record: SuspectRecord, until: number, now: number): void {
		record.quarantinedUntil = until;
		record.wasQuarantined = true;
		record.expiresAt = Math.max(record.expiresAt, until + QUARANTINE_MS);
		this.#explain(feature, record);
		this.#onQuarantined?.(this.#toSuspicion(feature, record, now));
	}

	/** Begins a quarantine anew after a further crash, such as that of its trial. */
	#renew(feature: string, now: number): void {
		const record = this.#records.get(feature)!;
		record.quarantinedUntil = Math.max(record.quarantinedUntil, now + this.#quarantineMs);
		record.expiresAt = record.quarantinedUntil + QUARANTINE_MS;
		this.#explain(feature, record);
	}

	/** Clears the other features that were suspected in the crashes of a quarantined one, unless they may be to blame in its stead. */
	#explain(feature: string, record: SuspectRecord): void {
		for (const other of this.#log.explain(record.crashes)) {
			const otherRecord = this.#records.peek(other);
			if (other !== feature && otherRecord !== undefined && !(record.companions?.has(other) ?? false)) {
				clear(otherRecord, [...record.crashes].filter(crash => otherRecord.crashes.has(crash)));
			}
		}
	}

	#findHeldBack(features: readonly string[], now: number, isHeldBack: (record: SuspectRecord) => boolean): string | undefined {
		return features.find(feature => {
			const record = this.#findUnexpired(feature, now);
			return record !== undefined && isHeldBack(record) && this.#suspectedWith(feature, record).every(companion => features.includes(companion));
		});
	}

	/** @returns The feature and those of its companions that are still suspected, any of which may be the cause. */
	#suspectedWith(feature: string, {companions}: SuspectRecord): string[] {
		return [feature, ...[...companions ?? []].filter(other => other !== feature && (this.#records.peek(other)?.crashes.size ?? 0) > 0)];
	}

	get #maxLifetimeMs(): number {
		return this.#quarantineMs + QUARANTINE_MS;
	}

	#toSuspicion(feature: string, record: SuspectRecord, now: number): Suspicion {
		const isCleared = record.crashes.size === 0;
		const crashes = [...(isCleared ? record.cleared : record.crashes)];
		const ages = record.companions === undefined
			? {}
			: {
				agesMs: crashes.map(crash => now - this.#log.at(crash, now)), pool: this.#log.poolOf(crashes[0]) ?? '', companions: [...record.companions], seenBy: [...record.seenBy],
			};
		return {
			feature, crashes, ...ages, isCleared, quarantinedMs: Math.max(0, record.quarantinedUntil - now), remainingMs: record.expiresAt - now,
		};
	}

	#recordCrash({fingerprints, soleSuspect}: Loss, crash: string, now: number): void {
		for (const fingerprint of fingerprints) {
			const record = this.#findUnexpired(fingerprint, now) ?? this.#createRecord(fingerprint, now);
			record.crashes.add(crash);
			record.expiresAt = now + QUARANTINE_MS;
			if (countCrashes(record.crashes) >= CRASHES_TO_QUARANTINE
				|| (fingerprint === soleSuspect && countCorroboratedCrashes(record.crashes) >= SOLE_SUSPECT_CRASHES_TO_QUARANTINE)) {
				record.quarantinedUntil = now + this.#quarantineMs;
			}

			this.#onChanged?.(this.#toSuspicion(fingerprint, record, now));
		}
	}

	#findUnexpired(fingerprint: string, now: number): SuspectRecord | undefined {
		const record = this.#records.get(fingerprint);
		return record !== undefined && record.expiresAt > now ? record : undefined;
	}

	#createRecord(fingerprint: string, now: number): SuspectRecord {
		const record = createRecord(now);
		this.#records.set(fingerprint, record);
		return record;
	}
}
