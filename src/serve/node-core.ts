/**
 * Connects all components of a node except its servers: scheduling, claims, settings and communication with other nodes.
 */
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {type Invariants} from '../base/invariant.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type Metrics} from '../base/metrics.js';
import {type Random} from '../base/random.js';
import {createConfigParts, type ConfigParts} from '../config/config-parts.js';
import {type CurrentSettings} from '../config/current-settings.js';
import {type Upstream} from '../config/deployment.js';
import {ClaimCollector} from '../coordination/claim-collector.js';
import {Lease} from '../coordination/lease.js';
import {LeasedPart} from '../coordination/leased-part.js';
import {TableClaims} from '../coordination/table-claims.js';
import {Dispatcher} from '../dispatch/dispatcher.js';
import {chooseEntries, type EntriesAnswer} from '../members/entries.js';
import {type MemberSelf, MemberStatus} from '../members/member.js';
import {claimStatusHandler, NetworkClaimPeers} from '../peer/claim-status.js';
import {NetworkConfigPeers} from '../peer/network-config-peers.js';
import {type PeerHandlers, type PeerTransport} from '../peer/peer-transport.js';
import {SharesPart} from '../peer/shares-part.js';
import {PolicyScheduler} from '../policy/policy-scheduler.js';
import {type Scheduler, type SchedulerEvents} from '../policy/scheduler.js';
import {type ObjectStore} from '../store/object-store.js';
import {type Table} from '../store/table.js';
import {type VmList} from '../store/vm-list.js';
import {type Part} from '../supervisor/part.js';
import {type LoadReport, type UpstreamClient} from '../upstream/engine.js';
import {ObserverPart} from '../upstream/observer-part.js';
import {UpstreamRegistry} from '../upstream/registry.js';
import {Members} from './members.js';
import {TimerPart} from './timer-part.js';

const ASSIGNMENT_REFRESH_INTERVAL_MS = 500;
const LOAD_REPORT_TIMEOUT_MS = 1000;
const CLAIM_STOP_TIMEOUT_MS = 10_000;
const CLAIM_COLLECTOR_RATE = {pageRows: 100, intervalMs: 1000};
/** Number of requests in flight at which a node reports full load; the load determines how callers are distributed. */
const FULL_LOAD_REQUESTS = 1000;

/** Services provided by the platform. */
export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly vmList: VmList;
};

/** Dependencies of the core. */
export type NodeCoreOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly random: Random;
	readonly invariants: Invariants;
	readonly metrics: Metrics;
	readonly settings: CurrentSettings;
	readonly platform: Platform;
	readonly self: MemberSelf;
	readonly transport: PeerTransport;
	/** Peer addresses from the settings. */
	readonly seeds: readonly string[];
	/** Creates the clients of upstreams; they use HTTP by default. */
	readonly createClient?: (upstream: Upstream) => UpstreamClient;
	/** Creates the scheduler; a `PolicyScheduler` by default. */
	readonly createScheduler?: (events: SchedulerEvents) => Scheduler;
	/** Called when a newer process uses this VM's identity. */
	readonly onSuperseded: () => void;
};

/** Core of one node: its components and the handlers of peer calls. */
export class NodeCore {
	static create(options: NodeCoreOptions): NodeCore {
		return new NodeCore(options);
	}

	readonly dispatcher: Dispatcher;
	readonly claims: TableClaims;
	readonly config: ConfigParts;
	readonly members: Members;
	/** Parts to run under the node's supervisor, in this order. */
	readonly parts: readonly Part[];
	/** Handlers of calls from peers. */
	readonly handlers: PeerHandlers;
	readonly #options: NodeCoreOptions;
	readonly #upstreams: UpstreamRegistry;
	readonly #unsubscribe: () => void;

