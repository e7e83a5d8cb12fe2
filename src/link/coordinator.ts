/**
 * Which VM allocates for all, as one VM sees it: it allocates itself, is linked to the VM that does, or decides alone
 * for the time in which it finds none. The allocator is written down in the store; a VM takes over when it has lost the
 * allocator and no VM that it reaches still hears it. Two allocators at once cost quality, never a rule: what a request
 * may do is checked at the VM that has it.
 */
import {once} from 'node:events';
import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {type Allocator} from '../allocation/allocator.js';
import {type SwitchedAllocation} from '../allocation/switched-allocation.js';
import {splitAddress} from '../base/address.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {LeaderClient} from './leader-client.js';
import {LeaderHost} from './leader-host.js';
import {type LeaderRegister} from './leader-register.js';
import {LineChannel} from './line-channel.js';
import {
	type FromLeader, type FromPeer, type Leader, type Member, type ToLeader, type ToPeer,
} from './messages.js';

/** Time to connect to another VM, in ms: two ways between regions, a lost packet and a busy processor. */
const CONNECT_MS = 700;
/** Time between two looks for the allocator, in ms. */
const SEEK_MS = 300;
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
/** An allocator leaves its place to a VM that is this many times stronger, once it has allocated for a while. */
const MUCH_STRONGER = 1.8;
const HAND_OVER_AFTER_MS = 2500;
/** Time for a successor to take over at a planned stop, in ms. */
const HAND_OVER_MS = 500;
/** How long an allocator may be without the store before a VM that reaches it takes over, in ms. */
const WITHOUT_STORE_MS = 250;
/** Time between two attempts of a VM to replace such an allocator, in ms; each needs a call to the store. */
const REPLACE_AGAIN_MS = 2000;
/** A VM that lost the allocator watches the store itself after this time, in ms; mostly another allocates by then. */
const WATCH_DELAY_MS = 700;
/** The same at the start of a process, in ms, which has no list of upstreams to go on with. */
const FIRST_WATCH_DELAY_MS = 450;
/** Part of the known VMs that must be reached, running or not, before a VM may think that the allocator is gone. */
const MIN_REACHED_SHARE = 0.25;
/** Part of a quota's burst that a new allocator may grant at once; the one before may have granted the rest just now. */
const SUCCESSOR_FULLNESS = 0.1;
/** Part of a VM's even share of the quotas that it grants alone; the allocator may still grant the whole quota. */
const ALONE_SHARE = 0.5;
/** Part of that share's burst that it may grant at once. */
const ALONE_FULLNESS = 0.5;
/** How long requests wait for the allocator after the start of a process, in ms, before the VM decides alone. */
const FIRST_LINK_MS = 350;
/** VMs that are assumed where none is known. */
const ASSUMED_VMS = 8;

/** What the coordinator works with. */
export type CoordinatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly allocator: Allocator;
	readonly allocation: SwitchedAllocation;
	readonly register: LeaderRegister;
	/** This VM; `isReady` is kept up to date by `setReady`. */
	readonly self: Member;
	/** Link addresses to ask when the store does not answer. */
	readonly seeds: readonly string[];
	/** Whether this process reached the store lately. */
	readonly reachesStore: () => boolean;
	/** The allocator knows of this version, which is too large to be sent; it is read from the store. */
	readonly onVersion: (version: number) => void;
	/** This process must watch the store itself from now on, or need no longer. */
	readonly onWatchNeeded: (isNeeded: boolean) => void;
};

/** How a VM takes part. */
export const Role = {
	Leading: 'leading',
	Linked: 'linked',
	Alone: 'alone',
} as const;

export type Role = (typeof Role)[keyof typeof Role];

/** The coordinator of one VM. */
export class Coordinator {
	static create(options: CoordinatorOptions): Coordinator {
		return new Coordinator(options);
	}

