/**
 * Typed publish/subscribe over gossip for everything except member entries.
 */
import {
	type AppliedConfig, type Entry, type Pressure, type Suspicion as SuspicionMessage,
} from '../peer/generated/redwingspool/peer/v1/peer_pb.js';
import {type Suspicion} from '../policy/suspicion.js';
import {hashText} from './hash.js';
import {type EntryInit} from './entry-version.js';
import {type Membership} from './membership.js';

/** `publishLeaving` publishes the entry again at half of this lifetime while the upstream is still leaving. */
const LEAVING_LIFETIME_MS = 2 * 60 * 60_000;
const SUSPICION_LIFETIME_MS = 10 * 60_000;
/** Time for which other nodes admit nothing below a tier under pressure. */
export const PRESSURE_LIFETIME_MS = 3000;
/** No pressure entry is published while a known one that is at least as strict has more than this left. */
const PRESSURE_RENEWAL_THRESHOLD_MS = 2000;

/** States that an upstream accepts no new work, or accepts it again. */
export type LeavingUpdate = {
	readonly upstreamId: string;
	readonly isLeaving: boolean;
};

/** A version of a settings subtree with the digest and size of its body. */
export type AppliedVersion = {
	readonly subtree: string;
	readonly version: number;
	/** SHA-256 of the body in hex. */
	readonly digest: string;
	/** Size of the body in bytes. */
	readonly bytes: number;
};

/** The highest version of a settings subtree that a node of a region applied. */
export type AppliedVersionUpdate = AppliedVersion & {
	readonly region: string;
	/** The node that reported the version first. */
	readonly nodeId: string;
};

/** No request of a tier below this one may be admitted in the pool for the remaining time. */
export type PressureUpdate = {
	readonly pool: string;
	readonly tier: number;
	readonly remainingMs: number;
};

type TopicUpdates = {
	leaving: LeavingUpdate;
	config: AppliedVersionUpdate;
	suspicion: Suspicion;
	pressure: PressureUpdate;
};

type Listener<Topic extends keyof TopicUpdates> = (update: TopicUpdates[Topic]) => void;

type Listeners = {[Topic in keyof TopicUpdates]: Set<Listener<Topic>>};

/** The topics of one node. Subscribers receive each published version once, including those of this node. */
export class Topics {
	static create(): Topics {
		return new Topics();
	}

	readonly #listeners: Listeners = {
		leaving: new Set(), config: new Set(), suspicion: new Set(), pressure: new Set(),
	};

	/** Latest expiry of pressure by pool and tier. Scanning all entries at each shed request instead would be slow. */
	readonly #pressureExpiry = new Map<string, number[]>();
	#membership: Membership | undefined;
	#publicationCount = 0;

	private constructor() {
		// The membership is set later by `attach`, so that subscribers can register first.
	}

	/** Sets the membership to publish through. Its `onEntry` must be `accept`. */
	attach(membership: Membership): void {
		this.#membership = membership;
	}

	/** @returns A function that ends the subscription. */
	subscribe<Topic extends keyof TopicUpdates>(topic: Topic, listener: Listener<Topic>): () => void {
		this.#listeners[topic].add(listener);
		return () => {
			this.#listeners[topic].delete(listener);
		};
	}

	/** Notifies the subscribers of a new entry. To be passed to the membership as `onEntry`. */
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
				this.#recordPressure(value.value, now + entry.remainingMs);
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
	 * Publishes that an upstream is leaving, or that it serves again. A source that lags, such as the VM list, must not
	 * report `false` merely because it does not yet show an upstream as leaving. May be called at every poll.
	 *
	 * @returns Whether an entry was published.
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

	/** Publishes that this node applied a version of a subtree. */
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

	/** @returns The newest known version for each subtree and region. */
	appliedVersions(): AppliedVersionUpdate[] {
		return [...this.membership.store.entries()].flatMap(({version, value}) => value.case === 'config' ? [toAppliedVersionUpdate(version, value.value)] : []);
	}

	/** Publishes this node's evidence about a request that is suspected of crashing upstreams. */
	publishSuspicion({feature, crashes, isCleared, quarantinedMs}: Suspicion, now: number): boolean {
		return this.#publish({
			...this.#createOwnedKey(`q/${feature}`),
			lifetimeMs: SUSPICION_LIFETIME_MS,
			value: {
				case: 'suspicion',
				value: {
					$typeName: 'redwingspool.peer.v1.Suspicion', fingerprint: feature, crashes: [...crashes], isCleared, quarantinedMs: Math.ceil(quarantinedMs),
				},
			},
		}, now);
	}

	/**
	 * Publishes pressure for a tier, unless a known entry that is at least as strict lasts long enough. If each of 360
	 * nodes that shed at once published its own entry, these would take most of the bytes that a node may send.
	 */
	publishPressure(pool: string, tier: number, now: number): boolean {
		const expiryByTier = this.#pressureExpiry.get(pool) ?? [];
		for (let noticeTier = 0; noticeTier <= tier; noticeTier += 1) {
			if ((expiryByTier[noticeTier] ?? 0) - now > PRESSURE_RENEWAL_THRESHOLD_MS) {
				return false;
			}
		}

		return this.#publish({
			...this.#createOwnedKey(`p/${hashText(pool).toString(36)}/${tier}`),
			lifetimeMs: PRESSURE_LIFETIME_MS,
			value: {case: 'pressure', value: {$typeName: 'redwingspool.peer.v1.Pressure', pool, tier}},
		}, now);
	}

	#recordPressure({pool, tier}: Pressure, expiresAt: number): void {
		const expiryByTier = this.#pressureExpiry.get(pool) ?? [];
		expiryByTier[tier] = Math.max(expiryByTier[tier] ?? 0, expiresAt);
		this.#pressureExpiry.set(pool, expiryByTier);
	}

	private get membership(): Membership {
		if (!this.#membership) {
			throw new Error('Topics.attach() must be called before entries are published or read.');
		}

		return this.#membership;
	}

	/** Adds this node's ID to a key, so that nodes that do not know of each other never publish the same version of it. */
	#createOwnedKey(key: string): Pick<EntryInit, 'key' | 'generation' | 'version'> {
		this.#publicationCount += 1;
		const {self, incarnation} = this.membership;
		return {key: `${key}/${self.id}`, generation: incarnation, version: this.#publicationCount};
	}

	#publish(init: EntryInit, now: number): boolean {
		return this.membership.publish(init, now, true);
	}

	#notify<Topic extends keyof TopicUpdates>(topic: Topic, update: TopicUpdates[Topic]): void {
		for (const listener of this.#listeners[topic]) {
			listener(update);
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
		feature: fingerprint, crashes, isCleared, quarantinedMs, remainingMs,
	};
}
