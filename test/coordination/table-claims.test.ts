import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import Result from 'true-myth/result';
import {Invariants, InvariantViolation} from '../../src/base/invariant.js';
import {VirtualClock} from '../../src/base/virtual-clock.js';
import {ClaimCollector} from '../../src/coordination/claim-collector.js';
import {MemoryClaimPeers} from '../../src/coordination/claim-peers.js';
import {claimRowKey} from '../../src/coordination/claim-row.js';
import {type Claim, type ClaimDecision, type ClaimRequest} from '../../src/coordination/claims.js';
import {TableClaims, type TableClaimsOptions} from '../../src/coordination/table-claims.js';
import {MemoryObjectStore} from '../../src/store/memory-table.js';
import {createStrictLog} from '../support/strict-log.js';
import {type Fault, FaultyTable} from './faulty-table.js';

const strictLog = createStrictLog();

const booking: ClaimRequest = {
	pool: 'tea/tables', customer: 'tea/concierge', key: 'k', digest: 'd', isFirstAttempt: false, keepsAnswer: true,
};
const requestWithoutReplay: ClaimRequest = {...booking, key: 'n', keepsAnswer: false};
const HOUR_MS = 3_600_000;
const answer = {status: 201, contentType: 'text/plain', body: Buffer.from('hold 1')};

/** Two nodes that share a table and can query each other. */
class TestCluster {
	/** Creates a cluster in which both nodes have read the claim clock. */
	static async start(): Promise<TestCluster> {
		const cluster = new TestCluster();
		await cluster.settle(Promise.all([cluster.a.start(), cluster.b.start()]), 0);
		cluster.table.callCount = 0;
		return cluster;
	}

	readonly clock = VirtualClock.create();
	readonly table = FaultyTable.create(this.clock);
	readonly objects = MemoryObjectStore.create();
	readonly peers = MemoryClaimPeers.create();
	readonly a = this.node('a');
	readonly b = this.node('b');

	node(id: string, options: TableClaimsOptions = {}): TableClaims {
		const claims = TableClaims.create(this.table, id, {
			clock: this.clock, log: strictLog, objects: this.objects, peers: this.peers, invariants: Invariants.create({throwOnViolation: true}), ...options,
		});
		this.peers.add(id, claims);
		return claims;
	}

	/** Advances the clock and then awaits the call. */
	async settle<Value>(call: Promise<Value>, ms = 10_000): Promise<Value> {
		await this.clock.advanceAsync(ms);
		return call;
	}

	async acquire(node: TableClaims, request = booking, ms?: number): Promise<string> {
		return kindOf(await this.settle(node.acquire(request), ms));
	}

	async grant(node: TableClaims, request = booking): Promise<Claim> {
		const decision = await this.settle(node.acquire(request));
		expect(decision.kind).to.equal('granted');
		return (decision as {claim: Claim}).claim;
	}
}

function kindOf(decision: ClaimDecision): string {
	return decision.kind === 'refused' ? decision.err.kind : decision.kind;
}

async function expectViolation(action: () => Promise<void>): Promise<void> {
	try {
		await action();
	} catch (err) {
		expect(err).to.be.instanceOf(InvariantViolation);
		return;
	}

	expect.fail('no violation');
}

const recoverableFaults: Fault[][] = [['lost-answer'], ['lost-request'], ['late'], ['lost-answer', 'unavailable', 'lost-answer'], ['hang']];

