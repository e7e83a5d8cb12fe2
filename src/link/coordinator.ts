/**
 * Which VM allocates for all, as one VM sees it: it allocates itself, is linked to the VM that does, or decides alone
 * for the time in which it finds none. The allocator is written down in the store; a VM takes over when it has lost the
 * allocator and no VM that it reaches still hears it. Two allocators at once cost quality, never a rule: what a request
 * may do is checked at the VM that has it, and what all VMs share is granted in parts (`allocation/scope`).
 */
import {type Allocator} from '../allocation/allocator.js';
import {globalScope, standaloneScope} from '../allocation/scope.js';
import {type SwitchedAllocation} from '../allocation/switched-allocation.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {LeaderClient} from './leader-client.js';
import {LeaderHost} from './leader-host.js';
import {type LeaderRegister} from './leader-register.js';
import {LeaderSearch, SEEK_MS} from './leader-search.js';
import {type Channel, type LinkConnection, type LinkNetwork} from './link-network.js';
import {
	type FromLeader, type FromPeer, type Leader, type Member, type ToLeader, type ToPeer,
} from './messages.js';
import {PeerCalls} from './peer-calls.js';

/** An allocator leaves its place to a VM that is this many times stronger, once it has allocated for a while. */
const MUCH_STRONGER = 1.8;
const HAND_OVER_AFTER_MS = 2500;
/** Time for a successor to take over at a planned stop, in ms. */
const HAND_OVER_MS = 500;
/** A VM that lost the allocator watches the store itself after this time, in ms; mostly another allocates by then. */
const WATCH_DELAY_MS = 700;
/** The same at the start of a process, in ms, which has no list of upstreams to go on with. */
const FIRST_WATCH_DELAY_MS = 450;
/** Term of the first allocator of a deployment. */
const FIRST_TERM = 1;
/** How long requests wait for the allocator after the start of a process, in ms, before the VM decides alone. */
const FIRST_LINK_MS = 350;

/** What the coordinator works with. */
export type CoordinatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly allocator: Allocator;
	readonly allocation: SwitchedAllocation;
	readonly register: LeaderRegister;
	readonly network: LinkNetwork;
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
	readonly #search: LeaderSearch;
	readonly #peers: PeerCalls;
	/** Attempts to link that are under way, by address. */
	readonly #linkings = new Map<string, Promise<boolean>>();
	#self: Member;
	#role: Role = Role.Alone;
	#leader: Leader | undefined;
	#client: LeaderClient | undefined;
	#watchTimer: Timer | undefined;
	#aloneTimer: Timer | undefined;
	/** An allocation was in use since the start of the process. */
	#hasDecided = false;
	#isStopped = false;

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
		this.#peers = PeerCalls.create(options.clock, options.network);
		this.#search = LeaderSearch.create({
			clock: options.clock,
			random: options.random,
			log: options.log,
			state: options.state,
			register: options.register,
			peers: this.#peers,
			seeds: options.seeds,
			self: () => this.#self,
			leader: () => this.#leader,
			isAlone: () => this.#role === Role.Alone,
			linkTo: async address => this.#linkTo(address),
			onFound: leader => {
				this.noteLeader(leader);
			},
			onClaimed: leader => {
				this.#becomeLeading(leader);
			},
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

	/** The allocator that this VM knows of. */
	get leader(): Leader | undefined {
		return this.#leader;
	}

	/** Listens for other VMs and looks for the allocator. */
	async start(): Promise<void> {
		await this.#options.network.listen(this.#self.linkAddress, connection => {
			this.#accept(connection);
		});
		this.#becomeAlone();
	}

	/** Stops to allocate for others, so that another VM takes over while this one still serves its callers. */
	resign(): void {
		this.#search.resign();
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
		this.#search.stop();
		this.#watchTimer?.cancel();
		this.#aloneTimer?.cancel();
		this.#client?.close();
		this.#host.stop();
		this.#options.network.stop();
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
		allocator.restart(standaloneScope(this.#search.vmCount));
		allocator.adopt(allocation.places);
		this.#decideAlone();
		this.#watchTimer?.cancel();
		this.#watchTimer = clock.setTimer(this.#hasDecided ? WATCH_DELAY_MS : FIRST_WATCH_DELAY_MS, () => {
			onWatchNeeded(this.#role !== Role.Linked);
		});
		this.#search.startIn(seekMs);
	}

	#becomeLeading(leader: Leader): void {
		const {allocator, allocation, log, onWatchNeeded} = this.#options;
		this.#role = Role.Leading;
		this.#closeClient();
		this.#leader = leader;
		this.#search.end();
		this.#hasDecided = true;
		allocator.restart(globalScope(leader.term === FIRST_TERM));
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
				void this.#peers.tell(linkAddress, {kind: 'leading', leader});
			}
		}
	}

	#becomeLinked(client: LeaderClient, leader: Leader): void {
		const {allocation, log, onWatchNeeded} = this.#options;
		this.#client = client;
		this.#role = Role.Linked;
		this.#leader = leader;
		this.#search.end();
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

	#accept(connection: LinkConnection): void {
		let isLink = false;
		const channel = connection.open<FromLeader | FromPeer, ToLeader | ToPeer>({
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
				this.#host.remove(channel);
			},
		});
	}

	/** Without the store and without an allocator, a VM that has just started learns from any other what is in force. */
	#tellState(channel: Channel<FromLeader | FromPeer>): void {
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
		const {clock, log, network} = this.#options;
		const connected = await network.connect(address);
		if (connected.isErr) {
			return false;
		}

		return new Promise(resolve => {
			let leader: Leader | undefined;
			const channel = connected.value.open<ToLeader, FromLeader>({
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
						this.#search.noteLost(leader.boot);
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
					void this.#search.claimLater(this.#leader.term, 0);
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

	/** Changes must come into force here, whatever becomes of an allocator that does not reach the store. */
	#noteReach(reachesStore: boolean): void {
		const {clock, onWatchNeeded} = this.#options;
		const wasWithout = this.#search.isLeaderWithoutStore;
		this.#search.noteReach(reachesStore);
		if (reachesStore && wasWithout) {
			onWatchNeeded(false);
		} else if (!reachesStore && !wasWithout) {
			this.#watchTimer?.cancel();
			this.#watchTimer = clock.setTimer(WATCH_DELAY_MS, () => {
				if (this.#search.isLeaderWithoutStore) {
					onWatchNeeded(true);
				}
			});
		}
	}
}
