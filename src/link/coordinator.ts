/**
 * Leader election as seen by one VM. The leader is the VM whose allocator decides for all VMs; log messages call it the
 * allocator. A VM leads, is linked to the leader, or allocates alone while it finds no leader. The store records the
 * leader. A VM takes over once it has lost the leader and no VM that it can reach is still connected to the leader. Two
 * simultaneous leaders reduce the quality of decisions but break no guarantee: the VM that holds a request checks what
 * the request may do, and quotas and budgets that all VMs share are granted in shares (`allocation/scope`).
 */
import {type Allocator} from '../allocation/allocator.js';
import {globalScope, standaloneScope} from '../allocation/scope.js';
import {type SwitchedAllocation} from '../allocation/switched-allocation.js';
import {runInBackground} from '../base/background.js';
import {type Clock, type Timer} from '../base/clock.js';
import {type Log, type LogFields} from '../base/log.js';
import {type Random} from '../base/random.js';
import {type DeploymentState} from '../gateway/deployment-state.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {tellLeader, tellVm} from './known-state.js';
import {LeaderClient} from './leader-client.js';
import {LeaderHost} from './leader-host.js';
import {isCurrent, type LeaderRecord, type LeaderRegister} from './leader-register.js';
import {LeaderElection, SEARCH_INTERVAL_MS} from './leader-election.js';
import {type LinkConnection, type LinkNetwork} from './link-network.js';
import {decodeFromLeader, decodeToVm} from './message-schemas.js';
import {
	type FromLeader, type FromPeer, type Leader, type Member, type ToLeader, type ToPeer,
} from './messages.js';
import {PeerCalls} from './peer-calls.js';
import {isLater} from './store-version.js';

/** A leader hands over to a ready VM that is at least this many times as strong. */
const HAND_OVER_STRENGTH_RATIO = 1.8;
/** Time from the election until the leader looks for such a VM, in ms. */
const HAND_OVER_CHECK_DELAY_MS = 2500;
/** Time that a successor has to take over during a planned stop, in ms. */
const HAND_OVER_TIMEOUT_MS = 500;
/** Delay before a VM that lost the leader watches the store itself, in ms; usually a new leader has been elected by then. */
const WATCH_DELAY_MS = 700;
/** The same delay at process start, in ms; shorter because a new process has no list of upstreams to work with. */
const STARTUP_WATCH_DELAY_MS = 450;
/** How long requests wait for a link to the leader after process start, in ms, before the VM allocates alone. */
const STARTUP_LINK_TIMEOUT_MS = 350;

/** Dependencies of the coordinator. */
export type CoordinatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly state: DeploymentState;
	readonly allocator: Allocator;
	readonly allocation: SwitchedAllocation;
	readonly register: LeaderRegister;
	readonly network: LinkNetwork;
	/** This VM at process start; `setReady` updates `isReady`. */
	readonly self: Member;
	/** Link addresses of other VMs to ask when the store does not tell the leader, or when no other VM is known. */
	readonly seeds: readonly string[];
	/** Whether this process has reached the store recently. */
	readonly reachesStore: () => boolean;
	/** Roll-outs of versions; `undefined` if versions are not distinguished. */
	readonly rollouts?: Rollouts;
	/** The leader announced a configuration version that is too large to send over a link; it must be read from the store. */
	readonly onVersion: (version: number) => void;
	/** This process must start watching the store itself, or may stop. */
	readonly onWatchNeeded: (isNeeded: boolean) => void;
};

/** Role of a VM in the election. */
export const Role = {
	Leading: 'leading',
	Linked: 'linked',
	Alone: 'alone',
} as const;

export type Role = (typeof Role)[keyof typeof Role];

/** Holds the role of one VM and switches its allocation when the role changes. */
export class Coordinator {
	static create(options: CoordinatorOptions): Coordinator {
		return new Coordinator(options);
	}

