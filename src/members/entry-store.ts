/**
 * Stores the versioned entries that nodes exchange by gossip. Handles merging, expiry, reconciliation digests and the
 * number of retransmissions left for each entry.
 */
import {clone, create} from '@bufbuild/protobuf';
import {
	DigestSchema, EntrySchema, type Digest, type Entry,
} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {compareVersions, fingerprintOf, isNewer} from './entry-version.js';
import {hashText, mixHashes, xorHash} from './hash.js';

const BUCKET_COUNT = 64;
const MAX_DIGEST_BUCKETS = 16;
const MAX_DIGEST_KEYS = 512;
/** Limits a message to about 10 KB. */
const MAX_MESSAGE_ENTRIES = 64;
/**
 * Entries with less lifetime left are excluded from reconciliation: nodes expire an entry at slightly different times,
 * so they would keep sending it back and forth.
 */
const MIN_RECONCILED_LIFETIME_MS = 10_000;
/** How long expired versions are remembered, so that they are not merged again from a peer that expires them later. */
const EXPIRED_RETENTION_MS = 30_000;
const MAX_BUCKET_HASH_AGE_MS = 500;

type StoredEntry = {
	entry: Entry;
	keyHash: number;
	fingerprint: number;
	/** Monotonic time in ms; infinite for entries that are kept until they are replaced. */
	expiresAt: number;
	/** Number of further messages that include the entry without a request. */
	sendsLeft: number;
};

type ExpiredEntry = {entry: Entry; retainedUntil: number};

/** The entries known to one node. */
export class EntryStore {
	static create(): EntryStore {
		return new EntryStore();
	}