describe('table-claims', () => {
	let cluster: TestCluster;
	beforeEach(async () => {
		cluster = await TestCluster.start();
	});

	it('replays small and large answers on another node, and refuses the key with another body', async () => {
		for (const size of [10, 64 * 1024, (64 * 1024) + 1]) {
			const request = {...booking, key: `k${size}`};
			const body = Buffer.alloc(size, 7);
			// eslint-disable-next-line no-await-in-loop
			const claim = await cluster.grant(cluster.a, request);
			expect(cluster.a.noteCommitted(claim)).to.equal(true);
			// eslint-disable-next-line no-await-in-loop
			await cluster.settle(cluster.a.complete(claim, {...answer, body}));
			// eslint-disable-next-line no-await-in-loop
			const replay = await cluster.settle(cluster.b.acquire(request));
			expect(replay).to.deep.include({kind: 'replay', answer: {...answer, body}});
			// eslint-disable-next-line no-await-in-loop
			expect(await cluster.acquire(cluster.b, {...request, digest: 'other'})).to.equal('key-conflict');
		}
	});

	it('grants a claim if the first responses are lost, and retries of the write do not change the row', async () => {
		for (const faults of recoverableFaults) {
			// eslint-disable-next-line no-await-in-loop
			cluster = await TestCluster.start();
			cluster.table.scriptedFaults = [...faults];
			// eslint-disable-next-line no-await-in-loop
			const claim = await cluster.grant(cluster.a);
			// eslint-disable-next-line no-await-in-loop
			await cluster.clock.advanceAsync(5000);
			expect(cluster.table.effects.map(write => write.token), faults.join(', ')).to.deep.equal([claim.token]);
			// eslint-disable-next-line no-await-in-loop
			expect(await cluster.acquire(cluster.b)).to.equal('in-progress');
		}
	});

	it('refuses requests while the store is down or hangs, and tells a declared first attempt that it was not run', async () => {
		cluster.table.isDown = true;
		expect(await cluster.acquire(cluster.a)).to.equal('earlier-attempt-unknown');
		expect(await cluster.acquire(cluster.a, {...booking, isFirstAttempt: true})).to.equal('store-unavailable');
		expect(cluster.table.effects).to.have.length(0);
	});

	it('takes over on another node a claim that its live holder cancelled while the write was in flight', async () => {
		cluster.table.maxEffectDelayMs = 60_000;
		cluster.table.scriptedFaults = ['hang', ...Array.from({length: 60}, (): Fault => 'unavailable')];
		expect(await cluster.acquire(cluster.a)).to.equal('earlier-attempt-unknown');
		await cluster.clock.advanceAsync(60_000);
		cluster.table.scriptedFaults = [];
		expect(cluster.table.effects).to.have.length(1);
		expect(await cluster.acquire(cluster.b, booking, 0)).to.equal('granted');
		expect(cluster.table.effects[1]!.condition).to.deep.equal({kind: 'token', token: cluster.table.effects[0]!.token});
		expect(await cluster.acquire(cluster.a)).to.equal('in-progress');
	});

	it('never takes over from a holder that is unreachable, has committed, or has no record of the attempt', async () => {
		const claim = await cluster.grant(cluster.a);
		cluster.peers.remove('a');
		expect(await cluster.acquire(cluster.b)).to.equal('outcome-unknown');
		cluster.peers.add('a', cluster.a);
		cluster.a.noteCommitted(claim);
		expect(await cluster.acquire(cluster.b)).to.equal('in-progress');
		cluster.a.abandon(claim);
		expect(await cluster.acquire(cluster.b)).to.equal('outcome-unknown');
		expect(await cluster.acquire(cluster.a)).to.equal('outcome-unknown');
		cluster.node('a');
		expect(await cluster.acquire(cluster.b)).to.equal('outcome-unknown');
	});

	it('prevents the dispatch of a released claim and the release of a dispatched claim', async () => {
		const released = await cluster.grant(cluster.a);
		await cluster.settle(cluster.a.release(released));
		expect(() => cluster.a.noteCommitted(released)).to.throw(InvariantViolation);
		const claim = await cluster.grant(cluster.b);
		cluster.b.noteCommitted(claim);
		expect(() => cluster.b.noteCommitted(claim)).to.throw(InvariantViolation);

		await expectViolation(async () => cluster.b.release(claim));
		expect(await cluster.acquire(cluster.a)).to.equal('in-progress');
	});

	it('a late release does not delete the row of a later attempt', async () => {
		const first = await cluster.grant(cluster.a);
		cluster.table.maxEffectDelayMs = 3000;
		cluster.table.scriptedFaults = ['late', 'lost-answer'];
		await cluster.settle(cluster.a.release(first), 500);
		const second = await cluster.grant(cluster.b);
		await cluster.clock.advanceAsync(10_000);
		expect(cluster.table.effects.at(-1)!.token).to.equal(second.token);
	});

	it('requests without replay cost one write, and are refused as dispatched afterwards', async () => {
		const claim = await cluster.grant(cluster.a, requestWithoutReplay);
		cluster.a.noteCommitted(claim);
		await cluster.settle(cluster.a.complete(claim, undefined));
		expect(cluster.table.callCount).to.equal(1);
		expect(await cluster.acquire(cluster.a, requestWithoutReplay)).to.equal('already-dispatched');
		expect(await cluster.acquire(cluster.b, requestWithoutReplay)).to.equal('already-dispatched');
	});

	it('records answers in the background while the store is down, within the memory limit', async () => {
		const limits = {
			maxJobs: 3, maxBytes: 4096, minBackOffMs: 10, maxBackOffMs: 100,
		};
		const c = cluster.node('c', {backgroundLimits: limits});
		const claims: Claim[] = [];
		for (const key of ['1', '2', '3', '4', '5']) {
			// eslint-disable-next-line no-await-in-loop
			claims.push(await cluster.grant(c, {...booking, key}));
			c.noteCommitted(claims.at(-1)!);
		}

		cluster.table.isDown = true;
		for (const claim of claims) {
			// eslint-disable-next-line no-await-in-loop
			await cluster.settle(c.complete(claim, {...answer, body: Buffer.alloc(1000)}), 300);
			expect(c.background.pendingBytes).to.be.at.most(4096);
		}

		expect(c.background.droppedCount).to.equal(3);
		await cluster.settle(Promise.all(Array.from({length: 10}, async (_, index) => c.acquire({...booking, key: `refused-${index}`}))));
		expect(c.background.droppedCount, 'refused requests displace no answers').to.equal(3);
		expect(c.pendingCount, 'a write that the store refused needs no release').to.equal(2);
		cluster.table.isDown = false;
		expect(await cluster.settle(c.background.flush(1000))).to.equal(true);
		expect(await cluster.acquire(cluster.b, {...booking, key: '5'})).to.equal('replay');
		expect(await cluster.acquire(cluster.b, {...booking, key: '1'})).to.equal('outcome-unknown');
	});

	it('refuses requests with a corrupt row without throwing', async () => {
		for (const value of ['', '{', 'null', '{"state":"done"}', '{"state":"free","holder":"a"}']) {
			// eslint-disable-next-line no-await-in-loop
			await cluster.table.inner.write({
				key: claimRowKey(booking), value, condition: {kind: 'any'}, token: 't',
			});
			// eslint-disable-next-line no-await-in-loop
			expect(await cluster.acquire(cluster.a), value).to.equal('outcome-unknown');
		}
	});

	it('row keys of different customers, services and keys never collide', () => {
		const text = fc.string({unit: 'binary', maxLength: 6});
		const parts = fc.record({customer: text, pool: text, key: text});
		fc.assert(fc.property(parts, parts, (left, right) => {
			const isSame = left.customer === right.customer && left.pool === right.pool && left.key === right.key;
			expect(claimRowKey(left) === claimRowKey(right)).to.equal(isSame);
		}), {seed: 7, numRuns: 300});
		expect(claimRowKey({customer: 'a/b', pool: 'c', key: 'd'})).to.not.equal(claimRowKey({customer: 'a', pool: 'b/c', key: 'd'}));
	});

	/** Runs a collector, which advances the claim clock, for the given time. */
	async function runCollector(ms: number): Promise<ClaimCollector> {
		const collector = ClaimCollector.create(cluster.table, cluster.clock, strictLog, {pageRows: 100, intervalMs: 30_000});
		collector.start();
		await cluster.clock.advanceAsync(ms);
		collector.stop();
		return collector;
	}

	it('deletes rows older than a day at the configured rate, and keeps others', async () => {
		for (const key of ['1', '2', '3', '4', '5']) {
			// eslint-disable-next-line no-await-in-loop
			await cluster.grant(cluster.a, {...booking, key});
		}

		const firstRun = await runCollector(25 * HOUR_MS);
		expect(firstRun.deletedCount).to.equal(0);
		await cluster.grant(cluster.a, {...booking, key: '6'});
		const collector = ClaimCollector.create(cluster.table, cluster.clock, strictLog, {pageRows: 2, intervalMs: 30_000});
		collector.start();
		await cluster.clock.advanceAsync(200_000);
		expect(collector.deletedCount).to.be.within(1, 4);
		await cluster.clock.advanceAsync(400_000);
		collector.stop();
		expect(collector.deletedCount).to.equal(5);
		expect(await cluster.acquire(cluster.b, {...booking, key: '6'})).to.equal('in-progress');
	});

	// Guards against dating claims by wall clocks: a VM whose wall clock was a day behind dated its claims a day early, so
	// that they were deleted immediately (soak seed 104734).
	async function expectNoEarlyDeletion(jumpMs: number): Promise<void> {
		await runCollector(HOUR_MS);
		await cluster.grant(cluster.a);
		cluster.clock.jumpWall(jumpMs);
		const skewedNode = cluster.node('wrong');
		await cluster.grant(skewedNode, {...booking, key: 'wrong'});
		const duringJump = await runCollector(HOUR_MS);
		cluster.clock.jumpWall(-jumpMs);
		const afterJump = await runCollector(HOUR_MS);
		expect(duringJump.deletedCount + afterJump.deletedCount).to.equal(0);
		expect(await cluster.acquire(cluster.b)).to.equal('in-progress');
		expect(await cluster.acquire(cluster.b, {...booking, key: 'wrong'})).to.equal('in-progress');
	}

	it('deletes nothing early if wall clocks are days behind from the start or jump', async () => {
		await expectNoEarlyDeletion(-3 * 24 * HOUR_MS);
	});

	it('deletes nothing early if wall clocks are days ahead from the start or jump', async () => {
		await expectNoEarlyDeletion(3 * 24 * HOUR_MS);
	});

	it('deletes nothing early if two collectors run concurrently', async () => {
		await cluster.grant(cluster.a);
		const collectors = [1, 2].map(() => ClaimCollector.create(cluster.table, cluster.clock, strictLog, {pageRows: 100, intervalMs: 15_000}));
		for (const collector of collectors) {
			collector.start();
		}

		await cluster.clock.advanceAsync(24 * HOUR_MS);
		expect(collectors.map(collector => collector.deletedCount)).to.deep.equal([0, 0]);
		await cluster.clock.advanceAsync(3 * HOUR_MS);
		expect(Math.max(...collectors.map(collector => collector.deletedCount))).to.equal(1);
		for (const collector of collectors) {
			collector.stop();
		}
	});

	it('grants no claim before the claim clock is read, and reports the store as unavailable', async () => {
		const started = cluster.node('started');
		cluster.table.scriptedFaults = ['unavailable'];
		expect(await cluster.acquire(started, {...booking, isFirstAttempt: true})).to.equal('store-unavailable');
		expect(await cluster.acquire(started)).to.equal('granted');
	});

	it('grants claims if each call to the store takes most of a second', async () => {
		cluster.table.maxLatencyMs = 400;
		await cluster.settle(cluster.a.start());
		const before = cluster.table.callCount;
		await cluster.grant(cluster.a);
		expect(cluster.table.callCount - before).to.equal(1);
	});

	it('answers that wait for the object store do not block others', async () => {
		cluster.objects.put = async () => Result.err({failure: 'unavailable', detail: 'injected'});
		for (let index = 0; index < 20; index++) {
			const body = Buffer.alloc(index === 19 ? 10 : 70_000);
			// eslint-disable-next-line no-await-in-loop
			const claim = await cluster.grant(cluster.a, {...booking, key: `${index}`});
			cluster.a.noteCommitted(claim);
			// eslint-disable-next-line no-await-in-loop
			await cluster.settle(cluster.a.complete(claim, {...answer, body}), 250);
		}

		await cluster.clock.advanceAsync(20_000);
		expect(cluster.a.background.pendingCount).to.equal(19);
		expect(await cluster.acquire(cluster.b, {...booking, key: '19'})).to.equal('replay');
	});
});
