/**
 * Stores the settings tree in the platform's table and object store, with one head row per team and one history row per
 * version.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {type ObjectStore} from '../store/object-store.js';
import {
	type Condition, type StoreError, StoreFailure, type Table, type Write, WriteOutcome,
} from '../store/table.js';
import {digestBody} from './check-subtree.js';
import {
	CURRENT_PREFIX, decodeHead, decodeRegion, decodeVersion, encodeHead, encodeVersion, type Head, headKey, objectKey, regionKey,
	type RegionRow, versionKey, versionPrefix, type VersionRecord,
} from './rows.js';
import {withTimeout} from './store-call.js';

/** Maximum size of a body that is stored in the table, in bytes; larger bodies go to the object store. */
export const INLINE_LIMIT_BYTES = 32 * 1024;

const COMMIT_TIMEOUT_MS = 5000;
const RETRY_DELAY_MS = 250;
/** Maximum number of teams and regions together. */
const MAX_CURRENT_ROWS = 1000;

/** Reason why a change is not known to be accepted. */
export const CommitFailure = {
	/** Another change was accepted first; this one had no effect. */
	Conflict: 'conflict',
	/** The store did not accept the change, which had no effect. */
	Unavailable: 'unavailable',
	/** The store did not report whether the change took effect. */
	OutcomeUnknown: 'outcome-unknown',
} as const;

export type CommitFailure = (typeof CommitFailure)[keyof typeof CommitFailure];

/** A validated change of one subtree. */
export type Commit = {
	readonly team: string;
	/** The version that the change is based on; 0 for a new subtree. */
	readonly fromVersion: number;
	readonly author: string;
	/** The complete new subtree as JSON. */
	readonly body: string;
};

/** The rows returned by one list call. */
export type CurrentRows = {
	readonly heads: readonly Head[];
	readonly regions: readonly RegionRow[];
	/** Keys of rows that could not be decoded. */
	readonly invalidKeys: readonly string[];
};

/** Dependencies of the tree. */
export type SettingsTreeOptions = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly clock: Clock;
};

/** Reads and changes the settings tree. */
export class SettingsTree {
	static create(options: SettingsTreeOptions): SettingsTree {
		return new SettingsTree(options);
	}

	readonly #table: Table;
	readonly #objects: ObjectStore;
	readonly #clock: Clock;

	private constructor({table, objects, clock}: SettingsTreeOptions) {
		this.#table = table;
		this.#objects = objects;
		this.#clock = clock;
	}