	readonly #options: CoordinatorOptions;
	readonly #host: LeaderHost;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	/** Attempts to link that are under way, by address. */
	readonly #linkings = new Map<string, Promise<boolean>>();
	#self: Member;
	#role: Role = Role.Alone;
	#leader: Leader | undefined;
	#client: LeaderClient | undefined;
	/** Boot of an allocator that was lost or could not be reached. */
	#lostBoot: string | undefined;
	#leaderWithoutStoreSince: number | undefined;
	#replaceTriedAt = Number.NEGATIVE_INFINITY;
	#seekTimer: Timer | undefined;
	#watchTimer: Timer | undefined;
	#aloneTimer: Timer | undefined;
	/** An allocation was in use since the start of the process. */
	#hasDecided = false;
	#isSeeking = false;
	#isStopped = false;
	#isResigned = false;

	private constructor(options: CoordinatorOptions) {
		this.#options = options;
		this.#self = options.self;
		this.#host = LeaderHost.create({
			clock: options.clock,
			log: options.log,
			state: options.state,
			allocator: options.allocator,
			self: () => this.#self,
			reachesStore: options.reachesStore,
		});
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		options.state.listen({
			onUpstreams: changes => {
				if (this.#role === Role.Leading) {
					this.#host.publishUpstreams(changes);
				}
			},
			onLeaving: boots => {
				this.#client?.send({kind: 'leaving', boots});
			},
			onTable: () => {
				if (this.#role === Role.Leading) {
					this.#host.publishConfiguration();
				}
			},
		});
	}

	get role(): Role {
		return this.#role;
	}

	/** Listens for other VMs and looks for the allocator. */
	async start(): Promise<void> {
		const {host, port} = splitAddress(this.#self.linkAddress);
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		this.#becomeAlone();
	}

	/** Stops to allocate for others, so that another VM takes over while this one still serves its callers. */
	resign(): void {
		this.#isResigned = true;
		if (this.#role === Role.Leading) {
			this.#options.log.info('Resigned as the allocator.');
			const canWait = this.#host.handOver(0);
			this.#options.clock.setTimer(canWait ? HAND_OVER_MS : 0, () => {
				if (this.#role === Role.Leading) {
					this.#host.stop();
					this.#becomeAlone();
				}
			});
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#seekTimer?.cancel();
		this.#watchTimer?.cancel();
		this.#aloneTimer?.cancel();
		this.#client?.close();
		this.#host.stop();
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Tells the other VMs whether callers may be sent here. */
	setReady(isReady: boolean): void {
		if (this.#self.isReady === isReady) {
			return;
		}

		this.#self = {...this.#self, isReady};
		if (this.#role === Role.Leading) {
			this.#host.publishMembers();
		} else {
			this.#client?.send({kind: 'member', member: this.#self});
		}
	}

	/** The store names an allocator; a later term replaces an earlier one. */
	noteLeader(leader: Leader): void {
		if (leader.term <= (this.#leader?.term ?? 0) || this.#isStopped) {
			return;
		}

		this.#leader = leader;
		if (leader.boot === this.#self.boot) {
			return;
		}

		this.#options.log.info('Another VM allocates.', {vm: leader.name, term: leader.term});
		if (this.#role === Role.Leading) {
			this.#host.stop();
		}

		// A look that is under way may wait for a VM that is gone; the new allocator is linked to without it.
		this.#becomeAlone(SEEK_MS);
		void this.#linkTo(leader.linkAddress);
	}

	/** Asks the allocator for the configuration, where the store does not give it. */
	requestConfiguration(): void {
		this.#client?.send({kind: 'need-configuration'});
	}

	/** @param seekMs - Time until this VM looks for the allocator. */
	#becomeAlone(seekMs = 0): void {
		const {
			clock, allocator, allocation, onWatchNeeded,
		} = this.#options;
		this.#role = Role.Alone;
		this.#closeClient();
		const vms = this.#vmCount();
		allocator.restart({share: ALONE_SHARE / vms, quotaFullness: ALONE_FULLNESS, isAlone: true});
		allocator.adopt(allocation.places);
		this.#decideAlone();
		this.#watchTimer?.cancel();
		this.#watchTimer = clock.setTimer(this.#hasDecided ? WATCH_DELAY_MS : FIRST_WATCH_DELAY_MS, () => {
			onWatchNeeded(this.#role !== Role.Linked);
		});
		this.#seekSoon(seekMs);
	}

	#becomeLeading(leader: Leader): void {
		const {allocator, allocation, log, onWatchNeeded} = this.#options;
		this.#role = Role.Leading;
		this.#closeClient();
		this.#leader = leader;
		this.#seekTimer?.cancel();
		this.#hasDecided = true;
		allocator.restart({share: 1, quotaFullness: SUCCESSOR_FULLNESS, isAlone: false});
		allocator.adopt(allocation.places);
		allocation.use(allocator);
		log.info('This VM allocates.', {term: leader.term});
		onWatchNeeded(true);
		this.#host.start(leader);
		this.#options.clock.setTimer(HAND_OVER_AFTER_MS, () => {
			if (this.#role === Role.Leading && this.#leader === leader) {
				this.#host.handOver(this.#self.strength * MUCH_STRONGER);
			}
		});
		for (const {linkAddress, name} of this.#options.state.members) {
			if (name !== this.#self.name) {
				void this.#tell(linkAddress, {kind: 'leading', leader});
			}
		}
	}

	#becomeLinked(client: LeaderClient, leader: Leader): void {
		const {allocation, log, onWatchNeeded} = this.#options;
		this.#client = client;
		this.#role = Role.Linked;
		this.#leader = leader;
		this.#lostBoot = undefined;
		this.#leaderWithoutStoreSince = undefined;
		this.#seekTimer?.cancel();
		this.#watchTimer?.cancel();
		log.info('Linked to the allocator.', {vm: leader.name, term: leader.term});
		this.#hasDecided = true;
		const {leaving} = this.#options.state.upstreams;
		if (leaving.length > 0) {
			client.send({kind: 'leaving', boots: leaving});
		}

		client.send({kind: 'places', places: allocation.places});
		allocation.use(client);
		onWatchNeeded(false);
	}

	/** Decides for this VM's own requests; at the start of the process after a short wait for the allocator. */
	#decideAlone(): void {
		const {clock, allocation, allocator} = this.#options;
		this.#aloneTimer?.cancel();
		if (this.#hasDecided) {
			allocation.use(allocator);
			return;
		}

		this.#aloneTimer = clock.setTimer(FIRST_LINK_MS, () => {
			if (this.#role === Role.Alone) {
				this.#hasDecided = true;
				allocation.use(allocator);
			}
		});
	}

	#closeClient(): void {
		const client = this.#client;
		this.#client = undefined;
		client?.close();
	}

	#seekSoon(delayMs: number): void {
		this.#seekTimer?.cancel();
		this.#seekTimer = this.#options.clock.setTimer(delayMs, () => {
			void this.#seek();
		});
	}

	async #seek(): Promise<void> {
		if (this.#isSeeking || this.#isStopped || this.#role !== Role.Alone) {
			return;
		}

		this.#isSeeking = true;
		const nextMs = await this.#look();
		this.#isSeeking = false;
		if (this.#role === Role.Alone && !this.#isStopped) {
			this.#seekSoon(nextMs);
		}
	}

	/** @returns Ms until the next look. */
	async #look(): Promise<number> {
		const read = await this.#options.register.read();
		if (read.isErr) {
			await this.#linkToKnown();
			return SEEK_WITHOUT_STORE_MS;
		}

		const leader = read.value;
		if (leader === undefined) {
			await this.#claimLater(0, this.#firstClaimDelay());
			return SEEK_MS;
		}

		if (leader.boot !== this.#self.boot && await this.#linkTo(leader.linkAddress)) {
			return SEEK_MS;
		}

		this.#noteLost(leader.boot);
		if (leader.boot === this.#self.boot || await this.#isGone(leader)) {
			await this.#claimLater(leader.term, this.#rankDelay(leader));
		}

		return SEEK_MS;
	}

	/** Without the store: the allocator that was known last, and what the seeds know. */
	async #linkToKnown(): Promise<void> {
		if (this.#leader !== undefined && this.#leader.boot !== this.#self.boot && await this.#linkTo(this.#leader.linkAddress)) {
			return;
		}

		const others = this.#options.state.members.map(member => member.linkAddress);
		for (const address of new Set([...this.#options.seeds, ...others])) {
			if (address !== this.#self.linkAddress && this.#role === Role.Alone && await this.#linkTo(address)) { // eslint-disable-line no-await-in-loop -- one that links ends it
				return;
			}
		}
	}

	/** Claims unless another VM has done so by then. */
	async #claimLater(term: number, delayMs: number): Promise<void> {
		const {clock, register, log} = this.#options;
		await clock.sleep(delayMs);
		if (this.#isStopped || this.#isResigned || (this.#leader?.term ?? 0) > term) {
			return;
		}

		const claimed = await register.claim(this.#candidate(), term);
		if (claimed.isErr) {
			log.warn('Cannot take over as the allocator.', {err: claimed.error.detail});
			return;
		}

		if (claimed.value.boot === this.#self.boot) {
			this.#becomeLeading(claimed.value);
		} else {
			this.noteLeader(claimed.value);
		}
	}

	#candidate(): Omit<Leader, 'term'> {
		const {name, linkAddress, boot} = this.#self;
		return {
			name, linkAddress, boot, vmCount: this.#vmCount(),
		};
	}

	#vmCount(): number {
		const {length} = this.#options.state.members;
		return length > 0 ? length : this.#leader?.vmCount ?? ASSUMED_VMS;
	}

	#noteLost(boot: string): void {
		if (this.#lostBoot !== boot) {
			this.#lostBoot = boot;
			this.#options.log.warn('The allocator is not reached.', {boot});
		}
	}

	/** Whether no VM that can be reached still hears the allocator. */
	async #isGone(leader: Leader): Promise<boolean> {
		const others = this.#options.state.members.filter(member => member.name !== this.#self.name && member.boot !== leader.boot);
		if (others.length === 0) {
			return true;
		}

		const sights = await Promise.all(others.map(async member => this.#probe(member.linkAddress, leader.boot)));
		const reached = sights.filter(sight => sight !== undefined).length;
		return !sights.includes(true) && reached >= MIN_REACHED_SHARE * others.length;
	}

	/** Where no other VM is known: the stronger, the sooner, and a little by chance. */
	#firstClaimDelay(): number {
		const missing = Math.max(0, AMPLE_STRENGTH - this.#self.strength);
		return (FIRST_CLAIM_MS * missing) + (FIRST_CLAIM_SPREAD_MS * this.#options.random.next());
	}

	/** Stronger VMs go first; VMs that are known to be gone are left out. */
	#rankDelay(leader: Leader): number {
		if (this.#options.state.members.length === 0) {
			return this.#firstClaimDelay();
		}

		const {strength, name} = this.#self;
		const stronger = this.#options.state.members.filter(member => member.boot !== leader.boot
			&& (member.strength > strength || (member.strength === strength && member.name < name)));
		return Math.min(MAX_RANK_DELAY_MS, stronger.length * RANK_DELAY_MS);
	}

	#accept(socket: Socket): void {
		this.#sockets.add(socket);
		let isLink = false;
		const channel = LineChannel.create<FromLeader | FromPeer, ToLeader | ToPeer>(socket, {
			onMessage: message => {
				if (message.kind === 'leading') {
					this.noteLeader(message.leader);
				} else if (message.kind === 'probe') {
					channel.send({kind: 'sight', hearsLeader: this.#hears(message.leaderBoot)});
				} else if (message.kind === 'hello' && this.#role === Role.Leading) {
					isLink = true;
					this.#host.add(channel, message);
				} else if (isLink) {
					this.#host.take(channel, message);
				} else {
					if (message.kind === 'hello' && message.isBlank) {
						this.#tellState(channel);
					}

					channel.send({kind: 'not-leader', leader: this.#leader});
					channel.close();
				}
			},
			onClose: () => {
				this.#sockets.delete(socket);
				this.#host.remove(channel);
			},
		});
	}

	/** Without the store and without an allocator, a VM that has just started learns from any other what is in force. */
	#tellState(channel: LineChannel<FromLeader | FromPeer, ToLeader | ToPeer>): void {
		const {table, upstreams} = this.#options.state;
		if (table !== undefined) {
			channel.send({
				kind: 'upstreams', isWhole: true, changed: upstreams.all, removed: [],
			});
			channel.send({kind: 'configuration', configuration: table.configuration});
		}
	}

	#hears(boot: string): boolean {
		return (this.#role === Role.Leading && this.#self.boot === boot) || (this.#role === Role.Linked && this.#leader?.boot === boot);
	}

	/** @returns Whether this VM is linked now. */
	async #linkTo(address: string): Promise<boolean> {
		const pending = this.#linkings.get(address);
		if (pending !== undefined) {
			return pending;
		}

		const linking = this.#link(address);
		this.#linkings.set(address, linking);
		const isLinked = await linking;
		this.#linkings.delete(address);
		return isLinked;
	}

	async #link(address: string): Promise<boolean> {
		const {clock, log} = this.#options;
		const socket = await this.#connect(address);
		if (socket === undefined) {
			return false;
		}

		return new Promise(resolve => {
			let leader: Leader | undefined;
			const channel = LineChannel.create<ToLeader, FromLeader>(socket, {
				onMessage: message => {
					if (message.kind === 'not-leader') {
						if (message.leader !== undefined) {
							this.noteLeader(message.leader);
						}

						channel.close();
						return;
					}

					if (message.kind === 'welcome') {
						if (this.#role !== Role.Alone || message.leader.term < (this.#leader?.term ?? 0)) {
							channel.close();
							return;
						}

						leader = message.leader;
						this.#becomeLinked(client, leader);
						resolve(true);
					}

					client.take(message);
					if (leader !== undefined || this.#isBlank) {
						this.#handle(message);
					}
				},
				onClose: () => {
					client.close();
					resolve(false);
					if (leader !== undefined && this.#client === client) {
						log.warn('Link to the allocator lost.', {vm: leader.name, term: leader.term});
						this.#noteLost(leader.boot);
						this.#becomeAlone();
					}
				},
			});
			const client = LeaderClient.create(clock, channel, () => {
				channel.close();
			});
			client.send({kind: 'hello', member: this.#self, isBlank: this.#isBlank});
		});
	}

	get #isBlank(): boolean {
		return this.#options.state.table === undefined;
	}

	#handle(message: FromLeader): void {
		const {state, allocator, onVersion} = this.#options;
		switch (message.kind) {
			case 'upstreams': {
				if (message.isWhole) {
					state.replaceUpstreams(message.changed);
				} else {
					state.applyUpstreams(message);
				}

				break;
			}

			case 'members': {
				if (message.isWhole) {
					state.setMembers(message.changed);
				} else {
					state.applyMembers(message.changed, message.removed);
				}

				break;
			}

			case 'take-over': {
				if (this.#leader !== undefined) {
					void this.#claimLater(this.#leader.term, 0);
				}

				break;
			}

			case 'version': {
				onVersion(message.version);
				break;
			}

			case 'configuration': {
				state.applyConfiguration(message.configuration);
				break;
			}

			case 'paces': {
				allocator.restorePaces(message.paces);
				break;
			}

			case 'beat': {
				this.#noteReach(message.reachesStore);
				break;
			}

			case 'grant':
			case 'refuse':
			case 'welcome':
			case 'not-leader': {
				break;
			}
		}
	}

	/** The allocator tells whether it reaches the store; a VM that does takes over from one that does not. */
	#noteReach(reachesStore: boolean): void {
		const {clock, onWatchNeeded} = this.#options;
		if (reachesStore) {
			if (this.#leaderWithoutStoreSince !== undefined) {
				this.#leaderWithoutStoreSince = undefined;
				onWatchNeeded(false);
			}

			return;
		}

		const now = clock.now();
		if (this.#leaderWithoutStoreSince === undefined) {
			this.#leaderWithoutStoreSince = now;
			// Changes must come into force here, whatever becomes of the allocator.
			this.#watchTimer?.cancel();
			this.#watchTimer = clock.setTimer(WATCH_DELAY_MS, () => {
				if (this.#leaderWithoutStoreSince !== undefined) {
					onWatchNeeded(true);
				}
			});
		}

		if (now - this.#leaderWithoutStoreSince >= WITHOUT_STORE_MS && now - this.#replaceTriedAt >= REPLACE_AGAIN_MS) {
			this.#replaceTriedAt = now;
			void this.#replace();
		}
	}

	async #replace(): Promise<void> {
		const {clock, register, log} = this.#options;
		const leader = this.#leader;
		if (leader === undefined || this.#isResigned) {
			return;
		}

		await clock.sleep(this.#rankDelay(leader));
		const isStill = () => this.#leader === leader && this.#role === Role.Linked && this.#leaderWithoutStoreSince !== undefined;
		if (!isStill()) {
			return;
		}

		const read = await register.read();
		if (read.isErr || read.value === undefined || !isStill()) {
			return;
		}

		if (read.value.boot !== leader.boot) {
			this.noteLeader(read.value);
			return;
		}

		const claimed = await register.claim(this.#candidate(), read.value.term);
		if (claimed.isOk && claimed.value.boot === this.#self.boot) {
			log.warn('The allocator does not reach the store; this VM takes over.', {before: leader.name});
			this.#becomeLeading(claimed.value);
		}
	}

	async #tell(address: string, message: ToPeer): Promise<void> {
		const socket = await this.#connect(address);
		if (socket !== undefined) {
			const channel = LineChannel.create<ToPeer, FromPeer>(socket, {
				onMessage() {
					// Nothing is answered.
				},
				onClose() {
					// Nothing to do.
				},
			});
			channel.send(message);
			channel.close();
		}
	}

	/** @returns Whether the VM hears the allocator; false for one that refuses connections; `undefined` for silence. */
	async #probe(address: string, leaderBoot: string): Promise<boolean | undefined> {
		let isRefused = false;
		const socket = await this.#connect(address, () => {
			isRefused = true;
		});
		if (socket === undefined) {
			return isRefused ? false : undefined;
		}

		return new Promise(resolve => {
			const timer = this.#options.clock.setTimer(CONNECT_MS, () => {
				channel.close();
			});
			const channel = LineChannel.create<ToPeer, FromPeer>(socket, {
				onMessage(message) {
					resolve(message.hearsLeader);
					channel.close();
				},
				onClose() {
					timer.cancel();
					resolve(undefined);
				},
			});
			channel.send({kind: 'probe', leaderBoot});
		});
	}

	async #connect(address: string, onRefused?: () => void): Promise<Socket | undefined> {
		return new Promise(resolve => {
			const socket = createConnection(splitAddress(address));
			const timer = this.#options.clock.setTimer(CONNECT_MS, () => {
				socket.destroy();
			});
			socket.once('connect', () => {
				timer.cancel();
				socket.removeAllListeners('error');
				socket.removeAllListeners('close');
				this.#sockets.add(socket);
				socket.once('close', () => {
					this.#sockets.delete(socket);
				});
				resolve(socket);
			});
			socket.once('error', err => {
				if ((err as NodeJS.ErrnoException).code === 'ECONNREFUSED') {
					onRefused?.();
				}
			});
			socket.once('close', () => {
				timer.cancel();
				resolve(undefined);
			});
		});
	}
}
