/**
 * How a VM without a link finds the leader, or takes over from a lost one. The register decides between concurrent
 * claims.
 */
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {claimDelay, firstClaimDelay} from './claim-delay.js';
import {isCurrent, type LeaderRecord, type LeaderRegister} from './leader-register.js';
import {type Leader, type Member} from './messages.js';
import {type PeerCalls} from './peer-calls.js';
import {RecordKeeper} from './record-keeper.js';
import {isLater, type StoreVersion} from './store-version.js';

/** Time between two searches for the leader, in ms. */
export const SEARCH_INTERVAL_MS = 300;
/** The same while the store does not answer, in ms; longer because each call to the store is billed. */
const SEARCH_INTERVAL_WITHOUT_STORE_MS = 1000;
/** Addresses that one search without the store tries besides the last leader's; few, as the store may be back at the next search. */
const MAX_LINK_ATTEMPTS = 4;
/** Number of VMs to assume when none is known. */
const DEFAULT_VM_COUNT = 8;
/** How long a leader may be unable to reach the store before a VM that can reach it takes over, in ms. */
const LEADER_STORE_TIMEOUT_MS = 250;
/** Time between two attempts of a VM to replace such a leader, in ms; each attempt calls the store. */
const REPLACE_RETRY_MS = 2000;

/** Dependencies and callbacks of the election. */
export type LeaderElectionOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly register: LeaderRegister;
	readonly peers: PeerCalls;
	/** Link addresses of other VMs to ask when the store does not tell the leader, or when no other VM is known. */
	readonly seeds: readonly string[];
	readonly self: () => Member;
	/** The latest known leader. */
	readonly leader: () => Leader | undefined;
	/** Whether this VM is neither the leader nor linked to one. */
	readonly isAlone: () => boolean;
	readonly isLeading: () => boolean;
	/** @returns Whether this VM is now linked to the leader. */
	readonly linkTo: (address: string) => Promise<boolean>;
	/** Another VM is the leader. */
	readonly onLeaderFound: (leader: Leader) => void;
	/** This VM is the leader from now on, or was recorded again as the leader. */
	readonly onElected: (leader: Leader) => void;
};

/** Searches for the leader and claims leadership for one VM. Times are in ms of the VM's monotonic clock. */
export class LeaderElection {
	static create(options: LeaderElectionOptions): LeaderElection {
		return new LeaderElection(options);
	}

	readonly #options: LeaderElectionOptions;
	readonly #keeper: RecordKeeper;
	/** Boot ID of the last leader that was lost or could not be reached. */
	#lostBoot: string | undefined;
	#timer: Timer | undefined;
	#isSearching = false;
	#isStopped = false;
	/** Whether other VMs can link to this one. */
	#isReachable = false;
	/** Whether this VM stops as planned. */
	#isResigned = false;
	#leaderWithoutStoreSince: number | undefined;
	#replaceAttemptedAt = Number.NEGATIVE_INFINITY;

