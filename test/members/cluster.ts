/**
 * Simulated cluster: nodes in one process on virtual time that gossip over the in-memory transport, for randomised tests
 * and benchmarks.
 */
import {type Result} from 'true-myth/result';
import {Clock, type Timer} from '../../src/base/clock.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {GossipPart} from '../../src/members/gossip-part.js';
import {MemberStatus, type MemberView} from '../../src/members/member.js';
import {Membership} from '../../src/members/membership.js';
import {Topics} from '../../src/members/topics.js';
import {MemoryNetwork} from '../../src/peer/memory-transport.js';
import {
	PeerTransport, type PeerError, type PeerHandlers, type PeerMethod, type PeerRequestInit, type PeerResponse,
} from '../../src/peer/peer-transport.js';
import {createStrictLog} from '../support/strict-log.js';

const strictLog = createStrictLog();

/** Clock of one node. While the node is paused, its timers are held back. */
class PausableClock extends Clock {
	resumed: Promise<void> | undefined;
	#resume: (() => void) | undefined;

	constructor(readonly base: Clock) {
		super();
	}

	now(): number {
		return this.base.now();
	}

	wallNow(): number {
		return this.base.wallNow();
	}

	setTimer(ms: number, action: () => void): Timer {
		return this.base.setTimer(ms, () => {
			if (this.resumed) {
				void this.#runWhenResumed(action);
			} else {
				action();
			}
		});
	}

	pause(): void {
		this.resumed ??= new Promise(resolve => {
			this.#resume = resolve;
		});
	}

	resume(): void {
		this.resumed = undefined;
		this.#resume?.();
	}

	async #runWhenResumed(action: () => void): Promise<void> {
		await this.resumed;
		action();
	}
}

/** Delays responses to a paused node until it resumes. */
class PausableTransport extends PeerTransport {
	constructor(readonly base: PeerTransport, readonly clock: PausableClock) {
		super();
	}

	async call<Method extends PeerMethod>(address: string, method: Method, req: PeerRequestInit<Method>, timeoutMs: number): Promise<Result<PeerResponse<Method>, PeerError>> {
		const response = await this.base.call(address, method, req, timeoutMs);
		await this.clock.resumed;
		return response;
	}

	close(): void {
		this.base.close();
	}
}

export type ClusterNode = {
	readonly index: number;
	readonly id: string;
	readonly process: string;
	readonly address: string;
	readonly region: string;
	readonly membership: Membership;
	readonly topics: Topics;
	readonly gossip: GossipPart;
	readonly clock: PausableClock;
	readonly transport: PeerTransport;
	/** Time at which this node first received each topic update, by its text. */
	readonly seen: Map<string, number>;
	isSuperseded: boolean;
};

export type ClusterOptions = {
	readonly seed: number;
	readonly regions: readonly string[];
	readonly loss?: number;
	readonly duplication?: number;
	readonly maxDelayMs?: number;
	/** Additional handlers of a node. */
	readonly handlersOf?: (node: ClusterNode) => PeerHandlers;
};

export function addressOf(index: number): string {
	return `10.0.${Math.floor(index / 250)}.${index % 250}:7000`;
}

export class Cluster {
	readonly clock = VirtualClock.create();
	readonly random: Random;
	readonly network: MemoryNetwork;
	readonly nodes = new Map<number, ClusterNode>();
	loss: number;
	/** Partition of an address; addresses of different partitions cannot reach each other. */
	partitionOf: (address: string) => number;
	readonly #processes = new Map<number, number>();

	constructor(readonly options: ClusterOptions) {
		this.random = Random.create(options.seed);
		this.loss = options.loss ?? 0;
		this.partitionOf = () => 0;
		const delays = Random.create(options.seed + 1);
		this.network = MemoryNetwork.create(this.clock, Random.create(options.seed + 2), (from, to) => this.partitionOf(from) === this.partitionOf(to)
			? {loss: this.loss, duplication: options.duplication ?? 0, delayMs: () => 0.5 + (delays.next() * (options.maxDelayMs ?? 10))}
			: undefined);
	}

