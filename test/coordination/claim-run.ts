/**
 * Randomised simulation of claims by several nodes over one faulty table.
 */
import {ErrorKind, Ran, ranOf} from '../../src/base/errors.js';
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {ClaimPeers, type ClaimStatus, MemoryClaimPeers} from '../../src/coordination/claim-peers.js';
import {type Claim, type ClaimDecision} from '../../src/coordination/claims.js';
import {TableClaims} from '../../src/coordination/table-claims.js';
import {createStrictLog} from '../support/strict-log.js';
import {FaultyTable} from './faulty-table.js';
import {type Mutation, NodeClock, NodeTable} from './simulated-node.js';

const strictLog = createStrictLog();

const STEP_COUNT = 60;
const NODE_COUNT = 3;

/** A deliberate bug, simulated at the table or in the status answers between nodes. */
export type ClaimMutation = Mutation & {
	/** Changes the status that a holder reports. */
	readonly status?: (status: ClaimStatus) => ClaimStatus;
};

/** Violations and statistics of a run. */
export type ClaimRunResult = {
	readonly violations: string[];
	readonly dispatches: Map<string, number>;
	readonly decisions: Map<string, number>;
	/** Number of claims taken over from cancelled attempts. */
	takeoverCount: number;
};

type SimulatedNode = {claims: TableClaims; clock: NodeClock; table: NodeTable; id: string; isDead: boolean};

class MutatedPeers extends ClaimPeers {
	constructor(readonly inner: ClaimPeers, readonly change: (status: ClaimStatus) => ClaimStatus) {
		super();
	}

	async ask(holder: string, token: string): Promise<ClaimStatus> {
		return this.change(await this.inner.ask(holder, token));
	}
}