	private constructor(options: NodeCoreOptions) {
		const {
			clock, log, random, invariants, metrics, settings, platform, self, transport,
		} = options;
		this.#options = options;
		this.#upstreams = UpstreamRegistry.create(log.part(LogPrefix.Upstream), options.createClient);
		this.members = Members.create({
			...options,
			vmList: platform.vmList,
			onUpstreamsChanged: views => {
				this.dispatcher.scheduler.setUpstreams(views);
			},
		});
		const pushUrgent = () => {
			this.members.gossip.pushUrgent();
		};

		this.claims = TableClaims.create(platform.table, self.process, {
			clock, log: log.part(LogPrefix.Coordination), invariants, objects: platform.objects, peers: NetworkClaimPeers.create(transport, () => this.members.others),
		});
		this.dispatcher = Dispatcher.create({
			clock,
			invariants,
			metrics,
			log: log.part(LogPrefix.Dispatch),
			upstreams: this.#upstreams,
			claims: this.claims,
			createScheduler: options.createScheduler ?? (events => this.#createScheduler(events)),
		});
		const configPeers = NetworkConfigPeers.create({
			clock, topics: this.members.topics, transport, members: () => this.members.others, pushUrgent,
		});
		this.config = createConfigParts({
			clock,
			log,
			random,
			invariants,
			table: platform.table,
			objects: platform.objects,
			peers: configPeers,
			settings,
			nodeId: self.id,
			region: self.region,
			isFreshnessWriter: () => this.members.isFreshnessWriter,
		});
		const shares = this.#createShares();
		this.handlers = {
			...this.members.gossip.handlers, ...shares.handlers, ...claimStatusHandler(this.claims), ...configPeers.handlers, ...this.#createLoadHandlers(),
		};
		this.parts = [
			this.members.gossip, this.members.vmList, ...this.config.parts, this.#createAssignmentTimer(), shares, this.#createObserver(), this.#createCollector(),
		];
		this.#unsubscribe = settings.subscribe(deployment => {
			this.#upstreams.update(deployment);
			this.members.setDeployment(deployment);
		});
		this.#subscribeToTopics();
	}

	/** All upstreams in the active settings. */
	get upstreams(): readonly Upstream[] {
		return this.#options.settings.deployment.upstreams;
	}

	/** @returns The entry addresses for a caller. */
	entriesFor(caller: string): EntriesAnswer {
		return chooseEntries({id: caller, region: this.#options.self.region}, this.members.all);
	}

	/** Writes pending records of completed requests and announces the departure of this node. Must be called after the drain. */
	async flush(): Promise<void> {
		await this.claims.stop(CLAIM_STOP_TIMEOUT_MS);
		await this.members.gossip.announceLeft();
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		this.#unsubscribe();
		this.#options.transport.close();
		await this.#upstreams.destroy();
	}

	#createScheduler(events: SchedulerEvents): Scheduler {
		const {clock, random, invariants, self} = this.#options;
		const {topics, gossip} = this.members;
		return PolicyScheduler.create({
			clock,
			random,
			invariants,
			nodeId: self.process,
			region: self.region,
			events: {
				...events,
				notePressure(pool, tier) {
					if (topics.publishPressure(pool, tier, clock.now())) {
						gossip.pushUrgent();
					}
				},
				noteSuspicion(suspicion) {
					topics.publishSuspicion(suspicion, clock.now());
					gossip.pushUrgent();
				},
			},
		});
	}

	#createShares(): SharesPart {
		const {clock, log, transport, self, settings} = this.#options;
		const {members} = this;
		return SharesPart.create({
			self,
			clock,
			log: log.part(LogPrefix.Peer),
			transport,
			demand: () => this.dispatcher.scheduler.demand,
			allocatorOf: id => members.allocatorOf(id),
			nodeCountOf: id => members.nodesOf(id).length,
			maxConcurrencyOf: id => settings.deployment.findUpstream(id)?.settings.maxConcurrency,
			setShare: (id, slots) => {
				this.dispatcher.scheduler.setShare(id, slots, slots);
			},
		});
	}

	#createObserver(): ObserverPart {
		return ObserverPart.create({
			clock: this.#options.clock,
			log: this.#options.log.part(LogPrefix.Upstream),
			upstreams: this.#upstreams,
			scheduler: this.dispatcher.scheduler,
			assigned: () => this.members.assigned,
			isAllocator: id => this.members.isAllocator(id),
			onLoad: (id, report) => {
				this.#sendLoadReport(id, report);
			},
			onLeaving: id => {
				this.members.reportLeaving(id);
			},
		});
	}

	#createAssignmentTimer(): TimerPart {
		const {clock} = this.#options;
		return TimerPart.create('assignment', clock, ASSIGNMENT_REFRESH_INTERVAL_MS, () => {
			this.members.refresh();
			this.members.setLoad(Math.round(100 * Math.min(1, this.dispatcher.inFlightCount / FULL_LOAD_REQUESTS)));
		});
	}

	#createCollector(): LeasedPart {
		const {clock, log, platform, self} = this.#options;
		const collector = ClaimCollector.create(platform.table, clock, log.part(LogPrefix.Coordination), CLAIM_COLLECTOR_RATE);
		return LeasedPart.create({
			name: 'claim-collector',
			clock,
			lease: Lease.create({
				table: platform.table, clock, name: 'claim-collector', holder: self.process,
			}),
			intervalMs: CLAIM_COLLECTOR_RATE.intervalMs,
			round: async () => collector.collectPage(),
		});
	}

	#subscribeToTopics(): void {
		const {clock, self, log} = this.#options;
		const {scheduler} = this.dispatcher;
		const {topics} = this.members;
		topics.subscribe('pressure', ({pool, tier, remainingMs}) => {
			scheduler.setPressure(pool, tier, clock.now() + remainingMs);
		});
		topics.subscribe('suspicion', suspicion => {
			scheduler.importSuspicions([suspicion]);
		});
		topics.subscribe('leaving', ({upstreamId, isLeaving}) => {
			log.part(LogPrefix.Members).info('An upstream changed its state.', {upstreamId, isLeaving, vm: self.id});
		});
	}

	#sendLoadReport(upstreamId: string, {runningCount, waitingCount, cacheCapacityTokens, cacheUsedTokens, ageMs}: LoadReport): void {
		const {transport, self} = this.#options;
		const log = this.#options.log.part(LogPrefix.Peer);
		const loads = [{
			upstreamId, running: runningCount, waiting: waitingCount, kvCacheUsed: cacheUsedTokens / Math.max(1, cacheCapacityTokens), ageMs: Math.round(ageMs),
		}];
		for (const {id, address, status} of this.members.nodesOf(upstreamId)) {
			if (id !== self.id && status === MemberStatus.Alive) {
				runInBackground(log, 'report of a load', async () => transport.call(address, 'loadReport', {loads}, LOAD_REPORT_TIMEOUT_MS));
			}
		}
	}

	#createLoadHandlers(): Pick<PeerHandlers, 'loadReport'> {
		return {
			loadReport: ({loads}) => {
				for (const {upstreamId, running, waiting, ageMs} of loads) {
					this.dispatcher.scheduler.noteLoad(upstreamId, running + waiting, ageMs);
				}

				return {};
			},
		};
	}
}
