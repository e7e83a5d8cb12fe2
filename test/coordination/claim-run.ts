/**
 * Randomised runs of claims over several nodes and one faulty table.
 */
import {ErrorKind, Ran, ranOf} from '../../src/base/errors.js';
import {Invariants} from '../../src/base/invariant.js';
import {Random} from '../../src/base/random.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {ClaimPeers, type ClaimStatus, MemoryClaimPeers} from '../../src/coordination/claim-peers.js';
import {type Claim, type ClaimDecision} from '../../src/coordination/claims.js';
import {TableClaims} from '../../src/coordination/table-claims.js';
import {FaultyTable} from './faulty-table.js';
import {type Break, NodeClock, NodeTable} from './simulated-node.js';

const STEPS = 60;
const NODES = 3;

/** A break of the table's use, or of the answers between nodes. */
export type ClaimBreak = Break & {
	/** Changes what a holder answers. */
	readonly status?: (status: ClaimStatus) => ClaimStatus;
};

/** What a run counted and found. */
export type ClaimRunResult = {
	readonly violations: string[];
	readonly dispatches: Map<string, number>;
	readonly decisions: Map<string, number>;
	/** Claims taken over from attempts that were given up. */
	takeoverCount: number;
};

type RunNode = {claims: TableClaims; clock: NodeClock; table: NodeTable; id: string; isDead: boolean};

class BrokenPeers extends ClaimPeers {
	constructor(readonly inner: ClaimPeers, readonly change: (status: ClaimStatus) => ClaimStatus) {
		super();
	}

	async ask(holder: string, token: string): Promise<ClaimStatus> {
		return this.change(await this.inner.ask(holder, token));
	}
}

/** One run; equal seeds give equal runs. */
export class ClaimRun {
	static async run(seed: number, broken: ClaimBreak = {}): Promise<ClaimRunResult> {
		const run = new ClaimRun(seed, broken);
		await run.#run();
		return run.#result;
	}

	readonly #clock = VirtualClock.create();
	readonly #random: Random;
	readonly #table: FaultyTable;
	readonly #peers = MemoryClaimPeers.create();
	readonly #broken: ClaimBreak;
	readonly #nodes: RunNode[] = [];
	readonly #sent = new Set<string>();
	readonly #result: ClaimRunResult = {
		violations: [], dispatches: new Map(), decisions: new Map(), takeoverCount: 0,
	};

	#tokens = 0;
	#starts = 0;

	private constructor(seed: number, broken: ClaimBreak) {
		this.#random = Random.create(seed);
		this.#broken = broken;
		this.#table = FaultyTable.create(this.#clock, this.#random);
		this.#table.faultRate = this.#random.next() * 0.4;
		this.#table.maxLatencyMs = this.#random.pick([0, 20, 300]);
		this.#table.maxLateMs = this.#random.pick([100, 3000, 20_000]);
		for (let index = 0; index < NODES; index++) {
			this.#nodes.push(this.#start());
		}
	}

	async #run(): Promise<void> {
		for (let step = 0; step < STEPS; step++) {
			this.#act();
			// eslint-disable-next-line no-await-in-loop
			await this.#clock.advanceAsync(this.#random.integer(0, 600));
		}

		this.#table.isDown = false;
		this.#table.faultRate = 0;
		for (const node of this.#nodes) {
			node.table.isCut = false;
			node.clock.resume();
		}

		await this.#clock.advanceAsync(60_000);
		this.#result.takeoverCount = this.#table.effects.filter(({condition, value}) =>
			condition.kind === 'token' && value?.includes('"claimed"')).length;
		for (const node of this.#nodes) {
			this.#assert(node.claims.pendingCount === 0, 'A background write was left after the store came back.');
			this.#assert(node.claims.liveCount === 0, 'An attempt was left after the end of all requests.');
		}
	}

	#act(): void {
		const index = this.#random.integer(0, NODES - 1);
		const node = this.#nodes[index]!;
		const draw = this.#random.next();
		if (draw < 0.7) {
			void this.#request(node, `k${this.#random.integer(1, 4)}`);
		} else if (draw < 0.78) {
			node.isDead = true;
			this.#peers.remove(node.id);
			this.#nodes[index] = this.#start();
		} else if (draw < 0.86) {
			node.clock.isPaused = true;
			this.#clock.setTimer(this.#random.integer(0, 5000), () => {
				node.clock.resume();
			});
		} else if (draw < 0.93) {
			this.#table.isDown = !this.#table.isDown;
		} else {
			node.table.isCut = !node.table.isCut;
		}
	}

	#start(): RunNode {
		this.#starts += 1;
		const id = `node-${this.#starts}`;
		const clock = NodeClock.create(this.#clock, 1);
		const table = NodeTable.create(this.#table, clock, this.#broken);
		const invariants = Invariants.create({throwOnViolation: false, onViolation: (_, detail) => this.#result.violations.push(detail)});
		const claims = TableClaims.create(table, id, {
			clock,
			invariants,
			peers: new BrokenPeers(this.#peers, this.#broken.status ?? (status => status)),
			createToken: () => {
				this.#tokens += 1;
				return `t${this.#tokens}`;
			},
		});
		this.#peers.add(id, claims);
		return {
			claims, clock, table, id, isDead: false,
		};
	}

	async #request(node: RunNode, key: string): Promise<void> {
		const isFirstAttempt = !this.#sent.has(key);
		this.#sent.add(key);
		const hasRunBefore = this.#result.dispatches.has(key);
		const decision = await node.claims.acquire({
			pool: 'p', customer: 'c', key, digest: key, isFirstAttempt, keepsAnswer: key !== 'k1',
		});
		this.#countDecision(decision);
		if (decision.kind === 'granted') {
			await this.#hold(node, key, decision.claim);
		} else if (decision.kind === 'refused') {
			const ran = ranOf(decision.err.kind, {isKeyed: true, holdsClaim: false, isFirstAttempt});
			// The caller may send a repeat while this attempt waits; `no` covers this attempt and those before it.
			this.#assert(ran !== Ran.No || !hasRunBefore, `${key} was said not to have run.`);
		}
	}

	/** A request waits in the queue, and then is dispatched or refused. */
	async #hold(node: RunNode, key: string, claim: Claim): Promise<void> {
		await node.clock.sleep(this.#random.integer(0, 2000));
		if (node.isDead) {
			return;
		}

		if (this.#random.next() < 0.5) {
			const ran = ranOf(ErrorKind.Overloaded, {isKeyed: true, holdsClaim: true, isFirstAttempt: false});
			this.#assert(ran === Ran.No && !this.#result.dispatches.has(key), `${key} was said not to have run.`);
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
			await this.#finish(node, claim);
		}
	}

	async #finish(node: RunNode, claim: Claim): Promise<void> {
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