	private constructor(options: LeaderElectionOptions) {
		this.#options = options;
		this.#keeper = RecordKeeper.create({
			clock: options.clock,
			register: options.register,
			candidate: () => this.#candidate(),
			isNeeded: () => options.isLeading() && this.#isClaimant,
			onCurrent: record => {
				this.#applyClaim(record);
			},
		});
	}

	/** Number of VMs, known or assumed. */
	get vmCount(): number {
		const {length} = this.#options.state.members;
		// A leader that lost its links lists few members, but its record keeps the count of VMs known at its election.
		return Math.max(length, this.#options.leader()?.vmCount ?? (length > 0 ? 0 : DEFAULT_VM_COUNT));
	}

	/** Whether the leader that this VM is linked to cannot reach the store. */
	get isLeaderWithoutStore(): boolean {
		return this.#leaderWithoutStoreSince !== undefined;
	}

	/** Searches for the leader after a delay, and again until this VM leads or is linked. */
	scheduleSearch(delayMs: number): void {
		this.#timer?.cancel();
		this.#timer = this.#options.clock.setTimer(delayMs, () => {
			runInBackground(this.#options.log, 'search for the allocator', async () => this.#search());
		});
	}

	/** Ends the search, since this VM leads or is linked. */
	reset(): void {
		this.#timer?.cancel();
		this.#lostBoot = undefined;
		this.#leaderWithoutStoreSince = undefined;
	}

	/** Other VMs can link to this one, so that it may claim leadership. */
	noteReachable(): void {
		this.#isReachable = true;
	}

	/** Stops this VM from claiming leadership, before a planned stop. */
	resign(): void {
		this.#isResigned = true;
	}

	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
	}

	noteLeaderLost(boot: string): void {
		if (this.#lostBoot !== boot) {
			this.#lostBoot = boot;
			this.#options.log.warn('The allocator is not reached.', {boot});
		}
	}

	/**
	 * Claims leadership after a delay, unless a later leader than the one to replace is known by then.
	 *
	 * @param at - Version of the record.
	 */
	async claimAfterDelay(at: StoreVersion, replaced: Leader | undefined, delayMs: number): Promise<void> {
		const {clock, register, log} = this.#options;
		await clock.sleep(delayMs);
		if (!this.#isClaimant || this.#knowsLaterThan(replaced)) {
			return;
		}

		const claimed = await register.claim(this.#candidate(), at);
		if (claimed.isErr) {
			log.warn('Cannot take over as the allocator.', {err: claimed.error.detail});
			return;
		}

		this.#applyClaim(claimed.value);
	}

	/**
	 * Records whether the leader reaches the store, and tries to replace a leader that has been unable to for
	 * `LEADER_STORE_TIMEOUT_MS`.
	 */
	noteLeaderStoreAccess(reachesStore: boolean): void {
		if (reachesStore) {
			this.#leaderWithoutStoreSince = undefined;
			return;
		}

		const now = this.#options.clock.now();
		this.#leaderWithoutStoreSince ??= now;
		if (now - this.#leaderWithoutStoreSince >= LEADER_STORE_TIMEOUT_MS && now - this.#replaceAttemptedAt >= REPLACE_RETRY_MS) {
			this.#replaceAttemptedAt = now;
			runInBackground(this.#options.log, 'replacing the allocator', async () => this.#replaceLeader());
		}
	}

	/** Claims the record again for this VM, which leads, unless it names a leader that was claimed since the store went back. */
	async restoreRecord(): Promise<void> {
		await this.#keeper.restore();
	}

	get #isClaimant(): boolean {
		return this.#isReachable && !this.#isResigned && !this.#isStopped;
	}

	async #search(): Promise<void> {
		if (this.#isSearching || this.#isStopped || !this.#options.isAlone()) {
			return;
		}

		this.#isSearching = true;
		let delayMs = SEARCH_INTERVAL_MS;
		try {
			delayMs = await this.#findOrClaim();
		} finally {
			this.#isSearching = false;
			if (this.#options.isAlone() && !this.#isStopped) {
				this.scheduleSearch(delayMs);
			}
		}
	}

	/** @returns Time until the next search, in ms. */
	async #findOrClaim(): Promise<number> {
		const {
			register, self, linkTo, isAlone, state, random, peers, seeds,
		} = this.#options;
		const read = await register.read();
		if (read.isErr) {
			await this.#linkWithoutStore();
			return SEARCH_INTERVAL_WITHOUT_STORE_MS;
		}

		const record = read.value;
		const leader = this.#latestLeader(record);
		const isSelf = leader?.boot === self().boot;
		if (leader !== undefined && !isSelf && await linkTo(leader.linkAddress)) {
			return SEARCH_INTERVAL_MS;
		}

		if (!isCurrent(record) && (leader === undefined || record.leader?.boot !== this.#options.leader()?.boot)) {
			await this.#linkThroughOthers();
		}

		if (!isAlone() || this.#knowsLaterThan(leader)) {
			return SEARCH_INTERVAL_MS;
		}

		if (leader === undefined) {
			await this.claimAfterDelay(record.at, undefined, firstClaimDelay(self(), random));
			return SEARCH_INTERVAL_MS;
		}

		this.noteLeaderLost(leader.boot);
		if (isSelf || await peers.confirmLoss(leader, self().name, state.members, seeds)) {
			await this.claimAfterDelay(record.at, leader, claimDelay(self(), state.members, leader.boot, random));
		}

		return SEARCH_INTERVAL_MS;
	}

	/** The later one of the recorded leader and the known one: a store that went back records an earlier leader, or none. */
	#latestLeader({leader: recorded}: LeaderRecord): Leader | undefined {
		const known = this.#options.leader();
		return recorded === undefined || (known !== undefined && isLater(known.term, recorded.term)) ? known : recorded;
	}

	#knowsLaterThan(leader: Leader | undefined): boolean {
		const known = this.#options.leader();
		return known !== undefined && (leader === undefined || isLater(known.term, leader.term));
	}

	/** Without the store, tries the latest known leader, then other VMs. */
	async #linkWithoutStore(): Promise<void> {
		const {leader, self, linkTo} = this.#options;
		const known = leader();
		if (known === undefined || known.boot === self().boot || !await linkTo(known.linkAddress)) {
			await this.#linkThroughOthers();
		}
	}

	/** Tries some seeds and members, which may know the leader. */
	async #linkThroughOthers(): Promise<void> {
		const {self, linkTo, isAlone, state, seeds, random} = this.#options;
		const others = new Set([...seeds, ...state.members.map(member => member.linkAddress)]);
		others.delete(self().linkAddress);
		if (isAlone()) {
			await Promise.all(random.sample([...others], MAX_LINK_ATTEMPTS).map(async address => linkTo(address)));
		}
	}

	#candidate(): Omit<Leader, 'term'> {
		const {name, linkAddress, boot} = this.#options.self();
		return {
			name, linkAddress, boot, vmCount: this.vmCount,
		};
	}

	/** Replaces a running leader that cannot reach the store, if this VM can. */
	async #replaceLeader(): Promise<void> {
		const {
			clock, register, log, leader, self, isAlone, state, random, onLeaderFound,
		} = this.#options;
		const replaced = leader();
		if (replaced === undefined || !this.#isClaimant) {
			return;
		}

		await clock.sleep(claimDelay(self(), state.members, replaced.boot, random));
		const isStillNeeded = () => leader() === replaced && !isAlone() && this.isLeaderWithoutStore && !this.#isStopped;
		if (!isStillNeeded()) {
			return;
		}

		const read = await register.read();
		if (read.isErr || !isStillNeeded()) {
			return;
		}

		const record = read.value;
		if (isCurrent(record) && record.leader.boot !== replaced.boot) {
			onLeaderFound(record.leader);
			return;
		}

		const claimed = await register.claim(this.#candidate(), record.at);
		if (claimed.isOk && claimed.value.leader?.boot === self().boot) {
			log.warn('The allocator does not reach the store; this VM takes over.', {before: replaced.name});
			this.#applyClaim(claimed.value);
		}
	}

	/**
	 * Applies the result of a claim, unless its term had already ended when the answer arrived, or the store went back
	 * meanwhile.
	 */
	#applyClaim(record: LeaderRecord): void {
		const {leader, self, onElected, onLeaderFound} = this.#options;
		if (!isCurrent(record)) {
			return;
		}

		const known = leader();
		const elected = record.leader;
		if (elected.boot !== self().boot) {
			onLeaderFound(elected);
		} else if (!this.#isStopped && (known === undefined || isLater(elected.term, known.term) || elected.boot === known.boot)) {
			// The store watch may have reported this VM's own claim before the answer to it arrived.
			onElected(elected);
		}
	}
}
