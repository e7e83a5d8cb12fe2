/**
 * What operators do with a subtree: read, compare, change, list versions.
 */
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {WriteOutcome} from '../store/table.js';
import {
	type Change, checkSubtree, compareSubtrees,
} from './check-subtree.js';
import {type ConfigError, createConfigError, storeUnavailable} from './config-error.js';
import {type ConfigSync} from './config-sync.js';
import {RegionState} from './freshness.js';
import {type RegionReport, regionReports} from './region-report.js';
import {type ConfigPeers} from './peers.js';
import {type Head, type VersionRecord} from './rows.js';
import {CommitFailure, type SettingsTree} from './settings-tree.js';
import {type Subtree} from './schema.js';

const IN_FORCE_TIMEOUT_MS = 5000;
const IN_FORCE_POLL_MS = 100;
const FRESHNESS_POLL_MS = 500;

/** A subtree as operators read it. */
export type SubtreeVersion = {
	readonly version: number;
	/** As it was written, without defaults. */
	readonly subtree: Record<string, unknown>;
	/** Read from this node's memory because the store does not answer. */
	readonly mayBeOld: boolean;
};

/** A change that an operator asks for. */
export type PutRequest = {
	readonly team: string;
	/** The version that the change was made from; 0 for a new subtree. */
	readonly fromVersion: number;
	readonly author: string;
	/** The whole new subtree. */
	readonly subtree: unknown;
	/** Accept the change although a region is cut off. */
	readonly force: boolean;
};

/** An accepted change. */
export type PutAnswer = {
	readonly version: number;
	readonly changes: readonly Change[];
	/** After at most 5 s. */
	readonly regions: readonly RegionReport[];
};

/** What the service is made of. */
export type ConfigServiceOptions = {
	readonly clock: Clock;
	readonly tree: SettingsTree;
	readonly sync: ConfigSync;
	readonly peers: ConfigPeers;
	readonly nodeId: string;
	readonly region: string;
};

/** Operators' work on subtrees, for one node. */
export class ConfigService {
	static create(options: ConfigServiceOptions): ConfigService {
		return new ConfigService(options);
	}

	readonly #options: ConfigServiceOptions;

	private constructor(options: ConfigServiceOptions) {
		this.#options = options;
	}

	/**
	 * @param team - The subtree.
	 * @param version - An older version; the newest where absent.
	 */
	async get(team: string, version?: number): Promise<Result<SubtreeVersion, ConfigError>> {
		const {tree, sync} = this.#options;
		const head = version === undefined ? await tree.head(team) : await tree.version(team, version);
		if (head.isOk && head.value === undefined) {
			return version === undefined
				? ok({version: 0, subtree: {}, mayBeOld: false})
				: Result.err(createConfigError(ErrorKind.NotFound, `There is no version ${version}.`));
		}

		const body = head.isOk ? await this.#bodyOf(head.value!) : undefined;
		if (head.isOk && body !== undefined) {
			return ok({version: head.value!.version, subtree: parseBody(body), mayBeOld: false});
		}

		const applied = sync.subtrees.get(team);
		return applied !== undefined && version === undefined
			? ok({version: applied.head.version, subtree: parseBody(applied.body), mayBeOld: true})
			: Result.err(storeUnavailable());
	}

	/** @returns What would change from the newest version to the given subtree. */
	async diff(team: string, input: unknown): Promise<Result<{version: number; changes: readonly Change[]}, ConfigError>> {
		const checked = checkInput(input);
		if (checked.isErr) {
			return Result.err(checked.error);
		}

		const current = await this.get(team);
		return current.map(({version, subtree}) => ({version, changes: compareSubtrees(subtree, input as Record<string, unknown>)}));
	}

	/** @returns The newest versions, newest first. */
	async log(team: string, limit: number): Promise<Result<readonly VersionRecord[], ConfigError>> {
		const records = await this.#options.tree.log(team, limit);
		return records.mapErr(() => storeUnavailable());
	}

	/** Changes a subtree as a whole, and waits up to 5 s until the version is in force everywhere. */
	async put(request: PutRequest): Promise<Result<PutAnswer, ConfigError>> {
		const checked = checkInput(request.subtree);
		if (checked.isErr) {
			return Result.err(checked.error);
		}

		const {team, subtree} = request;
		const current = await this.#options.tree.head(team);
		if (current.isErr) {
			return Result.err(storeUnavailable());
		}

		const refused = await this.#refuse(request, checked.value, current.value?.version ?? 0);
		if (refused !== undefined) {
			return Result.err(refused);
		}

		// A corrupt body must not keep operators from replacing it.
		const currentBody = current.value && await this.#bodyOf(current.value);
		const committed = await this.#commit(request);
		if (committed.isErr) {
			return Result.err(committed.error);
		}

		return ok({
			version: committed.value.version,
			changes: compareSubtrees(parseBody(currentBody ?? '{}'), subtree as Record<string, unknown>),
			regions: await this.#waitInForce(committed.value),
		});
	}

