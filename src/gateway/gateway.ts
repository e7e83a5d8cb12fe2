/**
 * The gateway of one VM between callers and upstreams: HTTP server, allocation, links to other VMs, graceful shutdown.
 */
import process from 'node:process';
import {type PlaceRequest} from '../allocation/allocation.js';
import {Allocator, type Decision} from '../allocation/allocator.js';
import {type Explanation} from '../allocation/explanation.js';
import {type ShareDecision} from '../allocation/overload.js';
import {leftArea} from '../allocation/locality.js';
import {type LocalitySettings} from '../allocation/locality-rule.js';
import {type RetryBounds} from '../allocation/pool-retry-budget.js';
import {type QuotaTolerance} from '../allocation/quotas.js';
import {CrashRecorder} from '../allocation/crash-recorder.js';
import {SwitchedAllocation} from '../allocation/switched-allocation.js';
import {splitAddress} from '../base/address.js';
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {type ErrorKind} from '../base/errors.js';
import {type Log, LogPrefix} from '../base/log.js';
import {type Metrics} from '../base/metrics.js';
import {Invariants} from '../base/invariant.js';
import {MemoryAccount} from '../base/memory-account.js';
import {type Random} from '../base/random.js';
import {Coordinator} from '../link/coordinator.js';
import {type LeaderRegister} from '../link/leader-register.js';
import {type Member} from '../link/messages.js';
import {TcpNetwork} from '../link/tcp-network.js';
import {type Suspicion} from '../policy/suspicion.js';
import {type RolloutBounds} from '../rollout/rollout-bounds.js';
import {type RolloutRegister} from '../rollout/rollout-register.js';
import {Rollouts} from '../rollout/rollouts.js';
import {type CallCodec} from './call-codec.js';
import {DeploymentState} from './deployment-state.js';
import {FrontServer} from './front-server.js';
import {heldLimitBytes, maxCallerConnections} from './process-limits.js';
import {RequestLedger} from './request-ledger.js';
import {PlannedStop} from './planned-stop.js';
import {UpstreamPauses} from './upstream-pauses.js';

/** Time in which connections that were accepted before the listener closed deliver their requests, in ms. */
const ACCEPTED_PERIOD_MS = 100;
const STOP_POLL_INTERVAL_MS = 25;
const MAX_LOGGED_CRASHES = 8;

/** Dependencies and settings of a gateway. */
export type GatewayOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly codec: CallCodec;
	readonly register: LeaderRegister;
	readonly self: Member;
	readonly seeds: readonly string[];
	readonly repeatBounds: RetryBounds;
	readonly quotaTolerance: QuotaTolerance;
	/** Time allowed for a graceful shutdown, in ms. */
	readonly graceMs: number;
	/** Whether customers share scarce room, and the memory of upstreams is accounted for. */
	readonly isUnderPressure?: boolean;
	/** When requests leave their data centre, as this VM decides it while it allocates. */
	readonly locality?: LocalitySettings;
	/** Data centres whose traffic with this VM's is counted. */
	readonly dataCentres?: readonly string[];
	/** Bounds of roll-outs; without them, versions of upstreams are not distinguished. */
	readonly rollout?: RolloutBounds & {readonly register: RolloutRegister};
	/** Memory at which the process is ended, in bytes, if it is limited. */
	readonly memoryBytes?: number;
	/** Number of descriptors that the process may have open, if it is limited. */
	readonly maxDescriptors?: number;
	readonly reachesStore: () => boolean;
	/** Latest era that the store named. */
	readonly storeEra: () => number;
	readonly onVersion: (version: number) => void;
	readonly onWatchNeeded: (isNeeded: boolean) => void;
};

/** Connects the components of one VM's gateway and controls their startup and shutdown. */
export class Gateway {
	static create(options: GatewayOptions): Gateway {
		return new Gateway(options);
	}

	readonly state: DeploymentState;
	readonly coordinator: Coordinator;
	/** Roll-outs of versions; `undefined` if versions are not distinguished. */
	readonly rollouts: Rollouts | undefined;
	readonly #options: GatewayOptions;
	readonly #front: FrontServer;
	readonly #allocator: Allocator;
	readonly #ledger: RequestLedger;
	#isStarted = false;
	/** Whether callers can connect. */
	#isListening = false;
	#isStopping = false;
	#stopped: Promise<void> | undefined;

