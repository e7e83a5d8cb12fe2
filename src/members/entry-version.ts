/**
 * Entries as values: creation, order of versions, and fingerprints. Performs no I/O.
 */
import {create, toBinary} from '@bufbuild/protobuf';
import {EntrySchema, type Entry} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {hashBytes} from './hash.js';

/** What to store under a key. */
export type EntryInit = {
	readonly key: string;
	readonly generation: number;
	readonly version: number;
	/** 0 keeps the entry until it is replaced. */
	readonly lifetimeMs: number;
	readonly value: Entry['value'];
};

/** @returns An entry with its key, version, value and lifetime. */
export function createEntry(init: EntryInit): Entry {
	return create(EntrySchema, {
		key: init.key, generation: init.generation, version: init.version, remainingMs: init.lifetimeMs, value: init.value,
	});
}

/** @returns Above 0 where the first entry is of a later version, 0 for equal ones. */
export function compareVersions(a: Entry, b: Entry): number {
	return a.generation - b.generation || a.version - b.version;
}

/** Two values of one version can only come from concurrent owners; all nodes then choose the same one. */
export function isNewer(a: Entry, fingerprintA: number, b: Entry, fingerprintB: number): boolean {
	const order = compareVersions(a, b);
	return order > 0 || (order === 0 && fingerprintA > fingerprintB);
}

/** @returns A hash that is equal for equal key, version and value, whatever the remaining lifetime. */
export function fingerprintOf(entry: Entry): number {
	const remaining = entry.remainingMs;
	entry.remainingMs = 0;
	const hash = hashBytes(toBinary(EntrySchema, entry));
	entry.remainingMs = remaining;
	return hash;
}
