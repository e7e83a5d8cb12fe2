/**
 * Messages between a VM and the VM that allocates for all. Both run the same version of the program.
 */
import {type PlaceRequest, type HeldPlace, type PlaceReport} from '../allocation/allocation.js';
import {type ErrorKind} from '../base/errors.js';
import {type Configuration} from '../gateway/routing-table.js';
import {type Upstream, type UpstreamBoot} from '../gateway/upstream-list.js';

/** A VM as the others know it. */
export type Member = {
	readonly name: string;
	/** Address for callers, as `IP:PORT`. */
	readonly frontAddress: string;
	/** Address for other VMs, as `IP:PORT`. */
	readonly linkAddress: string;
	readonly dataCentre: string;
	readonly region: string;
	/** Processor and link that it has, to choose the allocator by; greater is better. */
	readonly strength: number;
	/** Unique for each start of the process. */
	readonly boot: string;
	/** Takes callers. */
	readonly isReady: boolean;
};

/** Who allocates. */
export type Leader = {
	readonly name: string;
	readonly linkAddress: string;
	readonly boot: string;
	/** Rises with each change of the allocator. */
	readonly term: number;
	/** VMs that the allocator knew of when it took over; a VM that starts anew knows of none. */
	readonly vmCount: number;
};

/** From a VM to the allocator. */
export type ToLeader =
	/** `isBlank`: the VM has no configuration, so that any VM should tell what it knows. */
	| {readonly kind: 'hello'; readonly member: Member; readonly isBlank: boolean}
	/** Follows the welcome; until then places are freed without the allocator's knowledge. */
	| {readonly kind: 'places'; readonly places: readonly HeldPlace[]}
	| {readonly kind: 'member'; readonly member: Member}
	| {readonly kind: 'ask'; readonly ask: PlaceRequest}
	| {readonly kind: 'withdraw'; readonly id: string}
	| {readonly kind: 'first'; readonly id: string; readonly ms: number}
	| {readonly kind: 'release'; readonly id: string; readonly report: PlaceReport}
	/** Upstreams that told the VM that they leave. */
	| {readonly kind: 'leaving'; readonly boots: readonly UpstreamBoot[]}
	/** The VM cannot read the configuration from the store. */
	| {readonly kind: 'need-configuration'}
	| {readonly kind: 'beat'};

/** From the allocator to a VM. */
export type FromLeader =
	/** This VM does not allocate; `leader` is who does, where it knows. A blank VM is told configuration and upstreams before. */
	| {readonly kind: 'not-leader'; readonly leader: Leader | undefined}
	/** Answers a hello. */
	| {readonly kind: 'welcome'; readonly leader: Leader}
	| {readonly kind: 'grant'; readonly id: string; readonly upstreamId: string; readonly expectedFirstMs: number}
	| {readonly kind: 'refuse'; readonly id: string; readonly error: ErrorKind; readonly retryAfterMs: number}
	| {readonly kind: 'upstreams'; readonly isWhole: boolean; readonly changed: readonly Upstream[]; readonly removed: readonly string[]}
	/** VMs that joined or changed, and names of those that left; `isWhole` starts a new list. */
	| {readonly kind: 'members'; readonly isWhole: boolean; readonly changed: readonly Member[]; readonly removed: readonly string[]}
	/** The receiver should allocate from now on. */
	| {readonly kind: 'take-over'}
	/** A configuration is in the store that is too large to be sent; VMs read it there. */
	| {readonly kind: 'version'; readonly version: number}
	/** What is in force at the allocator. */
	| {readonly kind: 'configuration'; readonly configuration: Configuration}
	/** Learnt factors of upstreams, for a successor. */
	| {readonly kind: 'paces'; readonly paces: ReadonlyArray<readonly [upstreamId: string, factor: number]>}
	/** Sent when nothing else was; tells whether the allocator reaches the store. */
	| {readonly kind: 'beat'; readonly reachesStore: boolean};

/** Between any two VMs, on a connection of its own. */
export type ToPeer =
	/** A VM has become the allocator. */
	| {readonly kind: 'leading'; readonly leader: Leader}
	/** Asks whether the receiver hears this allocator. */
	| {readonly kind: 'probe'; readonly leaderBoot: string};

/** Answer to a probe. */
export type FromPeer = {readonly kind: 'sight'; readonly hearsLeader: boolean};
