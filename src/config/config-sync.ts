/**
 * Keeps a node's settings up to date: reads all heads every 4 s, and takes versions that peers announce.
 */
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

/** Longest time between two reads of the heads, in ms; with the read itself below the 5 s of P8. */
const READ_INTERVAL_MS = 4000;
/** Part of the interval by which reads are spread over the nodes. */
const READ_JITTER = 0.2;
/** First delay after a failed read, in ms; doubles up to the interval, so that many nodes do not crowd a store that comes back. */
const READ_RETRY_MS = 500;
/** Settings may be old when the heads were not read for this long, in ms. */
const OLD_AFTER_MS = 10_000;

/** Where a node's settings come from. */
export const SettingsSource = {
	None: 'none',
	/** The store was not read since the node started. */
	Peers: 'peers',
	Store: 'store',
} as const;

export type SettingsSource = (typeof SettingsSource)[keyof typeof SettingsSource];

/** Shown in readiness details and metrics. */
export type ConfigStatus = {
	readonly source: SettingsSource;
	/** The heads were not read recently, so that an accepted change may be missing. */
	readonly mayBeOld: boolean;
	/** Time since the heads were last read, in ms; `undefined` where they never were. */
	readonly readAgeMs: number | undefined;
	readonly applied: ReadonlyArray<{readonly team: string; readonly version: number}>;
	/** Accepted versions that are not applied because their bodies are corrupt or invalid. */
	readonly rejected: ReadonlyArray<{readonly team: string; readonly version: number; readonly path: string; readonly message: string}>;
};

/** What the part is made of. */
export type ConfigSyncOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	readonly tree: SettingsTree;
	readonly peers: ConfigPeers;
	readonly subtrees: SubtreeStore;
};

type HeadListener = (head: Head) => void;

/** The part that applies settings on a node. */
export class ConfigSync extends Part {
	static create(options: ConfigSyncOptions): ConfigSync {
		return new ConfigSync(options);
	}

	readonly freshness = RegionFreshness.create();
	readonly #options: ConfigSyncOptions;
	readonly #log: Log;
	readonly #listeners = new Set<HeadListener>();
	/** Versions whose bodies are being fetched, as `team/version`. */
	readonly #fetching = new Map<string, Promise<void>>();
	#running: AbortController | undefined;
	#unsubscribe: (() => void) | undefined;
	#lastReadAt: number | undefined;
	/** The last read found a version whose body could not be obtained. */
	#isIncomplete = false;

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
			mayBeOld: readAgeMs === undefined || readAgeMs > OLD_AFTER_MS,
			readAgeMs,
			applied: subtrees.heads.map(({team, version}) => ({team, version})),
			rejected: subtrees.rejected.map(({head, problem}) => ({team: head.team, version: head.version, ...problem})),
		};
	}

	get subtrees(): SubtreeStore {
		return this.#options.subtrees;
	}

	/** Starts the reads; does not wait for the store, which may be down. */
	async start(onFailure: (err: Error) => void): Promise<void> {
		const {peers, subtrees} = this.#options;
		const running = new AbortController();
		this.#running = running;
		peers.serveBodies((team, digest) => subtrees.body(team, digest));
		this.#unsubscribe = peers.subscribe(({head}) => {
			void this.#takeReported(head);
		});
		void this.#run(running.signal, onFailure);
	}

	async stop(): Promise<void> {
		this.#running?.abort();
		this.#unsubscribe?.();
	}

	/** @param listener - Called after each applied version. */
	onApplied(listener: HeadListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Applies a version whose body is at hand, and announces it. */
	offer(head: Head, body: string): void {
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
	 * Reads heads and region rows, and takes newer versions.
	 *
	 * @returns Whether the store answered.
	 */
	async read(): Promise<boolean> {
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

		await Promise.all(rows.value.heads.map(async head => this.#take(head, false)));
		this.#isIncomplete = !rows.value.heads.every(head => subtrees.isSettled(head));
		if (!this.#isIncomplete) {
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
		let retryMs = READ_RETRY_MS;
		try {
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop
				const hasRead = await this.read();
				if (!hasRead) {
					// eslint-disable-next-line no-await-in-loop
					await this.#readFromPeers();
				}

				const isDone = hasRead && !this.#isIncomplete;
				const delay = (isDone ? READ_INTERVAL_MS : retryMs) * (1 - (READ_JITTER * random.next()));
				retryMs = isDone ? READ_RETRY_MS : Math.min(2 * retryMs, READ_INTERVAL_MS);
				// eslint-disable-next-line no-await-in-loop
				await clock.sleep(delay, signal);
			}
		} catch (error) {
			onFailure(error as Error);
		}
	}

	/** Takes the newest versions that peers have in force, while the store does not answer. */
	async #readFromPeers(): Promise<void> {
		const {peers, subtrees} = this.#options;
		const newest = new Map<string, Head>();
		for (const {head} of peers.reports()) {
			if (head.version > (newest.get(head.team)?.version ?? 0)) {
				newest.set(head.team, head);
			}
		}

		await Promise.all([...newest.values()].map(async head => this.#take(head, true)));
		if (newest.size > 0 && [...newest.values()].every(head => subtrees.isSettled(head))) {
			subtrees.startPublishing();
		}
	}

	async #takeReported(head: Head): Promise<void> {
		try {
			await this.#take(head, true);
		} catch (error) {
			// The periodic read takes the version later.
			this.#log.error('An announced version could not be applied.', {team: head.team, version: head.version, error: (error as Error).message});
		}
	}

	async #take(head: Head, isFromPeer: boolean): Promise<void> {
		if (!this.#options.subtrees.wants(head)) {
			return;
		}

		const key = `${head.team}/${head.version}`;
		const pending = this.#fetching.get(key);
		if (pending !== undefined) {
			return pending;
		}

		const fetching = this.#fetchAndOffer(head, isFromPeer);
		this.#fetching.set(key, fetching);
		try {
			await fetching;
		} finally {
			this.#fetching.delete(key);
		}
	}

	async #fetchAndOffer(head: Head, isFromPeer: boolean): Promise<void> {
		let body = isFromPeer ? await this.#fetchFromPeer(head) : undefined;
		let isMissing = false;
		if (body === undefined) {
			const stored = await this.#options.tree.body(head);
			body = stored.isOk ? stored.value : undefined;
			isMissing = stored.isOk;
		}

		body ??= isFromPeer ? undefined : await this.#fetchFromPeer(head);
		if (body !== undefined) {
			this.offer(head, body);
		} else if (isMissing && !this.#options.subtrees.isSettled(head)) {
			this.#options.subtrees.noteUnreadable(head);
			this.#log.error('No intact copy of a version was found.', {team: head.team, version: head.version});
		}
	}

	/** A body that does not match its digest counts as not received. */
	async #fetchFromPeer(head: Head): Promise<string | undefined> {
		const body = await this.#options.peers.fetchBody(head);
		return body.isOk && digestBody(body.value) === head.digest ? body.value : undefined;
	}
}