/** One simulation run, reproducible from its seed. */
export class ClaimRun {
	static async run(seed: number, mutation: ClaimMutation = {}): Promise<ClaimRunResult> {
		const run = new ClaimRun(seed, mutation);
		await run.#run();
		return run.#result;
	}

	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #table: FaultyTable;
	readonly #peers = MemoryClaimPeers.create();
	readonly #mutation: ClaimMutation;
	readonly #nodes: SimulatedNode[] = [];
	readonly #sentKeys = new Set<string>();
	readonly #result: ClaimRunResult = {
		violations: [], dispatches: new Map(), decisions: new Map(), takeoverCount: 0,
	};

	#tokenCount = 0;
	#startCount = 0;

	private constructor(seed: number, mutation: ClaimMutation) {
		this.#random = Random.create(seed);
		this.#mutation = mutation;
		this.#table = FaultyTable.create(this.#clock, this.#random);
		this.#table.faultRate = this.#random.next() * 0.4;
		this.#table.maxLatencyMs = this.#random.pick([0, 20, 300]);
		this.#table.maxEffectDelayMs = this.#random.pick([100, 3000, 20_000]);
		for (let index = 0; index < NODE_COUNT; index++) {
			this.#nodes.push(this.#startNode());
		}
	}

	async #run(): Promise<void> {
		for (let step = 0; step < STEP_COUNT; step++) {
			this.#injectEvent();
			// eslint-disable-next-line no-await-in-loop
			await this.#clock.advanceAsync(this.#random.integer(0, 600));
		}

		this.#table.isDown = false;
		this.#table.faultRate = 0;
		for (const node of this.#nodes) {
			node.table.isPartitioned = false;
			node.clock.resume();
		}

		await this.#clock.advanceAsync(60_000);
		this.#result.takeoverCount = this.#table.effects.filter(({condition, value}) =>
			condition.kind === 'token' && value?.includes('"claimed"')).length;
		for (const node of this.#nodes) {
			this.#assert(node.claims.pendingCount === 0, 'A background write was still pending after the store recovered.');
			this.#assert(node.claims.liveCount === 0, 'An attempt was still live after all requests had ended.');
		}
	}

	#injectEvent(): void {
		const index = this.#random.integer(0, NODE_COUNT - 1);
		const node = this.#nodes[index]!;
		const draw = this.#random.next();
		if (draw < 0.7) {
			void this.#sendRequest(node, `k${this.#random.integer(1, 4)}`);
		} else if (draw < 0.78) {
			node.isDead = true;
			this.#peers.remove(node.id);
			this.#nodes[index] = this.#startNode();
		} else if (draw < 0.86) {
			node.clock.isPaused = true;
			this.#clock.setTimer(this.#random.integer(0, 5000), () => {
				node.clock.resume();
			});
		} else if (draw < 0.93) {
			this.#table.isDown = !this.#table.isDown;
		} else {
			node.table.isPartitioned = !node.table.isPartitioned;
		}
	}

	#startNode(): SimulatedNode {
		this.#startCount += 1;
		const id = `node-${this.#startCount}`;
		const clock = NodeClock.create(this.#clock, 1);
		const table = NodeTable.create(this.#table, clock, this.#mutation);
		const invariants = Invariants.create({throwOnViolation: false, onViolation: (_, detail) => this.#result.violations.push(detail)});
		const claims = TableClaims.create(table, id, {
			clock,
			log: strictLog,
			invariants,
			peers: new MutatedPeers(this.#peers, this.#mutation.status ?? (status => status)),
			createToken: () => {
				this.#tokenCount += 1;
				return `t${this.#tokenCount}`;
			},
		});
		this.#peers.add(id, claims);
		return {
			claims, clock, table, id, isDead: false,
		};
	}

	async #sendRequest(node: SimulatedNode, key: string): Promise<void> {
		const isFirstAttempt = !this.#sentKeys.has(key);
		this.#sentKeys.add(key);
		const hasRunBefore = this.#result.dispatches.has(key);
		const decision = await node.claims.acquire({
			pool: 'p', customer: 'c', key, digest: key, isFirstAttempt, keepsAnswer: key !== 'k1',
		});
		this.#countDecision(decision);
		if (decision.kind === 'granted') {
			await this.#processClaim(node, key, decision.claim);
		} else if (decision.kind === 'refused') {
			const ran = ranOf(decision.err.kind, {isKeyed: true, holdsClaim: false, isFirstAttempt});
			// The caller may retry while this attempt waits; `no` refers to this attempt and those before it.
			this.#assert(ran !== Ran.No || !hasRunBefore, `${key} was falsely reported as not run.`);
		}
	}

	/** Simulates a request that waits in the queue and is then dispatched or refused. */
	async #processClaim(node: SimulatedNode, key: string, claim: Claim): Promise<void> {
		await node.clock.sleep(this.#random.integer(0, 2000));
		if (node.isDead) {
			return;
		}

		if (this.#random.next() < 0.5) {
			const ran = ranOf(ErrorKind.Overloaded, {isKeyed: true, holdsClaim: true, isFirstAttempt: false});
			this.#assert(ran === Ran.No && !this.#result.dispatches.has(key), `${key} was falsely reported as not run.`);
			await node.claims.release(claim);
			return;
		}

		if (!node.claims.noteCommitted(claim)) {
			return;
		}

		const count = (this.#result.dispatches.get(key) ?? 0) + 1;
		this.#result.dispatches.set(key, count);
		this.#assert(count === 1, `${key} was dispatched ${count} times.`);
		await node.clock.sleep(this.#random.integer(0, 2000));
		if (!node.isDead) {
			await this.#endRequest(node, claim);
		}
	}

	async #endRequest(node: SimulatedNode, claim: Claim): Promise<void> {
		if (this.#random.next() < 0.3) {
			node.claims.abandon(claim);
		} else {
			await node.claims.complete(claim, {status: 200, contentType: undefined, body: new Uint8Array([1])});
		}
	}

	#countDecision(decision: ClaimDecision): void {
		const kind = decision.kind === 'refused' ? decision.err.kind : decision.kind;
		this.#result.decisions.set(kind, (this.#result.decisions.get(kind) ?? 0) + 1);
	}

	#assert(holds: boolean, detail: string): void {
		if (!holds) {
			this.#result.violations.push(detail);
		}
	}
}