	readonly #stored = new Map<string, StoredEntry>();
	readonly #byHash = new Map<number, StoredEntry>();
	readonly #expired = new Map<string, ExpiredEntry>();
	readonly #pendingUpdates = new Set<StoredEntry>();
	#buckets: number[] = [];
	#bucketsComputedAt = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Instances come from `create`.
	}

	get size(): number {
		return this.#stored.size;
	}

	get(key: string): Entry | undefined {
		return this.#stored.get(key)?.entry;
	}

	/** Returns the newest version of a key, including one that expired recently. */
	newest(key: string): Entry | undefined {
		return this.#stored.get(key)?.entry ?? this.#expired.get(key)?.entry;
	}

	/** Returns the remaining lifetime in ms; infinite for entries that are kept until they are replaced. */
	remaining(key: string, now: number): number {
		return (this.#stored.get(key)?.expiresAt ?? now) - now;
	}

	* entries(): Generator<Entry> {
		for (const stored of this.#stored.values()) {
			yield stored.entry;
		}
	}

	/**
	 * Stores an entry if it is newer than the current version of its key.
	 *
	 * @param sendCount - Number of outgoing messages that include the entry without a request.
	 * @returns Whether the entry was stored.
	 */
	merge(entry: Entry, now: number, sendCount: number): boolean {
		const fingerprint = fingerprintOf(entry);
		const current = this.#stored.get(entry.key);
		if (current ? !isNewer(entry, fingerprint, current.entry, current.fingerprint) : this.#isExpired(entry)) {
			return false;
		}

		if (current) {
			this.#remove(current);
		}

		const stored: StoredEntry = {
			entry,
			keyHash: hashText(entry.key),
			fingerprint,
			expiresAt: entry.remainingMs === 0 ? Number.POSITIVE_INFINITY : now + entry.remainingMs,
			sendsLeft: sendCount,
		};
		this.#stored.set(entry.key, stored);
		this.#byHash.set(stored.keyHash, stored);
		if (sendCount > 0) {
			this.#pendingUpdates.add(stored);
		}

		this.#bucketsComputedAt = Number.NEGATIVE_INFINITY;
		return true;
	}

	/** Removes and returns the entries whose lifetime is over. */
	expire(now: number): readonly Entry[] {
		const newlyExpired: Entry[] = [];
		for (const stored of this.#stored.values()) {
			if (stored.expiresAt <= now) {
				this.#remove(stored);
				this.#expired.set(stored.entry.key, {entry: stored.entry, retainedUntil: now + EXPIRED_RETENTION_MS});
				newlyExpired.push(stored.entry);
			}
		}

		for (const [key, expired] of this.#expired) {
			if (expired.retainedUntil <= now) {
				this.#expired.delete(key);
			}
		}

		return newlyExpired;
	}

	/** Returns recently changed entries for the next message and decrements their send counts. */
	takePendingUpdates(now: number): Entry[] {
		const updates: Entry[] = [];
		for (const stored of this.#pendingUpdates) {
			if (updates.length >= MAX_MESSAGE_ENTRIES) {
				break;
			}

			stored.sendsLeft -= 1;
			if (stored.sendsLeft <= 0) {
				this.#pendingUpdates.delete(stored);
			}

			if (stored.expiresAt > now) {
				updates.push(withRemainingLifetime(stored, now));
			}
		}

		return updates;
	}

	/** Returns the unexpired entries of the given keys with their remaining lifetimes. */
	entriesForKeys(keys: Iterable<string>, now: number): Entry[] {
		return [...keys].flatMap(key => {
			const stored = this.#stored.get(key);
			return stored && stored.expiresAt > now ? [withRemainingLifetime(stored, now)] : [];
		}).slice(0, MAX_MESSAGE_ENTRIES);
	}

	/** Returns a hash over all entries that take part in reconciliation. */
	root(now: number): number {
		let root = 0;
		for (const [index, bucket] of this.bucketHashes(now).entries()) {
			root = mixHashes(xorHash(root, bucket), index);
		}

		return root;
	}

	/** Returns one hash per bucket of keys. While no entry changes, the hashes are cached for `MAX_BUCKET_HASH_AGE_MS`. */
	bucketHashes(now: number): readonly number[] {
		if (now - this.#bucketsComputedAt > MAX_BUCKET_HASH_AGE_MS) {
			this.#buckets = Array.from({length: BUCKET_COUNT}, () => 0);
			for (const stored of this.#stored.values()) {
				if (isReconciled(stored, now)) {
					const bucket = stored.keyHash % BUCKET_COUNT;
					this.#buckets[bucket] = xorHash(this.#buckets[bucket]!, stored.fingerprint);
				}
			}

			this.#bucketsComputedAt = now;
		}

		return this.#buckets;
	}

	/**
	 * Lists the entries of the buckets that differ from a peer's.
	 *
	 * @param peerHashes - The peer's `bucketHashes`.
	 * @param offset - First bucket to compare; it varies because a digest covers a limited number of buckets.
	 * @returns The digest, or `undefined` when nothing differs.
	 */
	digest(peerHashes: readonly number[], now: number, offset: number): Digest | undefined {
		const ownHashes = this.bucketHashes(now);
		const differing = ownHashes.flatMap((_hash, index) => {
			const bucket = (index + offset) % BUCKET_COUNT;
			return ownHashes[bucket] === peerHashes[bucket] ? [] : [bucket];
		}).slice(0, MAX_DIGEST_BUCKETS);
		if (differing.length === 0 || peerHashes.length !== BUCKET_COUNT) {
			return undefined;
		}

		const digest = create(DigestSchema, {buckets: differing});
		for (const stored of this.#storedInBuckets(differing, now)) {
			if (digest.keys.length < MAX_DIGEST_KEYS) {
				digest.keys.push(stored.keyHash);
				digest.fingerprints.push(stored.fingerprint);
			}
		}

		return digest;
	}

	/**
	 * Compares a peer's digest with the stored entries.
	 *
	 * @returns Entries that the peer lacks or has in another version, and hashes of the keys to request from it.
	 */
	compare(digest: Digest, now: number): {entries: Entry[]; wanted: number[]} {
		const peerFingerprints = new Map(digest.keys.map((key, index) => [key, digest.fingerprints[index]]));
		const entries: Entry[] = [];
		for (const stored of this.#storedInBuckets(digest.buckets, now)) {
			if (peerFingerprints.get(stored.keyHash) !== stored.fingerprint && entries.length < MAX_MESSAGE_ENTRIES) {
				entries.push(withRemainingLifetime(stored, now));
			}
		}

		const wanted = [...peerFingerprints].filter(([key, fingerprint]) => this.#byHash.get(key)?.fingerprint !== fingerprint).map(([key]) => key);
		return {entries, wanted: wanted.slice(0, MAX_MESSAGE_ENTRIES)};
	}

	/** Returns the reconciled entries whose keys have the given hashes. */
	entriesForKeyHashes(hashes: readonly number[], now: number): Entry[] {
		return hashes.slice(0, MAX_MESSAGE_ENTRIES).flatMap(hash => {
			const stored = this.#byHash.get(hash);
			return stored && isReconciled(stored, now) ? [withRemainingLifetime(stored, now)] : [];
		});
	}

	* #storedInBuckets(buckets: readonly number[], now: number): Generator<StoredEntry> {
		const bucketSet = new Set(buckets);
		for (const stored of this.#stored.values()) {
			if (bucketSet.has(stored.keyHash % BUCKET_COUNT) && isReconciled(stored, now)) {
				yield stored;
			}
		}
	}

	#isExpired(entry: Entry): boolean {
		const expired = this.#expired.get(entry.key);
		return expired !== undefined && compareVersions(entry, expired.entry) <= 0;
	}

	#remove(stored: StoredEntry): void {
		this.#stored.delete(stored.entry.key);
		if (this.#byHash.get(stored.keyHash) === stored) {
			this.#byHash.delete(stored.keyHash);
		}

		this.#pendingUpdates.delete(stored);
		this.#bucketsComputedAt = Number.NEGATIVE_INFINITY;
	}
}

function isReconciled(stored: StoredEntry, now: number): boolean {
	return stored.expiresAt - now > MIN_RECONCILED_LIFETIME_MS;
}

function withRemainingLifetime(stored: StoredEntry, now: number): Entry {
	if (stored.expiresAt === Number.POSITIVE_INFINITY) {
		return stored.entry;
	}

	const entry = clone(EntrySchema, stored.entry);
	entry.remainingMs = Math.max(1, Math.ceil(stored.expiresAt - now));
	return entry;
}
