/**
 * What rides on gossip besides members: typed publication and subscription.
 */
import {
	type AppliedConfig, type Entry, type Pressure, type Suspicion as SuspicionMessage,
} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {type Suspicion} from '../policy/quarantine.js';
import {hashText} from './hash.js';
import {type EntryInit} from './entry-version.js';
import {type Membership} from './membership.js';

/** Published again while the upstream is still leaving; see `publishLeaving`. */
const LEAVING_LIFETIME_MS = 2 * 60 * 60_000;
const SUSPICION_LIFETIME_MS = 10 * 60_000;
/** Time for which other nodes admit nothing below a tier under pressure. */
export const PRESSURE_LIFETIME_MS = 3000;
/** While a mark of another node lasts longer than this, none is added to it. */
const PRESSURE_RENEWAL_MS = 2000;

/** An upstream that takes no new work, or takes it again. */
export type LeavingNews = {
	readonly upstreamId: string;
	readonly isLeaving: boolean;
};

/** A version of a settings subtree, with what identifies its body. */
export type AppliedVersion = {
	readonly subtree: string;
	readonly version: number;
	/** SHA-256 of the body in hex. */
	readonly digest: string;
	/** Size of the body. */
	readonly bytes: number;
};

/** The highest version of a settings subtree that a node of a region applied. */
export type AppliedVersionUpdate = AppliedVersion & {
	readonly region: string;
	/** The node that reported the version first. */
	readonly nodeId: string;
};

/** Nothing below the tier may be admitted in the pool for the remaining time. */
export type PressureNews = {
	readonly pool: string;
	readonly tier: number;
	readonly remainingMs: number;
};

type News = {
	leaving: LeavingNews;
	config: AppliedVersionUpdate;
	suspicion: Suspicion;
	pressure: PressureNews;
};

type Listener<Topic extends keyof News> = (news: News[Topic]) => void;

type Listeners = {[Topic in keyof News]: Set<Listener<Topic>>};

/** The topics of one node. Subscribers hear what other nodes and this one publish, each version once. */
export class Topics {
	static create(): Topics {
		return new Topics();
	}