	private constructor(options: GatewayOptions) {
		this.#options = options;
		const {
			clock, random, log, metrics, codec, self, repeatBounds, quotaTolerance,
		} = options;
		const invariants = Invariants.create({
			throwOnViolation: false,
			onViolation(promise, detail) {
				log.part(LogPrefix.Invariant).error('A promise was violated.', {promise, detail});
			},
		});
		this.#ledger = RequestLedger.create({
			clock, log: log.part(LogPrefix.Gateway), metrics, invariants,
		});
		this.state = DeploymentState.create(log.part(LogPrefix.Config));
		this.rollouts = options.rollout && Rollouts.create({
			clock, log: log.part(LogPrefix.Rollout), metrics, bounds: options.rollout, register: options.rollout.register, allocator: () => this.#allocator,
		});
		this.#allocator = Allocator.create({
			clock,
			random,
			nodeId: self.boot,
			repeatBounds,
			quotaTolerance,
			limits: this.state.limits,
			isUnderPressure: options.isUnderPressure,
			filters: this.rollouts === undefined ? [] : [this.rollouts.gate],
			observer: this.rollouts?.samples,
			localitySettings: options.locality,
		});
		this.#allocator.onDecision = decision => {
			this.#logDecision(decision);
		};

		this.#allocator.onPaceStated = (pool, upstream) => {
			log.part(LogPrefix.Allocation).info('Upstreams state their momentary pace.', {pool, upstream});
		};

		this.#allocator.onQuarantined = suspicion => {
			this.#logQuarantine(suspicion);
			this.#front.abortQuarantined();
		};

		if (options.isUnderPressure) {
			metrics.customers.readWaiting = () => this.#allocator.waitingByCustomer;
		}

		const allocation = SwitchedAllocation.create(clock, {
			recorder: CrashRecorder.create(clock, this.#allocator.quarantine), upstreamOf: id => this.state.upstreams.get(id),
		});
		this.state.listen({
			onTable: table => {
				this.#allocator.setTable(table);
				this.#publishReadiness();
			},
			onUpstreams: changes => {
				this.rollouts?.setUpstreams(this.state.upstreams.all);
				this.#allocator.setUpstreams(changes);
				allocation.noteGone(changes.removed);
				this.#publishReadiness();
			},
		});
		const memory = MemoryAccount.create({
			clock,
			log: log.part(LogPrefix.Gateway),
			limitBytes: heldLimitBytes(options.memoryBytes),
			onRelief(relief) {
				metrics.countRelief(relief);
			},
		});
		let askCount = 0;
		this.#front = FrontServer.create({
			clock,
			log: log.part(LogPrefix.Gateway),
			metrics,
			state: this.state,
			allocation,
			pauses: UpstreamPauses.create(clock, log.part(LogPrefix.Gateway)),
			quarantine: this.#allocator.quarantine,
			ledger: this.#ledger,
			memory,
			running: new Set(),
			codec,
			dataCentre: self.dataCentre,
			region: self.region,
			nextAskId() {
				askCount += 1;
				return `${self.boot}-${askCount}`;
			},
		}, random, maxCallerConnections(options.memoryBytes, options.maxDescriptors));
		this.coordinator = Coordinator.create({
			clock,
			random,
			log: log.part(LogPrefix.Link),
			state: this.state,
			allocator: this.#allocator,
			allocation,
			register: options.register,
			network: TcpNetwork.create(clock, log.part(LogPrefix.Link)),
			self,
			seeds: options.seeds,
			reachesStore: options.reachesStore,
			rollouts: this.rollouts,
			onVersion: options.onVersion,
			onWatchNeeded: options.onWatchNeeded,
		});
		metrics.dataCentres.setKnown(self.dataCentre, options.dataCentres ?? []);
		metrics.registerSources({
			invariants,
			inFlight: () => this.#front.inFlight,
			memory,
			connections: () => this.#front.connectionCount,
			openRequests: () => this.#ledger.counts.open,
			waiting: () => this.#allocator.waitingCount,
			limitedUpstreams: () => this.state.limits.size,
			storeEra: options.storeEra,
			quarantined: () => this.quarantined.length,
			pools: () => this.#allocator.statistics,
		});
	}

	/** Whether callers may be directed to this VM. */
	get isReady(): boolean {
		return this.#isListening && !this.#isStopping && this.state.table !== undefined && this.state.upstreams.size > 0;
	}

	/** Features whose requests are refused because they crash upstreams, with the evidence. */
	get quarantined(): Suspicion[] {
		return this.#allocator.quarantine.exportQuarantined(this.#options.clock.now());
	}

	/**
	 * Lifts a quarantine at all VMs in contact, until requests with the feature crash upstreams again.
	 *
	 * @returns Whether anything was held against the feature.
	 */
	liftQuarantine(feature: string): boolean {
		this.#options.log.part(LogPrefix.Allocation).warn('Quarantine lifted by an operator.', {feature});
		return this.coordinator.liftQuarantine(feature);
	}

	/** @returns What this VM's allocator would decide on a request now; `undefined` if its service is not known. Changes nothing. */
	explain(ask: PlaceRequest): Explanation | undefined {
		return this.#allocator.explain(ask);
	}

	/** Accepts callers and joins the other VMs, each as soon as the address for it is available; unless it was told to stop before. */
	start(): void {
		if (this.#isStopping) {
			return;
		}

		const {self, log} = this.#options;
		this.#isStarted = true;
		log.part(LogPrefix.Gateway).info('Started.', {
			vm: self.name, front: self.frontAddress, boot: self.boot, pid: process.pid,
		});
		runInBackground(log.part(LogPrefix.Gateway), 'listening for callers', async () => this.#acceptCallers());
		runInBackground(log.part(LogPrefix.Link), 'listening for other VMs', async () => this.coordinator.start());
	}

	/** Shuts down without interrupting requests that can finish in time. Later calls wait for the same end. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		this.#stopped ??= this.#isStarted ? this.#stopGracefully() : Promise.resolve();
		await this.#stopped;
	}

	async #acceptCallers(): Promise<void> {
		const {self, log} = this.#options;
		const {host, port} = splitAddress(self.frontAddress);
		this.#isListening = await this.#front.listen(host, port);
		if (this.#isListening) {
			log.part(LogPrefix.Gateway).info('Callers can connect.', {front: self.frontAddress});
			this.#publishReadiness();
		}
	}

	async #stopGracefully(): Promise<void> {
		const {clock, log, graceMs} = this.#options;
		const stop = PlannedStop.create(clock, graceMs);
		log.part(LogPrefix.Gateway).info('Stopping.', {inFlight: this.#front.inFlight});
		this.#publishReadiness();
		this.#front.beginStop(stop);
		this.coordinator.resign();
		if (!this.#isListening) {
			this.#front.closeListener();
		}

		await this.#until(() => stop.isOver(this.#front.inFlight));
		this.#front.closeListener();
		const closedAt = clock.now();
		await this.#until(() => clock.now() >= stop.endsAt || (!this.#front.isBusy && clock.now() >= closedAt + ACCEPTED_PERIOD_MS));
		this.#front.endRequests();
		await this.#until(() => clock.now() >= stop.exitsAt || !this.#front.isBusy);
		log.part(LogPrefix.Gateway).info('Stopped.', {inFlight: this.#front.inFlight, ...this.#ledger.counts, afterMs: Math.round(clock.now() - stop.startedAt)});
		this.coordinator.stop();
		this.#front.destroy();
	}

	async #until(holds: () => boolean): Promise<void> {
		while (!holds()) {
			await this.#options.clock.sleep(STOP_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- polling
		}
	}

	#publishReadiness(): void {
		this.coordinator.setReady(this.isReady);
	}

	#logQuarantine({feature, crashes, agesMs = [], companions, seenBy, quarantinedMs}: Suspicion): void {
		this.#options.metrics.countQuarantine();
		this.#options.log.part(LogPrefix.Allocation).warn('Requests quarantined: they crash upstreams.', {
			feature,
			companions: companions?.filter(other => other !== feature).join(','),
			crashes: crashes.length,
			upstreams: crashes.slice(0, MAX_LOGGED_CRASHES).map(crash => crash.split(' ')[0]).join(','),
			seenBy: seenBy?.join(','),
			oldestMs: Math.round(Math.max(0, ...agesMs)),
			forMs: Math.round(quarantinedMs),
		});
	}

	#logDecision({ask, waitedMs, waiting, upstreamId, expectedFirstMs, refusal, objectiveMs, share}: Decision): void {
		this.#countShare(ask.customer, refusal, share);
		const upstream = upstreamId === undefined ? undefined : this.state.upstreams.get(upstreamId);
		this.#options.log.part(LogPrefix.Allocation).info(refusal === undefined ? 'Place granted.' : 'Place refused.', {
			request: ask.requestId,
			pool: ask.pool,
			customer: ask.customer,
			rank: ask.rank,
			upstream: upstreamId,
			limitPerSecond: upstream === undefined ? undefined : this.state.limits.perSecond(upstream),
			kind: refusal,
			waitedMs: Math.round(waitedMs),
			waiting,
			expectedFirstMs: expectedFirstMs === undefined ? undefined : Math.round(expectedFirstMs),
			leaves: upstream === undefined ? undefined : leftArea(ask, upstream),
			attempt: ask.attempt,
			quotaCost: ask.quotaCost === 0 ? undefined : ask.quotaCost,
			objectiveMs: Math.round(objectiveMs),
			leadMs: share && Math.round(share.leadMs),
			returnMs: share?.returnMs === undefined ? undefined : Math.round(share.returnMs),
		});
	}

	#countShare(customer: string | undefined, refusal: ErrorKind | undefined, share: ShareDecision | undefined): void {
		const {customers} = this.#options.metrics;
		if (share !== undefined && refusal === undefined) {
			customers.countGrant(customer, share.serviceMs);
		} else if (share !== undefined && refusal !== undefined) {
			customers.countRefusal(customer, refusal, share.returnMs !== undefined);
		}
	}
}