	readonly #options: CoordinatorOptions;
	readonly #host: LeaderHost;
	readonly #election: LeaderElection;
	readonly #peers: PeerCalls;
	/** Link attempts in progress, by address. */
	readonly #pendingLinks = new Map<string, Promise<boolean>>();
	#self: Member;
	#role: Role = Role.Alone;
	#leader: Leader | undefined;
	#client: LeaderClient | undefined;
	#watchTimer: Timer | undefined;
	#startupTimer: Timer | undefined;
	/** Whether an allocation has been in use since process start. */
	#hasStartedAllocating = false;
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
			rollouts: options.rollouts,
		});
		if (options.rollouts !== undefined) {
			options.rollouts.onPublish = message => {
				this.#host.publishRollouts(message);
			};
		}

		this.#peers = PeerCalls.create(options.clock, options.network);
		this.#election = LeaderElection.create({
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
			isLeading: () => this.#role === Role.Leading,
			linkTo: async address => this.#linkTo(address),
			onLeaderFound: leader => {
				this.noteLeader(leader);
			},
			onElected: leader => {
				if (this.#role === Role.Leading) {
					this.#renew(leader);
				} else {
					this.#becomeLeading(leader);
				}
			},
		});
		options.allocator.onSuspicion = suspicion => {
			if (this.#role === Role.Leading) {
				this.#host.publishSuspicion(suspicion);
			}
		};

		options.state.listen({
			onUpstreams: changes => {
				if (this.#role === Role.Leading) {
					this.#host.publishUpstreams(changes);
				}
			},
			onDeparted: departures => {
				if (this.#role === Role.Leading) {
					this.#host.publishDepartures(departures);
				}
			},
			onLeaving: boots => {
				this.#client?.send({kind: 'leaving', boots});
			},
			onStatedLimits: limits => {
				if (this.#role === Role.Leading) {
					this.#host.publishLimits(limits.map(({id}) => id));
				} else {
					this.#client?.send({kind: 'limits', limits});
				}
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

	/** The latest leader that this VM knows of. */
	get leader(): Leader | undefined {
		return this.#leader;
	}

	/**
	 * Searches for the leader, and accepts links from other VMs as soon as the address for them is available. Until then this
	 * VM does not claim leadership, as none could link to it.
	 */
	async start(): Promise<void> {
		const listening = this.#options.network.listen(this.#self.linkAddress, connection => {
			this.#accept(connection);
		});
		try {
			this.#becomeAlone();
		} finally {
			await listening;
			this.#election.noteReachable();
		}
	}

	/** Gives up leadership and stops claiming it, so that another VM takes over while this one still serves its callers. */
	resign(): void {
		this.#election.resign();
		this.#client?.send({kind: 'resigned'});
		if (this.#role === Role.Leading) {
			this.#options.log.info('Resigned as the allocator.');
			const hasSuccessor = this.#host.handOver(0);
			this.#options.clock.setTimer(hasSuccessor ? HAND_OVER_TIMEOUT_MS : 0, () => {
				if (this.#role === Role.Leading) {
					this.#host.stop();
					this.#becomeAlone();
				}
			});
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#election.stop();
		this.#watchTimer?.cancel();
		this.#startupTimer?.cancel();
		this.#client?.close();
		this.#host.stop();
		this.#options.rollouts?.stop();
		this.#options.network.stop();
	}

	/** Publishes whether this VM accepts callers. */
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

	/**
	 * Takes the leader record that the store reported. A record that is not current names no leader, and the leader claims it
	 * again.
	 */
	noteRecord(record: LeaderRecord): void {
		if (isCurrent(record)) {
			this.noteLeader(record.leader);
		} else if (this.#role === Role.Leading) {
			runInBackground(this.#options.log, 'restoring the record of the allocator', async () => this.#election.restoreRecord());
		}
	}

	/** Takes a leader that the store or another VM reported; only a later term replaces the known leader. */
	noteLeader(leader: Leader): void {
		if (this.#isStopped || (this.#leader !== undefined && !isLater(leader.term, this.#leader.term))) {
			return;
		}

		if (leader.boot === this.#self.boot && this.#role === Role.Leading) {
			this.#renew(leader);
			return;
		}

		this.#leader = leader;
		if (leader.boot === this.#self.boot) {
			return;
		}

		this.#options.log.info('Another VM allocates.', {vm: leader.name, ...termFields(leader)});
		if (this.#role === Role.Leading) {
			this.#host.stop();
		}

		// A search in progress may still be waiting for a lost VM, so the link to the new leader does not wait for the search.
		this.#becomeAlone(SEARCH_INTERVAL_MS);
		runInBackground(this.#options.log, 'linking to the allocator', async () => this.#linkTo(leader.linkAddress));
	}

	/**
	 * Lifts the quarantine of a feature at all VMs in contact.
	 *
	 * @returns Whether anything was held against the feature.
	 */
	liftQuarantine(feature: string): boolean {
		const {allocator: {quarantine}, clock} = this.#options;
		const isLifted = quarantine.lift(feature, clock.now());
		this.#client?.send({kind: 'suspicions', suspicions: quarantine.export(clock.now()).filter(suspicion => suspicion.feature === feature)});
		return isLifted;
	}

	/** Requests the configuration from the leader when it cannot be read from the store. */
	requestConfiguration(): void {
		this.#client?.send({kind: 'need-configuration'});
	}

	/** @param searchDelayMs - Time until this VM searches for the leader, in ms. */
	#becomeAlone(searchDelayMs = 0): void {
		const {
			clock, allocator, allocation, onWatchNeeded,
		} = this.#options;
		this.#role = Role.Alone;
		this.#watchTimer?.cancel();
		this.#watchTimer = clock.setTimer(this.#hasStartedAllocating ? WATCH_DELAY_MS : STARTUP_WATCH_DELAY_MS, () => {
			onWatchNeeded(this.#role !== Role.Linked);
		});
		this.#election.scheduleSearch(searchDelayMs);
		// The timers are set first, so that an error in what waits for an allocator does not leave this VM alone.
		this.#closeClient();
		this.#options.rollouts?.beginFollowing(false);
		allocator.restart(standaloneScope(this.#election.vmCount));
		allocator.adopt(allocation.places);
		this.#allocateAlone();
	}

	#becomeLeading(leader: Leader): void {
		const {allocator, allocation, log, onWatchNeeded} = this.#options;
		this.#role = Role.Leading;
		this.#closeClient();
		this.#leader = leader;
		this.#election.reset();
		this.#hasStartedAllocating = true;
		// Even if no leader was recorded, one may have been before the store went back.
		this.#options.rollouts?.beginLeading(leader, this.#options.state.members.map(({name}) => name).filter(name => name !== this.#self.name));
		allocator.restart(globalScope(false));
		allocator.adopt(allocation.places);
		allocation.use(allocator);
		log.info('This VM allocates.', termFields(leader));
		onWatchNeeded(true);
		this.#host.start(leader);
		this.#options.clock.setTimer(HAND_OVER_CHECK_DELAY_MS, () => {
			if (this.#role === Role.Leading && this.#leader?.boot === leader.boot) {
				this.#host.handOver(this.#self.strength * HAND_OVER_STRENGTH_RATIO);
			}
		});
		for (const {linkAddress, name} of this.#options.state.members) {
			if (name !== this.#self.name) {
				runInBackground(log, 'notifying a VM', async () => this.#peers.notify(linkAddress, {kind: 'leading', leader}));
			}
		}
	}

	/** Keeps leading, and all links, under the term of a later claim. */
	#renew(leader: Leader): void {
		if (this.#leader === undefined || isLater(leader.term, this.#leader.term)) {
			this.#leader = leader;
			this.#options.log.warn('Recorded again as the allocator.', termFields(leader));
			this.#host.renew(leader);
			this.#options.rollouts?.renew(leader);
		}
	}

	#becomeLinked(client: LeaderClient, leader: Leader): void {
		const {
			clock, state, allocator, allocation, log, onWatchNeeded, rollouts,
		} = this.#options;
		this.#client = client;
		this.#role = Role.Linked;
		this.#leader = leader;
		this.#election.reset();
		this.#watchTimer?.cancel();
		log.info('Linked to the allocator.', {vm: leader.name, ...termFields(leader)});
		this.#hasStartedAllocating = true;
		state.upstreams.departed.beginEra(leader.term.era);
		tellLeader(message => {
			client.send(message);
		}, clock, state, allocator, rollouts);
		rollouts?.beginFollowing(true);
		client.send({kind: 'places', places: allocation.places});
		allocation.use(client);
		onWatchNeeded(false);
	}

	/** Allocates for this VM's own requests; at process start only after a short wait for a link to the leader. */
	#allocateAlone(): void {
		const {clock, allocation, allocator} = this.#options;
		this.#startupTimer?.cancel();
		if (this.#hasStartedAllocating) {
			allocation.use(allocator);
			return;
		}

		this.#startupTimer = clock.setTimer(STARTUP_LINK_TIMEOUT_MS, () => {
			if (this.#role === Role.Alone) {
				this.#hasStartedAllocating = true;
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
		let isLinked = false;
		const channel = connection.open<FromLeader | FromPeer, ToLeader | ToPeer>({
			onMessage: message => {
				if (message.kind === 'leading') {
					this.noteLeader(message.leader);
				} else if (message.kind === 'probe') {
					channel.send({kind: 'sight', hearsLeader: this.#isConnectedToLeader(message.leaderBoot)});
				} else if (message.kind === 'hello' && this.#role === Role.Leading) {
					isLinked = true;
					this.#host.add(channel, message);
				} else if (isLinked) {
					this.#host.receive(channel, message);
				} else {
					if (message.kind === 'hello') {
						tellVm(channel, this.#options.clock, this.#options.state, message.configurationVersion, this.#options.rollouts);
					}

					channel.send({kind: 'not-leader', leader: this.#leader});
					channel.close();
				}
			},
			onUnusable: reason => {
				this.#logUnusable(reason);
			},
			onClose: () => {
				this.#host.remove(channel);
			},
		}, decodeToVm);
	}

	#logUnusable(reason: string): void {
		this.#options.log.warn('Message on a link not usable; the link is closed.', {err: reason});
	}

	#isConnectedToLeader(leaderBoot: string): boolean {
		return (this.#role === Role.Leading && this.#self.boot === leaderBoot) || (this.#role === Role.Linked && this.#leader?.boot === leaderBoot);
	}

	/** @returns Whether this VM is linked now. */
	async #linkTo(address: string): Promise<boolean> {
		const pending = this.#pendingLinks.get(address);
		if (pending !== undefined) {
			return pending;
		}

		const attempt = this.#openLink(address);
		this.#pendingLinks.set(address, attempt);
		try {
			return await attempt;
		} finally {
			this.#pendingLinks.delete(address);
		}
	}

	async #openLink(address: string): Promise<boolean> {
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
						if (this.#role !== Role.Alone || (this.#leader !== undefined && isLater(this.#leader.term, message.leader.term))) {
							channel.close();
							return;
						}

						leader = message.leader;
						this.#becomeLinked(client, leader);
						if (this.#self !== announced) {
							// This VM became ready, or no longer is, since its hello.
							client.send({kind: 'member', member: this.#self});
						}

						resolve(true);
					}

					client.receive(message);
					if (leader !== undefined || this.#hasNoConfiguration || message.kind === 'configuration') {
						this.#handleMessage(message);
					}
				},
				onUnusable: reason => {
					this.#logUnusable(reason);
				},
				onClose: () => {
					client.close();
					resolve(false);
					if (leader !== undefined && this.#client === client) {
						log.warn('Link to the allocator lost.', {vm: leader.name, ...termFields(leader)});
						this.#election.noteLeaderLost(leader.boot);
						this.#becomeAlone();
					}
				},
			}, decodeFromLeader);
			const client = LeaderClient.create(clock, channel, () => {
				channel.close();
			});
			const announced = this.#self;
			client.send({kind: 'hello', member: announced, configurationVersion: this.#options.state.table?.version ?? 0});
		});
	}

	get #hasNoConfiguration(): boolean {
		return this.#options.state.table === undefined;
	}

	#handleMessage(message: FromLeader): void {
		const {
			clock, state, allocator, log, onVersion, rollouts,
		} = this.#options;
		switch (message.kind) {
			case 'upstreams': {
				if (message.isWhole) {
					state.replaceUpstreams(message.changed);
				} else {
					state.applyUpstreams(message);
				}

				break;
			}

			case 'departed': {
				state.noteDeparted(message.departures);
				break;
			}

			case 'limits': {
				state.replaceLimits(message.limits, clock.now());
				break;
			}

			case 'suspicions': {
				allocator.quarantine.import(message.suspicions, clock.now());
				break;
			}

			case 'rollouts': {
				rollouts?.merge(message.rollouts);
				this.#client?.send({kind: 'rollouts-known', revision: message.revision});
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

			case 'renewed': {
				if (this.#leader === undefined || isLater(message.leader.term, this.#leader.term)) {
					this.#leader = message.leader;
					state.upstreams.departed.beginEra(message.leader.term.era);
				}

				break;
			}

			case 'take-over': {
				const leader = this.#leader;
				if (leader !== undefined) {
					runInBackground(log, 'claiming to be the allocator', async () => this.#election.claimAfterDelay(leader.term, leader, 0));
				}

				break;
			}

			case 'version': {
				onVersion(message.version);
				break;
			}

			case 'configuration': {
				state.applyConfiguration(message.configuration, true);
				break;
			}

			case 'need-configuration': {
				if (state.table !== undefined) {
					this.#client?.send({kind: 'configuration', configuration: state.table.configuration});
				}

				break;
			}

			case 'paces': {
				allocator.restorePaces(message.paces);
				break;
			}

			case 'beat': {
				this.#handleLeaderStoreAccess(message.reachesStore);
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

	/** Watches the store directly while the leader cannot reach it, so that changes come into force here all the same. */
	#handleLeaderStoreAccess(reachesStore: boolean): void {
		const {clock, onWatchNeeded} = this.#options;
		const wasWithoutStore = this.#election.isLeaderWithoutStore;
		this.#election.noteLeaderStoreAccess(reachesStore);
		if (reachesStore && wasWithoutStore) {
			onWatchNeeded(false);
		} else if (!reachesStore && !wasWithoutStore) {
			this.#watchTimer?.cancel();
			this.#watchTimer = clock.setTimer(WATCH_DELAY_MS, () => {
				if (this.#election.isLeaderWithoutStore) {
					onWatchNeeded(true);
				}
			});
		}
	}
}

function termFields({term: {era, version}}: Leader): LogFields {
	return {era, term: version};
}
