/**
 * Operations on subtrees for operators: read, diff, change and list versions.
 */
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {ErrorKind} from '../base/errors.js';
import {WriteOutcome} from '../store/table.js';
import {
	type Change, checkSubtree, compareSubtrees,
} from './check-subtree.js';
import {type ConfigError, createConfigError, createStoreUnavailableError} from './config-error.js';
import {type ConfigSync} from './config-sync.js';
import {RegionState} from './freshness.js';
import {type RegionReport, buildRegionReports} from './region-report.js';
import {type ConfigPeers} from './peers.js';
import {type Head, type VersionRecord} from './rows.js';
import {CommitFailure, type SettingsTree} from './settings-tree.js';
import {type Subtree} from './schema.js';

const ACTIVATION_TIMEOUT_MS = 5000;
const ACTIVATION_POLL_INTERVAL_MS = 100;
const FRESHNESS_POLL_INTERVAL_MS = 500;

/** A version of a subtree as returned to operators. */
export type SubtreeVersion = {
	readonly version: number;
	/** The subtree as written, without defaults applied. */
	readonly subtree: Record<string, unknown>;
	/** Whether the version was read from this node's memory because the store does not respond. */
	readonly mayBeOld: boolean;
};

/** A change requested by an operator. */
export type PutRequest = {
	readonly team: string;
	/** The version that the change is based on; 0 for a new subtree. */
	readonly fromVersion: number;
	readonly author: string;
	/** The complete new subtree. */
	readonly subtree: unknown;
	/** Whether to accept the change even if a region is unreachable. */
	readonly force: boolean;
};

/** An accepted change. */
export type PutResult = {
	readonly version: number;
	readonly changes: readonly Change[];
	/** State of the version in each region when it was active everywhere, or after 5 s. */
	readonly regions: readonly RegionReport[];
};

/** Dependencies of the service. */
export type ConfigServiceOptions = {
	readonly clock: Clock;
	readonly tree: SettingsTree;
	readonly sync: ConfigSync;
	readonly peers: ConfigPeers;
	readonly nodeId: string;
	readonly region: string;
};

