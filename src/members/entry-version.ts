/**
 * Creation, version order and fingerprints of gossip entries. Performs no I/O.
 */
import {create, toBinary} from '@bufbuild/protobuf';
import {EntrySchema, type Entry} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {hashBytes} from './hash.js';

/** Key, version, lifetime and value of a new entry. */
export type EntryInit = {
	readonly key: string;
	readonly generation: number;
	readonly version: number;
	/** 0 keeps the entry until it is replaced. */
	readonly lifetimeMs: number;
	readonly value: Entry['value'];
};

/** Creates the wire message of an entry. */
export function createEntry(init: EntryInit): Entry {
	return create(EntrySchema, {
		key: init.key, generation: init.generation, version: init.version, remainingMs: init.lifetimeMs, value: init.value,
	});
}

/** @returns A positive number if `a` has the later version, a negative one if `b` has, and 0 if the versions are equal. */
export function compareVersions(a: Entry, b: Entry): number {
	return a.generation - b.generation || a.version - b.version;
}

/**
 * Different values of one version can only come from concurrent owners. The fingerprint breaks the tie, so that all
 * nodes choose the same value.
 */
export function isNewer(a: Entry, fingerprintA: number, b: Entry, fingerprintB: number): boolean {
	const order = compareVersions(a, b);
	return order > 0 || (order === 0 && fingerprintA > fingerprintB);
}

/** @returns A hash of key, version and value that ignores the remaining lifetime. */
export function fingerprintOf(entry: Entry): number {
	const remaining = entry.remainingMs;
	entry.remainingMs = 0;
	const hash = hashBytes(toBinary(EntrySchema, entry));
	entry.remainingMs = remaining;
	return hash;
}
