/**
 * Exchange between nodes of one process, for tests, randomised runs and benches.
 */
import Result, {ok} from 'true-myth/result';
import {type Clock} from '../base/clock.js';
import {ErrorKind, SchedulerError} from '../base/errors.js';
import {
	type AppliedListener, type AppliedReport, type BodySource, ConfigPeers,
} from './peers.js';
import {type Head} from './rows.js';

/** Connects the nodes of one process. */
export class MemoryPeerNetwork {
	/**
	 * @param clock - Measures the latency.
	 * @param latencyMs - One-way latency between any two nodes.
	 */
	static create(clock: Clock, latencyMs: number): MemoryPeerNetwork {
		return new MemoryPeerNetwork(clock, latencyMs);
	}

	readonly clock: Clock;
	readonly latencyMs: number;
	/** Regions whose nodes exchange nothing with other regions. */
	readonly cutRegions = new Set<string>();
	readonly nodes = new Map<string, MemoryPeers>();
	/** Whether no node exchanges anything. */
	isDown = false;
	pushCount = 0;

	private constructor(clock: Clock, latencyMs: number) {
		this.clock = clock;
		this.latencyMs = latencyMs;
	}

	/** Adds a node, or replaces one that restarted. */
	join(nodeId: string, region: string): MemoryPeers {
		const peers = MemoryPeers.create(this, nodeId, region);
		this.nodes.set(nodeId, peers);
		return peers;
	}

	leave(nodeId: string): void {
		this.nodes.delete(nodeId);
	}

	isConnected(a: MemoryPeers, b: MemoryPeers): boolean {
		return !this.isDown && (a.region === b.region || !(this.cutRegions.has(a.region) || this.cutRegions.has(b.region)));
	}
}

/** One node's end. A push goes to all connected nodes, which stands for gossip that has converged. */
export class MemoryPeers extends ConfigPeers {
	static create(network: MemoryPeerNetwork, nodeId: string, region: string): MemoryPeers {
		return new MemoryPeers(network, nodeId, region);
	}

	readonly nodeId: string;
	readonly region: string;
	readonly #network: MemoryPeerNetwork;
	readonly #published = new Map<string, Head>();
	readonly #listeners = new Set<AppliedListener>();
	#source: BodySource | undefined;

	private constructor(network: MemoryPeerNetwork, nodeId: string, region: string) {
		super();
		this.#network = network;
		this.nodeId = nodeId;
		this.region = region;
	}

	publish(head: Head): void {
		this.#published.set(head.team, head);
		const report: AppliedReport = {nodeId: this.nodeId, region: this.region, head};
		for (const peer of this.#others()) {
			this.#network.pushCount += 1;
			this.#network.clock.setTimer(this.#network.latencyMs, () => {
				if (this.#network.isConnected(this, peer)) {
					peer.#tell(report);
				}
			});
		}
	}

	subscribe(listener: AppliedListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	reports(): readonly AppliedReport[] {
		return this.#others().flatMap(peer => [...peer.#published.values()].map(head => ({
			nodeId: peer.nodeId, region: peer.region, head,
		})));
	}

	async fetchBody(head: Head): Promise<Result<string, SchedulerError>> {
		await this.#network.clock.sleep(2 * this.#network.latencyMs);
		for (const peer of this.#others()) {
			const body = peer.#source?.(head.team, head.digest);
			if (body !== undefined) {
				return ok(body);
			}
		}

		return Result.err(SchedulerError.create(ErrorKind.NotFound, 'No connected peer has this version.'));
	}

	serveBodies(source: BodySource): void {
		this.#source = source;
	}

	#others(): MemoryPeers[] {
		return [...this.#network.nodes.values()].filter(peer => peer.nodeId !== this.nodeId && this.#network.isConnected(this, peer));
	}

	#tell(report: AppliedReport): void {
		for (const listener of this.#listeners) {
			listener(report);
		}
	}
}