/** Handles operators' requests on subtrees for one node. */
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
	 * @param version - The version to read; defaults to the newest.
	 */
	async get(team: string, version?: number): Promise<Result<SubtreeVersion, ConfigError>> {
		const {tree, sync} = this.#options;
		const head = version === undefined ? await tree.head(team) : await tree.version(team, version);
		if (head.isOk && head.value === undefined) {
			return version === undefined
				? ok({version: 0, subtree: {}, mayBeOld: false})
				: Result.err(createConfigError(ErrorKind.NotFound, `There is no version ${version}.`));
		}

		const body = head.isOk ? await this.#loadBody(head.value!) : undefined;
		if (head.isOk && body !== undefined) {
			return ok({version: head.value!.version, subtree: parseBody(body), mayBeOld: false});
		}

		const applied = sync.subtrees.get(team);
		return applied !== undefined && version === undefined
			? ok({version: applied.head.version, subtree: parseBody(applied.body), mayBeOld: true})
			: Result.err(createStoreUnavailableError());
	}

	/** @returns The differences between the newest version and the given subtree. */
	async diff(team: string, input: unknown): Promise<Result<{version: number; changes: readonly Change[]}, ConfigError>> {
		const validated = validateInput(input);
		if (validated.isErr) {
			return Result.err(validated.error);
		}

		const current = await this.get(team);
		return current.map(({version, subtree}) => ({version, changes: compareSubtrees(subtree, input as Record<string, unknown>)}));
	}

	/** @returns The newest versions, newest first. */
	async log(team: string, limit: number): Promise<Result<readonly VersionRecord[], ConfigError>> {
		const records = await this.#options.tree.log(team, limit);
		return records.mapErr(() => createStoreUnavailableError());
	}

	/** Replaces a subtree and waits up to 5 s until the new version is active in all regions. */
	async put(request: PutRequest): Promise<Result<PutResult, ConfigError>> {
		const validated = validateInput(request.subtree);
		if (validated.isErr) {
			return Result.err(validated.error);
		}

		const {team, subtree} = request;
		const current = await this.#options.tree.head(team);
		if (current.isErr) {
			return Result.err(createStoreUnavailableError());
		}

		const preconditionError = await this.#checkPreconditions(request, validated.value, current.value?.version ?? 0);
		if (preconditionError !== undefined) {
			return Result.err(preconditionError);
		}

		// A body that cannot be read does not fail the request, so that operators can replace a corrupt version.
		const currentBody = current.value && await this.#loadBody(current.value);
		const committed = await this.#commit(request);
		if (committed.isErr) {
			return Result.err(committed.error);
		}

		return ok({
			version: committed.value.version,
			changes: compareSubtrees(parseBody(currentBody ?? '{}'), subtree as Record<string, unknown>),
			regions: await this.#waitUntilActive(committed.value),
		});
	}

	/** Removes a decommissioned region, so that it no longer blocks changes. */
	async retireRegion(region: string): Promise<Result<{region: string}, ConfigError>> {
		const {clock, sync, tree} = this.#options;
		let state: RegionState | undefined;
		do {
			// eslint-disable-next-line no-await-in-loop
			if (!await sync.refresh()) {
				return Result.err(createStoreUnavailableError());
			}

			state = sync.freshness.states(clock.now()).get(region);
			if (state === RegionState.Uncertain) {
				// eslint-disable-next-line no-await-in-loop
				await clock.sleep(FRESHNESS_POLL_INTERVAL_MS);
			}
		} while (state === RegionState.Uncertain);

		if (state === undefined) {
			return Result.err(createConfigError(ErrorKind.NotFound, 'There is no such region; it may be retired already.'));
		}

		if (state === RegionState.Fresh) {
			return Result.err(createRegionInServiceError());
		}

		const removed = await tree.removeRegion(region);
		if (removed.isErr) {
			return Result.err(createConfigError(ErrorKind.OutcomeUnknown, 'The store did not say whether the region was retired. Repeat the request.'));
		}

		return removed.value === WriteOutcome.ConditionFailed ? Result.err(createRegionInServiceError()) : ok({region});
	}

	/** @returns The regions in which a version is active, according to the reports received so far. */
	regionReports(team: string, version: number): RegionReport[] {
		const {clock, sync, peers, nodeId, region} = this.#options;
		const own = sync.subtrees.heads.map(head => ({nodeId, region, head}));
		return buildRegionReports(team, version, [...own, ...peers.reports()], sync.freshness.states(clock.now()).keys());
	}

	/** @returns The error that prevents the change from being written, if any. */
	async #checkPreconditions(request: PutRequest, subtree: Subtree, currentVersion: number): Promise<ConfigError | undefined> {
		const {team, fromVersion, force} = request;
		if (currentVersion !== fromVersion) {
			return this.#createConflictError(team, fromVersion);
		}

		const problems = this.#options.sync.subtrees.findDigestConflicts(team, subtree);
		if (problems.length > 0) {
			return createConfigError(ErrorKind.InvalidConfig, 'A key belongs to another team; make a new one.', {problems});
		}

		return force ? undefined : this.#checkReachability();
	}

	async #commit({team, fromVersion, author, subtree}: PutRequest): Promise<Result<Head, ConfigError>> {
		const {tree, sync} = this.#options;
		const body = JSON.stringify(subtree);
		const committed = await tree.commit({
			team, fromVersion, author, body,
		});
		if (committed.isOk) {
			sync.applyVersion(committed.value, body);
			return ok(committed.value);
		}

		switch (committed.error) {
			case CommitFailure.Conflict: {
				return Result.err(await this.#createConflictError(team, fromVersion));
			}

			case CommitFailure.Unavailable: {
				return Result.err(createStoreUnavailableError());
			}

			case CommitFailure.OutcomeUnknown: {
				return Result.err(createConfigError(
					ErrorKind.OutcomeUnknown,
					'The store did not say whether the change was accepted. Read the log before repeating the change.',
				));
			}
		}
	}

	async #loadBody(head: Head): Promise<string | undefined> {
		const {sync, tree} = this.#options;
		const cached = sync.subtrees.body(head.team, head.digest);
		if (cached !== undefined) {
			return cached;
		}

		const body = await tree.body(head);
		return body.isOk ? body.value : undefined;
	}

	async #createConflictError(team: string, fromVersion: number): Promise<ConfigError> {
		const [base, current] = await Promise.all([fromVersion === 0 ? undefined : this.get(team, fromVersion), this.get(team)]);
		const baseSubtree = base?.isOk ? base.value.subtree : {};
		const details = current.isOk && !current.value.mayBeOld
			? {currentVersion: current.value.version, difference: compareSubtrees(baseSubtree, current.value.subtree)}
			: {};
		return createConfigError(
			ErrorKind.VersionConflict,
			`The subtree changed since version ${fromVersion}. Get the newest version, make the change again and put it.`,
			details,
		);
	}

	/** Polls the freshness rows until every region is known to be fresh or at least one is known to be cut off. */
	async #checkReachability(): Promise<ConfigError | undefined> {
		const {clock, sync} = this.#options;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			if (!await sync.refresh()) {
				return createStoreUnavailableError();
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
			await clock.sleep(FRESHNESS_POLL_INTERVAL_MS);
		}
	}

	async #waitUntilActive(head: Head): Promise<RegionReport[]> {
		const {clock} = this.#options;
		const deadline = clock.now() + ACTIVATION_TIMEOUT_MS;
		for (;;) {
			const reports = this.regionReports(head.team, head.version);
			if (reports.every(report => report.inForce) || clock.now() >= deadline) {
				return reports;
			}

			// eslint-disable-next-line no-await-in-loop
			await clock.sleep(ACTIVATION_POLL_INTERVAL_MS);
		}
	}
}

function createRegionInServiceError(): ConfigError {
	return createConfigError(ErrorKind.Forbidden, 'The region is in service: one of its nodes wrote to the store within 5 s. Stop its nodes first.');
}

function validateInput(input: unknown): Result<Subtree, ConfigError> {
	return checkSubtree(input).mapErr(problems => createConfigError(ErrorKind.InvalidConfig, `The settings have ${problems.length} mistake(s); nothing was changed.`, {problems}));
}

function parseBody(body: string): Record<string, unknown> {
	return JSON.parse(body) as Record<string, unknown>;
}
