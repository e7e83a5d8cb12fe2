/**
 * Keeps a node's settings up to date: polls all heads every 4 s and applies versions announced by peers.
 */
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type Random} from '../base/random.js';
import {Part} from '../supervisor/part.js';
import {digestBody} from './check-subtree.js';
import {RegionFreshness} from './freshness.js';
import {type ConfigPeers} from './peers.js';
import {type Head} from './rows.js';
import {type SettingsTree} from './settings-tree.js';
import {type SubtreeStore} from './subtree-store.js';

/** Maximum interval between two polls of the heads, in ms. Interval and poll together stay below the 5 s limit of P8. */
const POLL_INTERVAL_MS = 4000;
/** Fraction of the delay that is randomised to spread the polls of different nodes. */
const POLL_JITTER_RATIO = 0.2;
/** Initial retry delay after a failed poll, in ms; doubles up to the interval, so that nodes do not overload a recovering store. */
const FIRST_RETRY_DELAY_MS = 500;
/** Age of the last successful poll above which settings may be outdated, in ms. */
const STALE_AFTER_MS = 10_000;

/** Source of a node's settings. */
export const SettingsSource = {
	None: 'none',
	/** The store has not been read since the node started. */
	Peers: 'peers',
	Store: 'store',
} as const;

export type SettingsSource = (typeof SettingsSource)[keyof typeof SettingsSource];

/** Status for readiness details, metrics and operators. */
export type ConfigStatus = {
	readonly source: SettingsSource;
	/** Whether the heads were not read recently, so that accepted changes may be missing. */
	readonly mayBeOld: boolean;
	/** Time since the last successful poll, in ms; `undefined` before the first one. */
	readonly readAgeMs: number | undefined;
	readonly applied: ReadonlyArray<{readonly team: string; readonly version: number}>;
	/** Accepted versions that are not applied because their bodies are corrupt or invalid. */
	readonly rejected: ReadonlyArray<{readonly team: string; readonly version: number; readonly path: string; readonly message: string}>;
};

/** Dependencies of the part. */
export type ConfigSyncOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	readonly tree: SettingsTree;
	readonly peers: ConfigPeers;
	readonly subtrees: SubtreeStore;
};

type HeadListener = (head: Head) => void;

/** Polls the store and applies new settings on a node. */
export class ConfigSync extends Part {
	static create(options: ConfigSyncOptions): ConfigSync {
		return new ConfigSync(options);
	}

	readonly freshness = RegionFreshness.create();
	readonly #options: ConfigSyncOptions;
	readonly #log: Log;
	readonly #listeners = new Set<HeadListener>();
	/** Body fetches in progress, by `team/version`. */
	readonly #pendingFetches = new Map<string, Promise<void>>();
	#abortController: AbortController | undefined;
	#unsubscribe: (() => void) | undefined;
	#lastReadAt: number | undefined;
	/** Whether the last poll found a version whose body could not be fetched. */
	#hasMissingBodies = false;

	private constructor(options: ConfigSyncOptions) {
		super();
		this.#options = options;
		this.#log = options.log.part(LogPrefix.Config);
	}

	get name(): string {
		return 'config';
	}

	get status(): ConfigStatus {
		const {clock, subtrees} = this.#options;
		const readAgeMs = this.#lastReadAt === undefined ? undefined : clock.now() - this.#lastReadAt;
		return {
			source: this.#source,
			mayBeOld: readAgeMs === undefined || readAgeMs > STALE_AFTER_MS,
			readAgeMs,
			applied: subtrees.heads.map(({team, version}) => ({team, version})),
			rejected: subtrees.rejected.map(({head, problem}) => ({team: head.team, version: head.version, ...problem})),
		};
	}

	get subtrees(): SubtreeStore {
		return this.#options.subtrees;
	}