	/** Starts a node. A second start of the same index is a new process of the same VM. */
	start(index: number, seeds: readonly number[], incarnation = 1): ClusterNode {
		const count = (this.#processes.get(index) ?? 0) + 1;
		this.#processes.set(index, count);
		const {regions} = this.options;
		const region = regions[index % regions.length]!;
		const self = {
			id: `vm-${index}`, process: `${index}.${count}`, address: addressOf(index), entryAddress: `${addressOf(index)}0`, region, dataCentre: `${region}-1`,
		};
		const topics = Topics.create();
		const seen = new Map<string, number>();
		for (const topic of ['leaving', 'config', 'pressure', 'suspicion'] as const) {
			topics.subscribe(topic, update => {
				const {remainingMs: _, ...rest} = {remainingMs: 0, ...update};
				const text = `${topic} ${JSON.stringify(rest)}`;
				if (!seen.has(text)) {
					seen.set(text, this.clock.now());
				}
			});
		}

		const clock = new PausableClock(this.clock);
		const random = Random.create(this.random.integer(0, 2 ** 30));
		const membership = Membership.create({
			self, incarnation, random, now: this.clock.now(), onEntry: topics.accept, onSuperseded() {
				node.isSuperseded = true;
			},
		});
		membership.setSeeds(seeds.map(seed => addressOf(seed)));
		topics.attach(membership);
		const node = {
			index, ...self, membership, topics, clock, seen, isSuperseded: false,
		} as unknown as {-readonly [Key in keyof ClusterNode]: ClusterNode[Key]};
		const handlers: PeerHandlers = {
			async exchange(req) {
				await clock.resumed;
				return node.gossip.handlers.exchange!(req);
			},
			...this.options.handlersOf?.(node),
		};
		node.transport = new PausableTransport(this.network.attach(self.address, handlers), clock);
		node.gossip = GossipPart.create({
			membership, transport: node.transport, clock, log: strictLog, random,
		});
		void node.gossip.start(err => {
			throw err;
		});
		this.nodes.set(index, node);
		return node;
	}

	/** Stops a node without announcement. */
	crash(index: number): void {
		const node = this.nodes.get(index);
		if (node) {
			this.nodes.delete(index);
			this.network.detach(node.address);
			void node.gossip.stop();
			node.transport.close();
		}
	}

	/** Stops a node after it announced that it is leaving. */
	async leave(index: number): Promise<void> {
		const node = this.nodes.get(index)!;
		await node.gossip.drain();
		await this.run(2000);
		void node.gossip.announceLeft();
		await this.run(500);
		this.crash(index);
	}

	async run(ms: number): Promise<void> {
		await this.clock.advanceAsync(ms);
	}

	view(node: ClusterNode): MemberView[] {
		return node.membership.members(this.clock.now());
	}
}

/** Throws unless every live node sees exactly the live nodes as alive, in their current incarnations. */
export function checkConverged(cluster: Cluster): void {
	const expected = [...cluster.nodes.values()].map(node => `${node.id}#${node.membership.incarnation}`).toSorted().join(' ');
	for (const node of cluster.nodes.values()) {
		const seen = cluster.view(node).filter(view => view.status === MemberStatus.Alive).map(view => `${view.id}#${view.incarnation}`).toSorted().join(' ');
		if (seen !== expected) {
			throw new Error(`${node.id} sees ${seen}; expected ${expected}`);
		}
	}
}

/** Records the incarnations that each node saw as dead or left, and throws if a node sees one of them running again. */
export class ResurrectionCheck {
	readonly #terminated = new Set<string>();

	check(cluster: Cluster): void {
		for (const node of cluster.nodes.values()) {
			for (const view of cluster.view(node)) {
				const key = `${node.process} ${view.id}#${view.incarnation}`;
				const isTerminated = view.status === MemberStatus.Dead || view.status === MemberStatus.Left;
				if (isTerminated) {
					this.#terminated.add(key);
				} else if (this.#terminated.has(key)) {
					throw new Error(`${node.id} sees ${view.id}#${view.incarnation} again as ${view.status}`);
				}
			}
		}
	}
}

/** Throws unless all nodes received the update within the given time. */
export function checkSeen(cluster: Cluster, text: string, since: number, withinMs: number): void {
	for (const node of cluster.nodes.values()) {
		const at = node.seen.get(text);
		if (at === undefined || at - since > withinMs) {
			throw new Error(`${node.id} saw ${text} after ${at === undefined ? 'never' : at - since} ms; at most ${withinMs} are allowed`);
		}
	}
}