	/** Removes a region that was taken out of service, so that changes no longer wait for it. */
	async retireRegion(region: string): Promise<Result<{region: string}, ConfigError>> {
		const {clock, sync, tree} = this.#options;
		let state: RegionState | undefined;
		do {
			// eslint-disable-next-line no-await-in-loop
			if (!await sync.read()) {
				return Result.err(storeUnavailable());
			}

			state = sync.freshness.states(clock.now()).get(region);
			if (state === RegionState.Uncertain) {
				// eslint-disable-next-line no-await-in-loop
				await clock.sleep(FRESHNESS_POLL_MS);
			}
		} while (state === RegionState.Uncertain);

		if (state === undefined) {
			return Result.err(createConfigError(ErrorKind.NotFound, 'There is no such region; it may be retired already.'));
		}

		if (state === RegionState.Fresh) {
			return Result.err(inServiceRefusal());
		}

		const removed = await tree.removeRegion(region);
		if (removed.isErr) {
			return Result.err(createConfigError(ErrorKind.OutcomeUnknown, 'The store did not say whether the region was retired. Repeat the request.'));
		}

		return removed.value === WriteOutcome.ConditionFailed ? Result.err(inServiceRefusal()) : ok({region});
	}

	/** @returns In which regions a version is in force, as known now. */
	regionReports(team: string, version: number): RegionReport[] {
		const {clock, sync, peers, nodeId, region} = this.#options;
		const own = sync.subtrees.heads.map(head => ({nodeId, region, head}));
		return regionReports(team, version, [...own, ...peers.reports()], sync.freshness.states(clock.now()).keys());
	}

	/** @returns Why a change is refused before it is written. */
	async #refuse(request: PutRequest, subtree: Subtree, currentVersion: number): Promise<ConfigError | undefined> {
		const {team, fromVersion, force} = request;
		if (currentVersion !== fromVersion) {
			return this.#conflict(team, fromVersion);
		}

		const problems = this.#options.sync.subtrees.foreignDigests(team, subtree);
		if (problems.length > 0) {
			return createConfigError(ErrorKind.InvalidConfig, 'A key belongs to another team; make a new one.', {problems});
		}

		return force ? undefined : this.#refuseCutOff();
	}

	async #commit({team, fromVersion, author, subtree}: PutRequest): Promise<Result<Head, ConfigError>> {
		const {tree, sync} = this.#options;
		const body = JSON.stringify(subtree);
		const committed = await tree.commit({
			team, fromVersion, author, body,
		});
		if (committed.isOk) {
			sync.offer(committed.value, body);
			return ok(committed.value);
		}

		switch (committed.error) {
			case CommitFailure.Conflict: {
				return Result.err(await this.#conflict(team, fromVersion));
			}

			case CommitFailure.Unavailable: {
				return Result.err(storeUnavailable());
			}

			case CommitFailure.OutcomeUnknown: {
				return Result.err(createConfigError(
					ErrorKind.OutcomeUnknown,
					'The store did not say whether the change was accepted. Read the log before repeating the change.',
				));
			}
		}
	}

	async #bodyOf(head: Head): Promise<string | undefined> {
		const {sync, tree} = this.#options;
		const known = sync.subtrees.body(head.team, head.digest);
		if (known !== undefined) {
			return known;
		}

		const body = await tree.body(head);
		return body.isOk ? body.value : undefined;
	}

	async #conflict(team: string, fromVersion: number): Promise<ConfigError> {
		const [base, current] = await Promise.all([fromVersion === 0 ? undefined : this.get(team, fromVersion), this.get(team)]);
		const baseSubtree = base?.isOk ? base.value.subtree : {};
		const more = current.isOk && !current.value.mayBeOld
			? {currentVersion: current.value.version, difference: compareSubtrees(baseSubtree, current.value.subtree)}
			: {};
		return createConfigError(
			ErrorKind.VersionConflict,
			`The subtree changed since version ${fromVersion}. Get the newest version, make the change again and put it.`,
			more,
		);
	}

	/** Reads the freshness rows until each region is certainly fresh or certainly cut off. */
	async #refuseCutOff(): Promise<ConfigError | undefined> {
		const {clock, sync} = this.#options;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			if (!await sync.read()) {
				return storeUnavailable();
			}

			const states = [...sync.freshness.states(clock.now())];
			const regions = states.filter(([, state]) => state === RegionState.CutOff).map(([region]) => region);
			if (regions.length > 0) {
				return createConfigError(
					ErrorKind.RegionUnreachable,
					`No word from ${regions.join(', ')} for over 5 s. Nothing was changed; repeat the request later, or force it.`,
					{regions},
				);
			}

			if (states.every(([, state]) => state === RegionState.Fresh)) {
				return undefined;
			}

			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(FRESHNESS_POLL_MS);
		}
	}

	async #waitInForce(head: Head): Promise<RegionReport[]> {
		const {clock} = this.#options;
		const deadline = clock.now() + IN_FORCE_TIMEOUT_MS;
		for (;;) {
			const reports = this.regionReports(head.team, head.version);
			if (reports.every(report => report.inForce) || clock.now() >= deadline) {
				return reports;
			}

			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(IN_FORCE_POLL_MS);
		}
	}
}

function inServiceRefusal(): ConfigError {
	return createConfigError(ErrorKind.Forbidden, 'The region is in service: one of its nodes wrote to the store within 5 s. Stop its nodes first.');
}

function checkInput(input: unknown): Result<Subtree, ConfigError> {
	return checkSubtree(input).mapErr(problems => createConfigError(ErrorKind.InvalidConfig, `The settings have ${problems.length} mistake(s); nothing was changed.`, {problems}));
}

function parseBody(body: string): Record<string, unknown> {
	return JSON.parse(body) as Record<string, unknown>;
}