	/** Starts polling without waiting for the first poll, because the store may be down. */
	async start(onFailure: (err: Error) => void): Promise<void> {
		const {peers, subtrees} = this.#options;
		const abortController = new AbortController();
		this.#abortController = abortController;
		peers.serveBodies((team, digest) => subtrees.body(team, digest));
		this.#unsubscribe = peers.subscribe(({head}) => {
			void this.#applyAnnounced(head); // eslint-disable-line @typescript-eslint/no-floating-promises -- never rejects
		});
		runInBackground(this.#log, 'reading the settings', async () => this.#run(abortController.signal, onFailure));
	}

	async stop(): Promise<void> {
		this.#abortController?.abort();
		this.#unsubscribe?.();
	}

	/**
	 * @param listener - Called after each applied version.
	 * @returns A function that removes the listener.
	 */
	onApplied(listener: HeadListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Validates and applies a version, and announces it to peers and listeners. */
	applyVersion(head: Head, body: string): void {
		const result = this.#options.subtrees.tryApply(head, body);
		if (result === 'applied') {
			this.#log.info('A version came into force.', {team: head.team, version: head.version});
			this.#options.peers.publish(head);
			for (const listener of this.#listeners) {
				listener(head);
			}
		} else if (result === 'rejected') {
			this.#log.error('A version is not applied because its body is corrupt or invalid.', {team: head.team, version: head.version});
		}
	}

	/**
	 * Reads the heads and region rows, and applies newer versions.
	 *
	 * @returns Whether the store responded.
	 */
	async refresh(): Promise<boolean> {
		const {clock, tree, subtrees} = this.#options;
		const readAt = clock.now();
		const rows = await tree.current();
		if (rows.isErr) {
			return false;
		}

		this.#lastReadAt = readAt;
		this.freshness.observe(rows.value.regions, readAt, clock.now());
		for (const key of rows.value.invalidKeys) {
			this.#log.error('A row of the settings tree cannot be read.', {key});
		}

		await Promise.all(rows.value.heads.map(async head => this.#fetchIfNeeded(head, false)));
		this.#hasMissingBodies = !rows.value.heads.every(head => subtrees.isSettled(head));
		if (!this.#hasMissingBodies) {
			subtrees.startPublishing();
		}

		return true;
	}

	get #source(): SettingsSource {
		if (!this.#options.subtrees.isPublishing) {
			return SettingsSource.None;
		}

		return this.#lastReadAt === undefined ? SettingsSource.Peers : SettingsSource.Store;
	}

	async #run(signal: AbortSignal, onFailure: (err: Error) => void): Promise<void> {
		const {clock, random} = this.#options;
		let retryMs = FIRST_RETRY_DELAY_MS;
		try {
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop
				const hasRefreshed = await this.refresh();
				if (!hasRefreshed) {
					// eslint-disable-next-line no-await-in-loop
					await this.#fetchFromPeers();
				}

				const isComplete = hasRefreshed && !this.#hasMissingBodies;
				const delay = (isComplete ? POLL_INTERVAL_MS : retryMs) * (1 - (POLL_JITTER_RATIO * random.next()));
				retryMs = isComplete ? FIRST_RETRY_DELAY_MS : Math.min(2 * retryMs, POLL_INTERVAL_MS);
				// eslint-disable-next-line no-await-in-loop
				await clock.sleep(delay, signal);
			}
		} catch (error) {
			onFailure(error as Error);
		}
	}

	/** Applies the newest versions that are active on peers; used while the store does not respond. */
	async #fetchFromPeers(): Promise<void> {
		const {peers, subtrees} = this.#options;
		const newest = new Map<string, Head>();
		for (const {head} of peers.reports()) {
			if (head.version > (newest.get(head.team)?.version ?? 0)) {
				newest.set(head.team, head);
			}
		}

		await Promise.all([...newest.values()].map(async head => this.#fetchIfNeeded(head, true)));
		if (newest.size > 0 && [...newest.values()].every(head => subtrees.isSettled(head))) {
			subtrees.startPublishing();
		}
	}

	async #applyAnnounced(head: Head): Promise<void> {
		try {
			await this.#fetchIfNeeded(head, true);
		} catch (error) {
			// The next poll retries the version.
			this.#log.error('An announced version could not be applied.', {team: head.team, version: head.version, error: (error as Error).message});
		}
	}

	async #fetchIfNeeded(head: Head, isFromPeer: boolean): Promise<void> {
		if (!this.#options.subtrees.needsBody(head)) {
			return;
		}

		const key = `${head.team}/${head.version}`;
		const pending = this.#pendingFetches.get(key);
		if (pending !== undefined) {
			return pending;
		}

		const fetching = this.#fetchAndApply(head, isFromPeer);
		this.#pendingFetches.set(key, fetching);
		try {
			await fetching;
		} finally {
			this.#pendingFetches.delete(key);
		}
	}

	async #fetchAndApply(head: Head, isFromPeer: boolean): Promise<void> {
		let body = isFromPeer ? await this.#fetchBodyFromPeer(head) : undefined;
		let isMissing = false;
		if (body === undefined) {
			const stored = await this.#options.tree.body(head);
			body = stored.isOk ? stored.value : undefined;
			isMissing = stored.isOk;
		}

		body ??= isFromPeer ? undefined : await this.#fetchBodyFromPeer(head);
		if (body !== undefined) {
			this.applyVersion(head, body);
		} else if (isMissing && !this.#options.subtrees.isSettled(head)) {
			this.#options.subtrees.markUnreadable(head);
			this.#log.error('No intact copy of a version was found.', {team: head.team, version: head.version});
		}
	}

	/** @returns The body, or `undefined` if no peer returned one that matches the digest. */
	async #fetchBodyFromPeer(head: Head): Promise<string | undefined> {
		const body = await this.#options.peers.fetchBody(head);
		return body.isOk && digestBody(body.value) === head.digest ? body.value : undefined;
	}
}
