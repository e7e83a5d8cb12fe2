/**
 * The versioned entries that nodes exchange by gossip: merging, lifetimes, digests, and how often each is still sent.
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
/** Bounds a message to about 10 KB. */
const MAX_MESSAGE_ENTRIES = 64;
/**
 * Entries closer to their end are not reconciled: nodes let them end at slightly different times, and would send them
 * back and forth.
 */
const MIN_RECONCILED_MS = 10_000;
/** An entry that ended is not taken up again from a peer that lets it end a little later. */
const SPENT_MS = 30_000;
const HASH_MAX_AGE_MS = 500;

type Held = {
	entry: Entry;
	keyHash: number;
	fingerprint: number;
	/** Monotonic ms; infinite for entries that are kept until they are replaced. */
	expiresAt: number;
	/** How many more messages carry it unasked. */
	sendsLeft: number;
};

type Spent = {entry: Entry; until: number};

/** All entries that a node knows. */
export class EntryStore {
	static create(): EntryStore {
		return new EntryStore();
	}

	readonly #held = new Map<string, Held>();
	readonly #byHash = new Map<number, Held>();
	readonly #spent = new Map<string, Spent>();
	readonly #rumours = new Set<Held>();
	#buckets: number[] = [];
	#hashedAt = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Empty.
	}

	get size(): number {
		return this.#held.size;
	}

	get(key: string): Entry | undefined {
		return this.#held.get(key)?.entry;
	}

	/** The newest version ever seen of a key, also when it ended a short time ago. */
	newest(key: string): Entry | undefined {
		return this.#held.get(key)?.entry ?? this.#spent.get(key)?.entry;
	}

	/** Remaining lifetime in ms; infinite for entries that are kept until they are replaced. */
	remaining(key: string, now: number): number {
		return (this.#held.get(key)?.expiresAt ?? now) - now;
	}

	* entries(): Generator<Entry> {
		for (const held of this.#held.values()) {
			yield held.entry;
		}
	}

	/**
	 * Takes an entry if it is newer than what is known.
	 *
	 * @param sends - How many messages carry it on unasked.
	 * @returns Whether it was taken.
	 */
	merge(entry: Entry, now: number, sends: number): boolean {
		const fingerprint = fingerprintOf(entry);
		const known = this.#held.get(entry.key);
		if (known ? !isNewer(entry, fingerprint, known.entry, known.fingerprint) : this.#isSpent(entry)) {
			return false;
		}

		if (known) {
			this.#remove(known);
		}

		const held: Held = {
			entry,
			keyHash: hashText(entry.key),
			fingerprint,
			expiresAt: entry.remainingMs === 0 ? Number.POSITIVE_INFINITY : now + entry.remainingMs,
			sendsLeft: sends,
		};
		this.#held.set(entry.key, held);
		this.#byHash.set(held.keyHash, held);
		if (sends > 0) {
			this.#rumours.add(held);
		}

		this.#hashedAt = Number.NEGATIVE_INFINITY;
		return true;
	}

	/** Ends entries whose lifetime is over. */
	expire(now: number): readonly Entry[] {
		const ended: Entry[] = [];
		for (const held of this.#held.values()) {
			if (held.expiresAt <= now) {
				this.#remove(held);
				this.#spent.set(held.entry.key, {entry: held.entry, until: now + SPENT_MS});
				ended.push(held.entry);
			}
		}

		for (const [key, spent] of this.#spent) {
			if (spent.until <= now) {
				this.#spent.delete(key);
			}
		}

		return ended;
	}

	/** Takes the new entries that the next message carries. */
	takeRumours(now: number): Entry[] {
		const taken: Entry[] = [];
		for (const held of this.#rumours) {
			if (taken.length >= MAX_MESSAGE_ENTRIES) {
				break;
			}

			held.sendsLeft -= 1;
			if (held.sendsLeft <= 0) {
				this.#rumours.delete(held);
			}

			if (held.expiresAt > now) {
				taken.push(toSend(held, now));
			}
		}

		return taken;
	}

	/** The entries of some keys as they are sent now. */
	toSend(keys: Iterable<string>, now: number): Entry[] {
		return [...keys].flatMap(key => {
			const held = this.#held.get(key);
			return held && held.expiresAt > now ? [toSend(held, now)] : [];
		}).slice(0, MAX_MESSAGE_ENTRIES);
	}

	/** Hash over all reconciled entries. */
	root(now: number): number {
		let root = 0;
		for (const [index, bucket] of this.bucketHashes(now).entries()) {
			root = mixHashes(xorHash(root, bucket), index);
		}

		return root;
	}

	/** One hash for each bucket of keys. */
	bucketHashes(now: number): readonly number[] {
		if (now - this.#hashedAt > HASH_MAX_AGE_MS) {
			this.#buckets = Array.from({length: BUCKET_COUNT}, () => 0);
			for (const held of this.#held.values()) {
				if (isReconciled(held, now)) {
					const bucket = held.keyHash % BUCKET_COUNT;
					this.#buckets[bucket] = xorHash(this.#buckets[bucket]!, held.fingerprint);
				}
			}

			this.#hashedAt = now;
		}

		return this.#buckets;
	}

	/**
	 * Lists what is known in the buckets that differ from a peer's.
	 *
	 * @param theirs - The peer's `bucketHashes`.
	 * @param offset - Where to start, since a digest covers a bounded number of buckets.
	 * @returns The digest, or `undefined` when nothing differs.
	 */
	digest(theirs: readonly number[], now: number, offset: number): Digest | undefined {
		const mine = this.bucketHashes(now);
		const differing = mine.flatMap((_hash, index) => {
			const bucket = (index + offset) % BUCKET_COUNT;
			return mine[bucket] === theirs[bucket] ? [] : [bucket];
		}).slice(0, MAX_DIGEST_BUCKETS);
		if (differing.length === 0 || theirs.length !== BUCKET_COUNT) {
			return undefined;
		}

		const digest = create(DigestSchema, {buckets: differing});
		for (const held of this.#inBuckets(differing, now)) {
			if (digest.keys.length < MAX_DIGEST_KEYS) {
				digest.keys.push(held.keyHash);
				digest.fingerprints.push(held.fingerprint);
			}
		}

		return digest;
	}

	/**
	 * Compares a peer's digest.
	 *
	 * @returns Entries that the peer lacks or holds in another version, and hashes of keys to ask for.
	 */
	compare(digest: Digest, now: number): {entries: Entry[]; wanted: number[]} {
		const theirs = new Map(digest.keys.map((key, index) => [key, digest.fingerprints[index]]));
		const entries: Entry[] = [];
		for (const held of this.#inBuckets(digest.buckets, now)) {
			if (theirs.get(held.keyHash) !== held.fingerprint && entries.length < MAX_MESSAGE_ENTRIES) {
				entries.push(toSend(held, now));
			}
		}

		const wanted = [...theirs].filter(([key, fingerprint]) => this.#byHash.get(key)?.fingerprint !== fingerprint).map(([key]) => key);
		return {entries, wanted: wanted.slice(0, MAX_MESSAGE_ENTRIES)};
	}

	/** The entries with some hashes of keys. */
	ofHashes(hashes: readonly number[], now: number): Entry[] {
		return hashes.slice(0, MAX_MESSAGE_ENTRIES).flatMap(hash => {
			const held = this.#byHash.get(hash);
			return held && isReconciled(held, now) ? [toSend(held, now)] : [];
		});
	}

	* #inBuckets(buckets: readonly number[], now: number): Generator<Held> {
		const set = new Set(buckets);
		for (const held of this.#held.values()) {
			if (set.has(held.keyHash % BUCKET_COUNT) && isReconciled(held, now)) {
				yield held;
			}
		}
	}

	#isSpent(entry: Entry): boolean {
		const spent = this.#spent.get(entry.key);
		return spent !== undefined && compareVersions(entry, spent.entry) <= 0;
	}

	#remove(held: Held): void {
		this.#held.delete(held.entry.key);
		if (this.#byHash.get(held.keyHash) === held) {
			this.#byHash.delete(held.keyHash);
		}

		this.#rumours.delete(held);
		this.#hashedAt = Number.NEGATIVE_INFINITY;
	}
}

function isReconciled(held: Held, now: number): boolean {
	return held.expiresAt - now > MIN_RECONCILED_MS;
}

function toSend(held: Held, now: number): Entry {
	if (held.expiresAt === Number.POSITIVE_INFINITY) {
		return held.entry;
	}

	const entry = clone(EntrySchema, held.entry);
	entry.remainingMs = Math.max(1, Math.ceil(held.expiresAt - now));
	return entry;
}
