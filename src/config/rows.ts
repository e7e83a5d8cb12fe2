/**
 * Keys and encodings of the settings tree's rows in the platform's table.
 *
 * Heads and region freshness rows share a prefix, so that one list call reads both. Bodies are stored separately from the
 * heads: every node lists the heads every 4 s, and inline bodies would exceed its control traffic budget of 16 KB/s.
 */
import {z} from 'zod';
import {parseJson} from '../base/parse-json.js';
import {type Row} from '../store/table.js';

/** Prefix of all rows that nodes poll. */
export const CURRENT_PREFIX = 'config/current/';
const HEAD_PREFIX = `${CURRENT_PREFIX}head/`;
const REGION_PREFIX = `${CURRENT_PREFIX}region/`;
/** Keys contain this number minus the version, so that a list returns the newest version first. */
const VERSION_KEY_BASE = 10 ** 12;

const headSchema = z.object({
	version: z.int().min(1), digest: z.string(), bytes: z.int(),
});

const versionSchema = headSchema.extend({
	fromVersion: z.int().min(0),
	author: z.string(),
	/** Wall-clock time in ms since the Unix epoch; informational only. */
	at: z.number(),
	/** Absent if the body is in the object store. */
	body: z.string().optional(),
});

/** The newest accepted version of a subtree. */
export type Head = z.infer<typeof headSchema> & {readonly team: string};

/** One accepted version of a subtree, as stored in its history row. */
export type VersionRecord = z.infer<typeof versionSchema> & {readonly team: string};

/** A region's freshness row; each write increases its version. */
export type RegionRow = {
	readonly region: string;
	readonly version: number;
};

export function headKey(team: string): string {
	return HEAD_PREFIX + team;
}

export function regionKey(region: string): string {
	return REGION_PREFIX + region;
}

export function versionPrefix(team: string): string {
	return `config/version/${team}/`;
}

export function versionKey(team: string, version: number): string {
	return versionPrefix(team) + String(VERSION_KEY_BASE - version);
}

export function objectKey(team: string, digest: string): string {
	return `config/${team}/${digest}`;
}

export function encodeHead({version, digest, bytes}: Head): string {
	return JSON.stringify({version, digest, bytes});
}

export function encodeVersion({team: _team, ...record}: VersionRecord): string {
	return JSON.stringify(record);
}

/** @returns The head, or `undefined` if the row is not a valid head. */
export function decodeHead(row: Row): Head | undefined {
	const value = headSchema.safeParse(parseJson(row.value));
	const team = row.key.slice(HEAD_PREFIX.length);
	return row.key.startsWith(HEAD_PREFIX) && value.success && value.data.version === row.version ? {...value.data, team} : undefined;
}

/** @returns The history record, or `undefined` if the row is not a valid record. */
export function decodeVersion(team: string, row: Row): VersionRecord | undefined {
	const value = versionSchema.safeParse(parseJson(row.value));
	return value.success ? {...value.data, team} : undefined;
}

/** @returns The region's row, or `undefined` if the row is of another kind. */
export function decodeRegion(row: Row): RegionRow | undefined {
	return row.key.startsWith(REGION_PREFIX) ? {region: row.key.slice(REGION_PREFIX.length), version: row.version} : undefined;
}
