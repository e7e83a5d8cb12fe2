/**
 * In-process exchange of settings between nodes, for tests, randomised runs and benchmarks.
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
	/** Regions whose nodes cannot communicate with other regions. */
	readonly cutRegions = new Set<string>();
	readonly nodes = new Map<string, MemoryPeers>();
	/** Whether all communication between nodes is interrupted. */
	isDown = false;
	pushCount = 0;

	private constructor(clock: Clock, latencyMs: number) {
		this.clock = clock;
		this.latencyMs = latencyMs;
	}

	/** Adds a node, or replaces the entry of a restarted node. */
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

/** Network endpoint of one node. A push reaches all connected nodes, which simulates converged gossip. */
export class MemoryPeers extends ConfigPeers {
	static create(network: MemoryPeerNetwork, nodeId: string, region: string): MemoryPeers {
		return new MemoryPeers(network, nodeId, region);
	}

	readonly nodeId: string;
	readonly region: string;
	readonly #network: MemoryPeerNetwork;
	readonly #published = new Map<string, Head>();
	readonly #listeners = new Set<AppliedListener>();
	#bodySource: BodySource | undefined;

	private constructor(network: MemoryPeerNetwork, nodeId: string, region: string) {
		super();
		this.#network = network;
		this.nodeId = nodeId;
		this.region = region;
	}

	publish(head: Head): void {
		this.#published.set(head.team, head);
		const report: AppliedReport = {nodeId: this.nodeId, region: this.region, head};
		for (const peer of this.#connectedPeers()) {
			this.#network.pushCount += 1;
			this.#network.clock.setTimer(this.#network.latencyMs, () => {
				if (this.#network.isConnected(this, peer)) {
					peer.#notifyListeners(report);
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
		return this.#connectedPeers().flatMap(peer => [...peer.#published.values()].map(head => ({
			nodeId: peer.nodeId, region: peer.region, head,
		})));
	}

	async fetchBody(head: Head): Promise<Result<string, SchedulerError>> {
		await this.#network.clock.sleep(2 * this.#network.latencyMs);
		for (const peer of this.#connectedPeers()) {
			const body = peer.#bodySource?.(head.team, head.digest);
			if (body !== undefined) {
				return ok(body);
			}
		}

		return Result.err(SchedulerError.create(ErrorKind.NotFound, 'No connected peer has this version.'));
	}

	serveBodies(source: BodySource): void {
		this.#bodySource = source;
	}

	#connectedPeers(): MemoryPeers[] {
		return [...this.#network.nodes.values()].filter(peer => peer.nodeId !== this.nodeId && this.#network.isConnected(this, peer));
	}

	#notifyListeners(report: AppliedReport): void {
		for (const listener of this.#listeners) {
			listener(report);
		}
	}
}
