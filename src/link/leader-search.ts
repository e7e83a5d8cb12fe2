/**
 * How a VM that is linked to nobody finds the VM that allocates for all, or takes over from one that is gone. The
 * register decides between VMs that claim at once.
 */
import {MIN_REACHED_SHARE} from '../allocation/scope.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {type LeaderRegister} from './leader-register.js';
import {type Leader, type Member} from './messages.js';
import {type PeerCalls} from './peer-calls.js';

/** Time between two looks for the allocator, in ms. */
export const SEEK_MS = 300;
/** The same while the store does not answer, in ms: each call is paid for. */
const SEEK_WITHOUT_STORE_MS = 1000;
/** Head start of each VM over the next weaker one when the allocator is lost, in ms: a claim takes about 50 ms. */
const RANK_DELAY_MS = 120;
/** Longest wait of a weak VM, in ms. */
const MAX_RANK_DELAY_MS = 1500;
/** Where no other VM is known, a VM waits this long for each unit that its strength is below that of an ample VM, in ms. */
const FIRST_CLAIM_MS = 250;
const AMPLE_STRENGTH = 0.7;
/** And a little by chance, in ms: two claims at once cost a call. */
const FIRST_CLAIM_SPREAD_MS = 40;
/** VMs that are asked for the allocator in one look without the store: the store may be back at the next. */
const MAX_ASKED = 4;
/** VMs that are assumed where none is known. */
const ASSUMED_VMS = 8;
/** How long an allocator may be without the store before a VM that reaches it takes over, in ms. */
const WITHOUT_STORE_MS = 250;
/** Time between two attempts of a VM to replace such an allocator, in ms; each needs a call to the store. */
const REPLACE_AGAIN_MS = 2000;

/** What the search asks of the VM, and tells it. */
export type SearchOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly register: LeaderRegister;
	readonly peers: PeerCalls;
	/** Link addresses to ask when the store does not answer. */
	readonly seeds: readonly string[];
	readonly self: () => Member;
	/** The allocator that was known last. */
	readonly leader: () => Leader | undefined;
	/** Whether this VM is linked to no allocator and does not allocate for others. */
	readonly isAlone: () => boolean;
	/** @returns Whether this VM is linked now. */
	readonly linkTo: (address: string) => Promise<boolean>;
	/** Another VM allocates. */
	readonly onFound: (leader: Leader) => void;
	/** This VM allocates from now on. */
	readonly onClaimed: (leader: Leader) => void;
};

/** The search of one VM. Times in ms of the VM's monotonic clock. */
export class LeaderSearch {
	static create(options: SearchOptions): LeaderSearch {
		return new LeaderSearch(options);
	}

	readonly #options: SearchOptions;
	/** Boot of an allocator that was lost or could not be reached. */
	#lostBoot: string | undefined;
	#timer: Timer | undefined;
	#isLooking = false;
	#isStopped = false;
	#mayClaim = true;
	#leaderWithoutStoreSince: number | undefined;
	#replaceTriedAt = Number.NEGATIVE_INFINITY;

	private constructor(options: SearchOptions) {
		this.#options = options;
	}