	/** @returns All heads and region rows, read with one list call. */
	async current(): Promise<Result<CurrentRows, StoreError>> {
		const rows = await withTimeout(this.#clock, this.#table.list(CURRENT_PREFIX, MAX_CURRENT_ROWS));
		return rows.map(list => {
			const heads: Head[] = [];
			const regions: RegionRow[] = [];
			const invalidKeys: string[] = [];
			for (const row of list) {
				const region = decodeRegion(row);
				const head = decodeHead(row);
				if (region) {
					regions.push(region);
				} else if (head) {
					heads.push(head);
				} else {
					invalidKeys.push(row.key);
				}
			}

			return {heads, regions, invalidKeys};
		});
	}

	/**
	 * @returns The head of a subtree, or `undefined` if there is none. A corrupt row yields a head without a body, so that
	 * operators can replace it.
	 */
	async head(team: string): Promise<Result<Head | undefined, StoreError>> {
		const row = await withTimeout(this.#clock, this.#table.get(headKey(team)));
		return row.map(value => value && (decodeHead(value) ?? {
			team, version: value.version, digest: '', bytes: 0,
		}));
	}

	/** @returns The record of one version. */
	async version(team: string, version: number): Promise<Result<VersionRecord | undefined, StoreError>> {
		const row = await withTimeout(this.#clock, this.#table.get(versionKey(team, version)));
		return row.map(value => value && decodeVersion(team, value));
	}

	/** @returns The newest versions of a subtree, newest first. */
	async log(team: string, limit: number): Promise<Result<readonly VersionRecord[], StoreError>> {
		const rows = await withTimeout(this.#clock, this.#table.list(versionPrefix(team), limit));
		return rows.map(list => list.flatMap(row => decodeVersion(team, row) ?? []));
	}

	/** @returns The body of a version, or `undefined` if it is missing or does not match its digest. */
	async body({team, version, digest}: Pick<Head, 'team' | 'version' | 'digest'>): Promise<Result<string | undefined, StoreError>> {
		const record = await this.version(team, version);
		if (record.isErr) {
			return Result.err(record.error);
		}

		let body = record.value?.body;
		if (body === undefined) {
			const object = await withTimeout(this.#clock, this.#objects.get(objectKey(team, digest)));
			if (object.isErr) {
				return Result.err(object.error);
			}

			body = object.value && Buffer.from(object.value).toString('utf8');
		}

		return ok(body !== undefined && digestBody(body) === digest ? body : undefined);
	}

	/** Rewrites a region's freshness row, which increments its version. */
	async touchRegion(region: string, nodeId: string): Promise<Result<WriteOutcome, StoreError>> {
		return withTimeout(this.#clock, this.#table.write({
			key: regionKey(region), value: JSON.stringify({nodeId}), condition: {kind: 'any'}, token: randomUUID(),
		}));
	}

	/**
	 * Deletes a region's freshness row unless it changes between read and write.
	 *
	 * @returns The outcome, or `undefined` if there is no row.
	 */
	async removeRegion(region: string): Promise<Result<WriteOutcome | undefined, StoreError>> {
		const key = regionKey(region);
		const row = await withTimeout(this.#clock, this.#table.get(key));
		if (row.isErr) {
			return Result.err(row.error);
		}

		return row.value === undefined
			? ok(undefined)
			: withTimeout(this.#clock, this.#table.write({
				key, value: undefined, condition: {kind: 'token', token: row.value.token}, token: randomUUID(),
			}));
	}

	/**
	 * Writes a new version atomically. If the store's response is lost, the outcome is determined by the token of the write.
	 * The version's history row holds the token, so it can be found even if later versions were written since.
	 */
	async commit(change: Commit): Promise<Result<Head, CommitFailure>> {
		const {team, body} = change;
		const bytes = Buffer.byteLength(body);
		const head: Head = {
			team, version: change.fromVersion + 1, digest: digestBody(body), bytes,
		};
		const deadline = this.#clock.now() + COMMIT_TIMEOUT_MS;
		const isInline = bytes <= INLINE_LIMIT_BYTES;
		if (!isInline && !await this.#storeObject(head, body, deadline)) {
			return Result.err(CommitFailure.Unavailable);
		}

		const token = randomUUID();
		const writes = buildWrites(change, head, {token, isInline, at: this.#clock.wallNow()});
		const failure = await this.#writeWithRetries(writes, head, deadline);
		return failure === undefined ? ok(head) : Result.err(failure);
	}

	async #storeObject(head: Head, body: string, deadline: number): Promise<boolean> {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const stored = await withTimeout(this.#clock, this.#objects.put(objectKey(head.team, head.digest), Buffer.from(body)));
			if (stored.isOk) {
				return true;
			}

			if (this.#clock.now() >= deadline) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#clock.sleep(RETRY_DELAY_MS);
		}
	}

	async #writeWithRetries(writes: readonly Write[], head: Head, deadline: number): Promise<CommitFailure | undefined> {
		let mayHaveTakenEffect = false;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const written = await withTimeout(this.#clock, this.#table.transact(writes));
			if (written.isOk) {
				if (written.value === WriteOutcome.Written) {
					return undefined;
				}

				// eslint-disable-next-line no-await-in-loop
				const isOwnWrite = mayHaveTakenEffect ? await this.#holdsToken(head, writes[0]!.token) : ok(false);
				if (isOwnWrite.isOk) {
					return isOwnWrite.value ? undefined : CommitFailure.Conflict;
				}
			} else {
				mayHaveTakenEffect ||= written.error.failure === StoreFailure.OutcomeUnknown;
			}

			if (this.#clock.now() >= deadline) {
				return mayHaveTakenEffect ? CommitFailure.OutcomeUnknown : CommitFailure.Unavailable;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#clock.sleep(RETRY_DELAY_MS);
		}
	}

	async #holdsToken(head: Head, token: string): Promise<Result<boolean, StoreError>> {
		const row = await withTimeout(this.#clock, this.#table.get(versionKey(head.team, head.version)));
		return row.map(value => value?.token === token);
	}
}

type WriteDetails = {
	readonly token: string;
	readonly isInline: boolean;
	readonly at: number;
};

function buildWrites({team, fromVersion, author, body}: Commit, head: Head, {token, isInline, at}: WriteDetails): Write[] {
	const condition: Condition = fromVersion === 0 ? {kind: 'absent'} : {kind: 'version', version: fromVersion};
	const record: VersionRecord = {
		...head, fromVersion, author, at, ...(isInline && {body}),
	};
	return [
		{
			key: headKey(team), value: encodeHead(head), condition, token,
		},
		{
			key: versionKey(team, head.version), value: encodeVersion(record), condition: {kind: 'absent'}, token,
		},
	];
}