	readonly #listeners: Listeners = {
		leaving: new Set(), config: new Set(), suspicion: new Set(), pressure: new Set(),
	};

	/** End of the longest pressure mark by pool and tier; a scan of all entries at each shed request would be slow. */
	readonly #pressureUntil = new Map<string, number[]>();
	#membership: Membership | undefined;
	#publications = 0;

	private constructor() {
		// Subscribers come before the membership.
	}

	/** Joins the topics with the membership that has `accept` as its `onEntry`. */
	attach(membership: Membership): void {
		this.#membership = membership;
	}

	/** @returns A function that ends the subscription. */
	subscribe<Topic extends keyof News>(topic: Topic, listener: Listener<Topic>): () => void {
		this.#listeners[topic].add(listener);
		return () => {
			this.#listeners[topic].delete(listener);
		};
	}

	/** Takes a new entry; the `onEntry` of the membership. */
	readonly accept = (entry: Entry, now: number): void => {
		const {value} = entry;
		switch (value.case) {
			case 'leaving': {
				this.#notify('leaving', {upstreamId: value.value.upstreamId, isLeaving: value.value.isLeaving});
				break;
			}

			case 'config': {
				this.#notify('config', toAppliedVersionUpdate(entry.version, value.value));
				break;
			}

			case 'suspicion': {
				this.#notify('suspicion', toSuspicion(entry.remainingMs, value.value));
				break;
			}

			case 'pressure': {
				this.#notePressure(value.value, now + entry.remainingMs);
				this.#notify('pressure', {pool: value.value.pool, tier: value.value.tier, remainingMs: entry.remainingMs});
				break;
			}

			case 'member':
			case undefined: {
				break;
			}
		}
	};

	/**
	 * Reports that an upstream leaves, or that it serves again. A source that lags, such as the VM list, must not
	 * report `false` merely because it does not yet show an upstream as leaving. May be called at every poll.
	 *
	 * @returns Whether this was news.
	 */
	publishLeaving(upstreamId: string, isLeaving: boolean, now: number): boolean {
		const {membership} = this;
		const key = `l/${upstreamId}`;
		const known = membership.store.get(key);
		const isKnown = known?.value.case === 'leaving' && known.value.value.isLeaving === isLeaving;
		if ((isKnown && membership.store.remaining(key, now) > LEAVING_LIFETIME_MS / 2) || (!known && !isLeaving)) {
			return false;
		}

		return this.#publish({
			key,
			generation: 0,
			version: (membership.store.newest(key)?.version ?? 0) + 1,
			lifetimeMs: LEAVING_LIFETIME_MS,
			value: {case: 'leaving', value: {$typeName: 'redwingspool.peer.v1.LeavingUpstream', upstreamId, isLeaving}},
		}, now);
	}

	/** Reports that this node applied a version of a subtree. */
	publishApplied({subtree, version, digest, bytes}: AppliedVersion, now: number): boolean {
		const {region, id} = this.membership.self;
		return this.#publish({
			key: `c/${subtree}/${region}`,
			generation: 0,
			version,
			lifetimeMs: 0,
			value: {
				case: 'config',
				value: {
					$typeName: 'redwingspool.peer.v1.AppliedConfig', subtree, region, nodeId: id, digest, bytes,
				},
			},
		}, now);
	}

	/** @returns The newest version of each subtree and region, as far as it was heard. */
	appliedVersions(): AppliedVersionUpdate[] {
		return [...this.membership.store.entries()].flatMap(({version, value}) => value.case === 'config' ? [toAppliedVersionUpdate(version, value.value)] : []);
	}

	/** Reports what this node knows about a suspected request. */
	publishSuspicion({fingerprint, crashes, isCleared, quarantinedMs}: Suspicion, now: number): boolean {
		return this.#publish({
			...this.#owned(`q/${fingerprint}`),
			lifetimeMs: SUSPICION_LIFETIME_MS,
			value: {
				case: 'suspicion',
				value: {
					$typeName: 'redwingspool.peer.v1.Suspicion', fingerprint, crashes: [...crashes], isCleared, quarantinedMs: Math.ceil(quarantinedMs),
				},
			},
		}, now);
	}

	/**
	 * Marks pressure, unless a mark that is at least as strict lasts long enough; with 360 nodes that shed at once,
	 * a mark of each would take most of the bytes a node may send.
	 */
	publishPressure(pool: string, tier: number, now: number): boolean {
		const marks = this.#pressureUntil.get(pool) ?? [];
		for (let stricter = 0; stricter <= tier; stricter += 1) {
			if ((marks[stricter] ?? 0) - now > PRESSURE_RENEWAL_MS) {
				return false;
			}
		}

		return this.#publish({
			...this.#owned(`p/${hashText(pool).toString(36)}/${tier}`),
			lifetimeMs: PRESSURE_LIFETIME_MS,
			value: {case: 'pressure', value: {$typeName: 'redwingspool.peer.v1.Pressure', pool, tier}},
		}, now);
	}

	#notePressure({pool, tier}: Pressure, until: number): void {
		const marks = this.#pressureUntil.get(pool) ?? [];
		marks[tier] = Math.max(marks[tier] ?? 0, until);
		this.#pressureUntil.set(pool, marks);
	}

	private get membership(): Membership {
		if (!this.#membership) {
			throw new Error('The topics have no membership yet.');
		}

		return this.#membership;
	}

	/** Keys of their owner, so that nodes that do not know of each other never use one version twice. */
	#owned(key: string): Pick<EntryInit, 'key' | 'generation' | 'version'> {
		this.#publications += 1;
		const {self, incarnation} = this.membership;
		return {key: `${key}/${self.id}`, generation: incarnation, version: this.#publications};
	}

	#publish(init: EntryInit, now: number): boolean {
		return this.membership.publish(init, now, true);
	}

	#notify<Topic extends keyof News>(topic: Topic, news: News[Topic]): void {
		for (const listener of this.#listeners[topic]) {
			listener(news);
		}
	}
}

function toAppliedVersionUpdate(version: number, {subtree, region, nodeId, digest, bytes}: AppliedConfig): AppliedVersionUpdate {
	return {
		subtree, region, nodeId, version, digest, bytes,
	};
}

function toSuspicion(remainingMs: number, {fingerprint, crashes, isCleared, quarantinedMs}: SuspicionMessage): Suspicion {
	return {
		fingerprint, crashes, isCleared, quarantinedMs, remainingMs,
	};
}
