/**
 * Messages between VMs, which all run the same version of the program.
 */
import {type PlaceRequest, type HeldPlace, type PlaceReport} from '../allocation/allocation.js';
import {type StatedPace} from '../allocation/momentary-pace.js';
import {type ErrorKind} from '../base/errors.js';
import {type Configuration} from '../gateway/routing-table.js';
import {type AgedLimit} from '../gateway/upstream-limits.js';
import {type Departure} from '../gateway/departed-upstreams.js';
import {type UpstreamBoot} from '../gateway/upstream-boot.js';
import {type Upstream} from '../gateway/upstream-list.js';
import {type PoolVersions, type RolloutsMessage} from '../rollout/rollout-record.js';
import {type Suspicion} from '../policy/suspicion.js';
import {type StoreVersion} from './store-version.js';

/** What the other VMs know about a VM. */
export type Member = {
	readonly name: string;
	/** Address for callers, as `IP:PORT`. */
	readonly frontAddress: string;
	/** Address for other VMs, as `IP:PORT`. */
	readonly linkAddress: string;
	/** Address for operators, as `IP:PORT`, if the VM tells it. */
	readonly operatorAddress?: string;
	readonly dataCentre: string;
	readonly region: string;
	/** Relative CPU and network capacity, by which the leader is elected; higher is better. */
	readonly strength: number;
	/** Unique for each start of the process. */
	readonly boot: string;
	/** Whether the VM accepts callers. */
	readonly isReady: boolean;
};

/** The VM whose allocator decides for all VMs. */
export type Leader = {
	readonly name: string;
	readonly linkAddress: string;
	readonly boot: string;
	/** Version at which the leader was recorded, in the era that its claim was made for; increases with each claim. */
	readonly term: StoreVersion;
	/** Number of VMs that the leader knew of when it was elected; a restarted VM knows of none. */
	readonly vmCount: number;
};

/** From a VM to the leader. */
export type ToLeader =
	/** `configurationVersion`: version in force at the VM; with 0 it has none, and any VM that receives this should send what it has. */
	| {readonly kind: 'hello'; readonly member: Member; readonly configurationVersion: number}
	/** Sent after the welcome, since the leader does not learn of places released before it. */
	| {readonly kind: 'places'; readonly places: readonly HeldPlace[]}
	| {readonly kind: 'member'; readonly member: Member}
	| {readonly kind: 'ask'; readonly ask: PlaceRequest}
	| {readonly kind: 'withdraw'; readonly id: string}
	/** `pace`: what the upstream stated in the head of the answer. */
	| {readonly kind: 'first'; readonly id: string; readonly ms: number; readonly pace?: StatedPace}
	| {readonly kind: 'release'; readonly id: string; readonly report: PlaceReport}
	/** Upstreams that announced to the VM that they are leaving. */
	| {readonly kind: 'leaving'; readonly boots: readonly UpstreamBoot[]}
	/** Upstreams that were removed; sent after the welcome, since a store that went back lists them again. */
	| {readonly kind: 'departed'; readonly departures: readonly Departure[]}
	/** Limits that upstreams stated to the VM; after the welcome, all limits that it knows. */
	| {readonly kind: 'limits'; readonly limits: readonly AgedLimit[]}
	/** What the VM knows of features of requests that crash upstreams; sent after the welcome, and when an operator lifts a quarantine there. */
	| {readonly kind: 'suspicions'; readonly suspicions: readonly Suspicion[]}
	/** What the VM knows of roll-outs; sent after the welcome. */
	| {readonly kind: 'rollouts'; readonly rollouts: readonly PoolVersions[]}
	/** The VM acts on the state of the roll-outs with this number. */
	| {readonly kind: 'rollouts-known'; readonly revision: number}
	/** The VM stops as planned and never claims leadership again; sent before its link ends. */
	| {readonly kind: 'resigned'}
	/** The VM cannot read the configuration from the store. */
	| {readonly kind: 'need-configuration'}
	/** The configuration in force at the VM, which the leader has asked for. */
	| {readonly kind: 'configuration'; readonly configuration: Configuration}
	| {readonly kind: 'beat'};

/** From the leader, or a VM mistaken for it, to a VM. */
export type FromLeader =
	/** The sender is not the leader; `leader` is the one it knows of. A blank VM is sent upstreams and configuration first. */
	| {readonly kind: 'not-leader'; readonly leader: Leader | undefined}
	/** The leader's answer to a hello. */
	| {readonly kind: 'welcome'; readonly leader: Leader}
	| {readonly kind: 'grant'; readonly id: string; readonly upstreamId: string; readonly expectedFirstMs: number}
	| {readonly kind: 'refuse'; readonly id: string; readonly error: ErrorKind; readonly retryAfterMs: number}
	| {readonly kind: 'upstreams'; readonly isWhole: boolean; readonly changed: readonly Upstream[]; readonly removed: readonly string[]}
	/** Upstreams that were removed before the store went back and listed them again; to a VM that has just linked, all that were removed. */
	| {readonly kind: 'departed'; readonly departures: readonly Departure[]}
	/** Limits of upstreams that changed, or to a VM that has just linked, all in force. */
	| {readonly kind: 'limits'; readonly limits: readonly AgedLimit[]}
	/** Features that were in several crashes or are quarantined, and those that are cleared; to a VM that has just linked, all of them. */
	| {readonly kind: 'suspicions'; readonly suspicions: readonly Suspicion[]}
	/** The versions in force of all pools, and their roll-outs; `revision` rises with each change under one leader. */
	| RolloutsMessage
	/** VMs that joined or changed, and names of those that left; `isWhole` replaces the list. */
	| {readonly kind: 'members'; readonly isWhole: boolean; readonly changed: readonly Member[]; readonly removed: readonly string[]}
	/** The leader was recorded again, since the store had gone back; the link stays. */
	| {readonly kind: 'renewed'; readonly leader: Leader}
	/** Asks the receiver to claim leadership. */
	| {readonly kind: 'take-over'}
	/** Version of a configuration that is too large to send; VMs read it from the store. */
	| {readonly kind: 'version'; readonly version: number}
	/** The configuration in force at the leader. */
	| {readonly kind: 'configuration'; readonly configuration: Configuration}
	/** The VM said that it has a later configuration than the leader. */
	| {readonly kind: 'need-configuration'}
	/** Learned pace factors of upstreams, for a successor. */
	| {readonly kind: 'paces'; readonly paces: ReadonlyArray<readonly [upstreamId: string, factor: number]>}
	/** Heartbeat, sent when nothing else was, always while the leader cannot reach the store, and when it reaches it again. */
	| {readonly kind: 'beat'; readonly reachesStore: boolean};

/** Between any two VMs, each on a separate connection. */
export type ToPeer =
	/** The sender has become the leader. */
	| {readonly kind: 'leading'; readonly leader: Leader}
	/** Asks whether the receiver is connected to this leader. */
	| {readonly kind: 'probe'; readonly leaderBoot: string};

/** Answer to a probe. */
export type FromPeer = {readonly kind: 'sight'; readonly hearsLeader: boolean};
