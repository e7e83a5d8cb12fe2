/**
 * Process of an entry VM, which is the root of the supervisor tree.
 */
import {randomBytes, randomUUID} from 'node:crypto';
import {runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {Invariants, PromiseId} from '../base/invariant.js';
import {type Log, LogPrefix} from '../base/log.js';
import {MemoryAccount} from '../base/memory-account.js';
import {Metrics} from '../base/metrics.js';
import {Random} from '../base/random.js';
import {type Tracing} from '../base/trace.js';
import {CurrentSettings} from '../config/current-settings.js';
import {registerConfigMetrics} from '../config/config-metrics.js';
import {type Dispatcher} from '../dispatch/dispatcher.js';
import {EntryPart} from '../entry/entry-part.js';
import {type NodeOperations} from '../entry/node-status.js';
import {type HttpLimits} from '../entry/http-limits.js';
import {SubtreeWatches} from '../entry/operator-watch.js';
import {type TlsFiles} from '../entry/tls.js';
import {Authenticator} from '../peer/authentication.js';
import {ConnectTransport, type PeerTls} from '../peer/connect-transport.js';
import {PeerPart} from '../peer/peer-part.js';
import {type PeerHandlers} from '../peer/peer-transport.js';
import {type Scheduler, type SchedulerEvents} from '../policy/scheduler.js';
import {MemoryObjectStore, MemoryTable, MemoryVmList} from '../store/memory-table.js';
import {Supervisor} from '../supervisor/supervisor.js';
import {NodeCore, type Platform} from './node-core.js';
import {readNodeStatus} from './node-status.js';
import {waitUntil} from './wait-until.js';

/** Bound on the bytes that are held for callers, for bodies and for responses half each; keeps the whole process under 256 MB. */
const HELD_LIMIT_BYTES = 64 * 1024 * 1024;
const PEER_KEY_BYTES = 32;
const DEFAULT_MAX_DRAIN_MS = 300_000;
const CANCEL_TIMEOUT_MS = 1000;
const MAX_SYNC_WAIT_MS = 3000;

/** Settings for communication with peers. A node without them runs standalone. */
export type PeerSettings = {
	/** IP number and port for peers. */
	readonly host: string;
	readonly port: number;
	/** Key shared by all nodes of the deployment. */
	readonly key: Uint8Array;
	readonly tls?: PeerTls;
	/** Initial peer addresses, in addition to the VM list. */
	readonly seeds: readonly string[];
};

/** Options of a node. */
export type NodeOptions = {
	readonly clock: Clock;
	readonly log: Log;
	/** Services provided by the platform; in memory by default. */
	readonly platform?: Partial<Platform>;
	readonly host: string;
	readonly port: number;
	readonly region: string;
	readonly dataCentre: string;
	/** Identity of the VM, which stays the same when the process restarts; random by default. */
	readonly vmId?: string;
	readonly peers?: PeerSettings;
	/** SHA-256 digest in hex of the key that may create the first operator of a team. */
	readonly bootstrapDigest?: string;
	/** Called when a newer process uses this VM's identity; this process must then stop. */
	readonly onSuperseded?: () => void;
	/** Creates the scheduler; a `PolicyScheduler` by default. */
	readonly createScheduler?: (events: SchedulerEvents) => Scheduler;
	/** Whether a violated promise throws an error; used by tests and randomised runs. */
	readonly throwOnViolation: boolean;
	/** How long a stopping node still accepts new work, because callers cache its address; 0 by default. */
	readonly leaveMs?: number;
	/** Maximum time to wait for requests in flight during a planned stop. */
	readonly maxDrainMs?: number;
	/** Limits of the HTTP server for callers. */
	readonly httpLimits?: HttpLimits;
	/** Certificate files for TLS towards callers; no TLS if absent. */
	readonly tls?: TlsFiles;
	/** Exports traces, if present. */
	readonly tracing?: Tracing;
};

/** Node that runs in the process of an entry VM. */
export class Node {
	static create(options: NodeOptions): Node {
		return new Node(options);
	}

	readonly settings = CurrentSettings.create();
	readonly invariants: Invariants;
	readonly metrics = Metrics.create();
	readonly platform: Platform;
	readonly #options: NodeOptions;
	readonly #log: Log;
	readonly #vmId: string;
	readonly #authenticator: Authenticator;
	readonly #transport: ConnectTransport;
	readonly #peer: PeerPart;
	readonly #memory: MemoryAccount;
	/** Filled right after the peer server has started, because the handlers depend on its address. */
	readonly #handlers: {-readonly [Method in keyof PeerHandlers]: PeerHandlers[Method]} = {};
	#core: NodeCore | undefined;
	#entry: EntryPart | undefined;
	readonly #supervisor: Supervisor;
	readonly #drainController = new AbortController();
	#starting: Promise<boolean> | undefined;
	#isDraining = false;
	#isRefusing = false;

	private constructor(options: NodeOptions) {
		this.#options = options;
		this.#log = options.log.part(LogPrefix.Serve);
		this.#vmId = options.vmId ?? randomUUID();
		this.platform = {
			table: MemoryTable.create(), objects: MemoryObjectStore.create(), vmList: MemoryVmList.create(), ...options.platform,
		};
		const invariantLog = options.log.part(LogPrefix.Invariant);
		this.invariants = Invariants.create({
			throwOnViolation: options.throwOnViolation,
			onViolation(promise, detail) {
				invariantLog.error('A promise was violated.', {promise, detail});
			},
		});
		const {host, port, key, tls} = options.peers ?? {host: '127.0.0.1', port: 0, key: randomBytes(PEER_KEY_BYTES)};
		this.#authenticator = Authenticator.create(key, () => this.#core?.members.incarnation ?? 0);
		this.#transport = ConnectTransport.create(this.#authenticator, tls);
		this.#peer = PeerPart.create({
			host, port, authenticator: this.#authenticator, tls, handlers: this.#handlers, clock: options.clock, log: options.log.part(LogPrefix.Peer),
		});
		this.#memory = MemoryAccount.create({
			clock: options.clock,
			log: options.log.part(LogPrefix.Entry),
			limitBytes: HELD_LIMIT_BYTES,
			onRelief: relief => {
				this.metrics.countRelief(relief);
			},
		});
		this.#supervisor = Supervisor.create({
			name: 'node', parts: [], clock: options.clock, log: options.log,
		});
	}

	/** Identity of this process, which changes on each restart. */
	get id(): string {
		return this.#authenticator.process;
	}

	/** `host:port` at which callers reach this node. */
	get address(): string {
		return this.#entry!.address;
	}

	/** `host:port` at which peers reach this node. */
	get peerAddress(): string {
		return this.#peer.address;
	}

	get core(): NodeCore {
		return this.#core!;
	}

	get dispatcher(): Dispatcher {
		return this.core.dispatcher;
	}

	/** Aborted when an operator requests a planned stop of this node; the command that runs the node then calls `stop`. */
	get drainRequested(): AbortSignal {
		return this.#drainController.signal;
	}

	/**
	 * Waits until both addresses are available and the state of the peers was received.
	 *
	 * @returns Whether the node serves; false if it was stopped meanwhile.
	 */
	async start(): Promise<boolean> {
		this.#starting = this.#startParts();
		return this.#starting;
	}

	/** Planned stop: announces the stop, rejects new work after `leaveMs`, and waits up to `maxDrainMs` for requests in flight. */
	async stop(): Promise<void> {
		this.#isDraining = true;
		const {clock, leaveMs = 0, maxDrainMs = DEFAULT_MAX_DRAIN_MS} = this.#options;
		await this.#supervisor.drain();
		await this.#starting;
		const core = this.#core;
		const entry = this.#entry;
		if (entry?.isListening === true && leaveMs > 0) {
			await clock.sleep(leaveMs);
		}

		this.#isRefusing = true;
		const isIdle = () => (core?.dispatcher.inFlightCount ?? 0) === 0;
		const isDrained = await waitUntil(clock, isIdle, maxDrainMs);
		if (!isDrained) {
			entry?.closeConnections();
			// Waits until the cancellation of the remaining requests has reached the engines.
			await waitUntil(clock, isIdle, CANCEL_TIMEOUT_MS);
		}

		await entry?.stop();
		await core?.flush();
		await this.#supervisor.stop();
		await core?.close();
		this.invariants.check(PromiseId.GracefulStop, isDrained, 'A request was in flight at the end of a planned stop.');
		this.#log.info('Node stopped.', {vm: this.#vmId});
	}

	async #startParts(): Promise<boolean> {
		const {region} = this.#options;
		await this.#supervisor.add(this.#peer);
		if (this.#isDraining) {
			return false;
		}

		const core = this.#createCore();
		this.#core = core;
		// Not awaited: claim operations wait for this read themselves and repeat it if it failed.
		runInBackground(this.#log, 'first read of the claim clock', async () => core.claims.start());
		Object.assign(this.#handlers, core.handlers);
		this.#entry = this.#createEntry(core);
		await this.#supervisor.add(this.#entry);
		for (const part of core.parts) {
			if (this.#isDraining) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop -- parts depend on those before them
			await this.#supervisor.add(part);
		}

		// Publishes the entry address only after this node has received the state of its peers.
		await waitUntil(this.#options.clock, () => core.members.isSynced || this.#isDraining, MAX_SYNC_WAIT_MS);
		if (this.#isDraining) {
			return false;
		}

		core.members.setEntryAddress(this.address);
		this.#log.info('Node started.', {
			vm: this.#vmId, process: this.id, address: this.address, peerAddress: this.peerAddress, region,
		});
		return true;
	}

	#createCore(): NodeCore {
		const {clock, log, region, dataCentre, peers} = this.#options;
		return NodeCore.create({
			clock,
			log,
			random: Random.create(),
			invariants: this.invariants,
			metrics: this.metrics,
			settings: this.settings,
			platform: this.platform,
			self: {
				id: this.#vmId, process: this.id, address: this.peerAddress, entryAddress: '', region, dataCentre,
			},
			transport: this.#transport,
			createScheduler: this.#options.createScheduler,
			seeds: peers?.seeds ?? [],
			onSuperseded: () => {
				this.#log.error('A newer process has this VM\'s identity.', {vm: this.#vmId});
				this.#options.onSuperseded?.();
			},
		});
	}

	#createEntry(core: NodeCore): EntryPart {
		const {
			clock, host, port, log, httpLimits: limits, tls, tracing, bootstrapDigest,
		} = this.#options;
		const {dispatcher, config: {sync, service}} = core;
		this.metrics.registerSources({
			invariants: this.invariants,
			inFlight: () => dispatcher.inFlightCount,
			memory: this.#memory,
			connections: () => this.#entry?.connectionCount ?? 0,
			waiting: () => dispatcher.scheduler.waitingCount,
			limitedUpstreams: () => 0,
			storeEra: () => 0,
			quarantined: () => dispatcher.scheduler.quarantinedCount,
		});
		registerConfigMetrics(this.metrics.registry, sync);
		return EntryPart.create({
			clock,
			memory: this.#memory,
			invariants: this.invariants,
			settings: this.settings,
			dispatcher,
			entriesFor: caller => core.entriesFor(caller),
			metrics: async () => this.metrics.expose(),
			instruments: this.metrics,
			tracing,
			isLeaving: () => this.#isDraining,
			isRefusing: () => this.#isRefusing,
			isReady: () => this.settings.isLoaded && core.members.isSynced && !this.#isDraining,
		}, {
			host, port, limits, log, tls,
		}, {
			clock, memory: this.#memory, service, sync, watches: SubtreeWatches.create(clock, sync), bootstrapDigest, node: this.#createOperations(core),
		});
	}

	#createOperations(core: NodeCore): NodeOperations {
		const {region, dataCentre} = this.#options;
		return {
			status: team => readNodeStatus({
				core,
				team,
				invariants: this.invariants,
				table: this.platform.table,
				node: {
					id: this.#vmId, region, dataCentre, isReady: this.settings.isLoaded && !this.#isDraining, isDraining: this.#isDraining,
				},
			}),
			requestDrain: () => {
				this.#log.info('An operator asked for a planned stop.', {vm: this.#vmId});
				this.#drainController.abort();
				return {id: this.#vmId, inFlight: core.dispatcher.inFlightCount};
			},
		};
	}
}