	/** VMs that are known or assumed. */
	get vmCount(): number {
		const {length} = this.#options.state.members;
		// An allocator that lost its links knows of few; it took over from more.
		return Math.max(length, this.#options.leader()?.vmCount ?? (length > 0 ? 0 : ASSUMED_VMS));
	}

	/** Whether the allocator that this VM is linked to does not reach the store. */
	get isLeaderWithoutStore(): boolean {
		return this.#leaderWithoutStoreSince !== undefined;
	}

	/** Looks for the allocator after a while, and again until this VM is alone no more. */
	startIn(delayMs: number): void {
		this.#timer?.cancel();
		this.#timer = this.#options.clock.setTimer(delayMs, () => {
			void this.#seek();
		});
	}

	/** This VM is linked or allocates. */
	end(): void {
		this.#timer?.cancel();
		this.#lostBoot = undefined;
		this.#leaderWithoutStoreSince = undefined;
	}

	/** This VM takes over from nobody any more. */
	resign(): void {
		this.#mayClaim = false;
	}

	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
	}

	noteLost(boot: string): void {
		if (this.#lostBoot !== boot) {
			this.#lostBoot = boot;
			this.#options.log.warn('The allocator is not reached.', {boot});
		}
	}

	/** Takes over from the allocator of a term, unless another VM has done so by then. */
	async claimLater(term: number, delayMs: number): Promise<void> {
		const {clock, register, log, leader} = this.#options;
		await clock.sleep(delayMs);
		if (this.#isStopped || !this.#mayClaim || (leader()?.term ?? 0) > term) {
			return;
		}

		const claimed = await register.claim(this.#candidate(), term);
		if (claimed.isErr) {
			log.warn('Cannot take over as the allocator.', {err: claimed.error.detail});
			return;
		}

		this.#take(claimed.value);
	}

	/**
	 * The allocator tells whether it reaches the store; a VM that does takes over from one that does not.
	 */
	noteReach(reachesStore: boolean): void {
		if (reachesStore) {
			this.#leaderWithoutStoreSince = undefined;
			return;
		}

		const now = this.#options.clock.now();
		this.#leaderWithoutStoreSince ??= now;
		if (now - this.#leaderWithoutStoreSince >= WITHOUT_STORE_MS && now - this.#replaceTriedAt >= REPLACE_AGAIN_MS) {
			this.#replaceTriedAt = now;
			void this.#replace();
		}
	}

	async #seek(): Promise<void> {
		if (this.#isLooking || this.#isStopped || !this.#options.isAlone()) {
			return;
		}

		this.#isLooking = true;
		const nextMs = await this.#look();
		this.#isLooking = false;
		if (this.#options.isAlone() && !this.#isStopped) {
			this.startIn(nextMs);
		}
	}

	/** @returns Ms until the next look. */
	async #look(): Promise<number> {
		const {register, self, linkTo} = this.#options;
		const read = await register.read();
		if (read.isErr) {
			await this.#linkToKnown();
			return SEEK_WITHOUT_STORE_MS;
		}

		const leader = read.value;
		if (leader === undefined) {
			await this.claimLater(0, this.#firstClaimDelay());
			return SEEK_MS;
		}

		const isOwn = leader.boot === self().boot;
		if (!isOwn && await linkTo(leader.linkAddress)) {
			return SEEK_MS;
		}

		this.noteLost(leader.boot);
		if (isOwn || await this.#isGone(leader)) {
			await this.claimLater(leader.term, this.#rankDelay(leader));
		}

		return SEEK_MS;
	}

	/** Without the store: the allocator that was known last, and what the seeds know. */
	async #linkToKnown(): Promise<void> {
		const {leader, self, linkTo, isAlone, state, seeds, random} = this.#options;
		const known = leader();
		if (known !== undefined && known.boot !== self().boot && await linkTo(known.linkAddress)) {
			return;
		}

		const others = new Set([...seeds, ...state.members.map(member => member.linkAddress)]);
		others.delete(self().linkAddress);
		if (isAlone()) {
			await Promise.all(random.sample([...others], MAX_ASKED).map(async address => linkTo(address)));
		}
	}

	#candidate(): Omit<Leader, 'term'> {
		const {name, linkAddress, boot} = this.#options.self();
		return {
			name, linkAddress, boot, vmCount: this.vmCount,
		};
	}

	/** Whether no VM that can be reached still hears the allocator. */
	async #isGone(leader: Leader): Promise<boolean> {
		const {state, self, peers} = this.#options;
		const others = state.members.filter(member => member.name !== self().name && member.boot !== leader.boot);
		if (others.length === 0) {
			return true;
		}

		const sights = await Promise.all(others.map(async member => peers.hears(member.linkAddress, leader.boot)));
		const reached = sights.filter(sight => sight !== undefined).length;
		return !sights.includes(true) && reached >= MIN_REACHED_SHARE * others.length;
	}

	/** Where no other VM is known: the stronger, the sooner, and a little by chance. */
	#firstClaimDelay(): number {
		const {self, random} = this.#options;
		const missing = Math.max(0, AMPLE_STRENGTH - self().strength);
		return (FIRST_CLAIM_MS * missing) + (FIRST_CLAIM_SPREAD_MS * random.next());
	}

	/** Stronger VMs go first; VMs that are known to be gone are left out. */
	#rankDelay(leader: Leader): number {
		const {state, self} = this.#options;
		if (state.members.length === 0) {
			return this.#firstClaimDelay();
		}

		const {strength, name} = self();
		const stronger = state.members.filter(member => member.boot !== leader.boot
			&& (member.strength > strength || (member.strength === strength && member.name < name)));
		return Math.min(MAX_RANK_DELAY_MS, stronger.length * RANK_DELAY_MS);
	}

	/** Takes over from an allocator that lives but does not reach the store, while this VM does. */
	async #replace(): Promise<void> {
		const {clock, register, log, leader, self, isAlone, onFound} = this.#options;
		const replaced = leader();
		if (replaced === undefined || !this.#mayClaim) {
			return;
		}

		await clock.sleep(this.#rankDelay(replaced));
		const isStill = () => leader() === replaced && !isAlone() && this.isLeaderWithoutStore && !this.#isStopped;
		if (!isStill()) {
			return;
		}

		const read = await register.read();
		if (read.isErr || read.value === undefined || !isStill()) {
			return;
		}

		if (read.value.boot !== replaced.boot) {
			onFound(read.value);
			return;
		}

		const claimed = await register.claim(this.#candidate(), read.value.term);
		if (claimed.isOk && claimed.value.boot === self().boot) {
			log.warn('The allocator does not reach the store; this VM takes over.', {before: replaced.name});
			this.#take(claimed.value);
		}
	}

	/** Takes what the register says, unless the term was over when its answer came. */
	#take(claimed: Leader): void {
		const {leader, self, onClaimed, onFound} = this.#options;
		const known = leader();
		if (claimed.boot !== self().boot) {
			onFound(claimed);
		} else if (!this.#isStopped && (known === undefined || claimed.term > known.term || claimed.boot === known.boot)) {
			// The watch of the store may have told of this VM's own claim before.
			onClaimed(claimed);
		}
	}
}
