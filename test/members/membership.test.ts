import {create} from '@bufbuild/protobuf';
import {expect} from 'chai';
import fc from 'fast-check';
import {MemberStatus} from '../../src/members/member.js';
import {createEntry} from '../../src/members/entry-version.js';
import {ExchangeRequestSchema, MemberState, type Member} from '../../src/peer/generated/redwingspool/peer/v1/peer_pb.js';
import {
	addressOf, checkConverged, checkSeen, Cluster, ResurrectionCheck,
} from './cluster.js';

const NODES = 8;
const CONVERGENCE_MS = 60_000;
const indexes = Array.from({length: NODES}, (_, index) => index);

function startAll(seed: number, regions: readonly string[], faults: {loss?: number; duplication?: number; maxDelayMs?: number} = {}): Cluster {
	const cluster = new Cluster({seed, regions, ...faults});
	for (const index of indexes) {
		cluster.start(index, [0, 1]);
	}

	return cluster;
}

const eventArbitrary = fc.record({
	kind: fc.constantFrom('crash', 'restart', 'leave', 'pause', 'partition', 'heal', 'leaving', 'quiet'),
	node: fc.nat(NODES - 1),
	ms: fc.integer({min: 200, max: 25_000}),
});

type Event = {kind: string; node: number; ms: number};

async function runChecked(cluster: Cluster, ms: number, check: ResurrectionCheck): Promise<void> {
	for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1000) {
		// eslint-disable-next-line no-await-in-loop
		await cluster.run(Math.min(1000, ms - elapsedMs));
		check.check(cluster);
	}
}

async function applyEvent(cluster: Cluster, event: Event, check: ResurrectionCheck): Promise<void> {
	const node = cluster.nodes.get(event.node);
	switch (event.kind) {
		case 'crash': {
			cluster.crash(event.node);
			break;
		}

		case 'restart': {
			cluster.crash(event.node);
			cluster.start(event.node, indexes);
			break;
		}

		case 'leave': {
			await (node && !node.clock.resumed ? cluster.leave(event.node) : undefined);
			break;
		}

		case 'pause': {
			node?.clock.pause();
			await runChecked(cluster, event.ms, check);
			node?.clock.resume();
			break;
		}

		case 'partition': {
			cluster.partitionOf = address => Number(address.split('.')[3]!.split(':')[0]) <= event.node ? 1 : 2;
			break;
		}

		case 'heal': {
			cluster.partitionOf = () => 0;
			break;
		}

		case 'leaving': {
			node?.topics.publishLeaving(`team/u${event.ms}`, true, cluster.clock.now());
			break;
		}

		default: {
			break;
		}
	}
}

async function runEvents(seed: number, regions: readonly string[], events: readonly Event[]): Promise<void> {
	const cluster = startAll(seed, regions, {loss: 0.1, duplication: 0.1, maxDelayMs: 100});
	const check = new ResurrectionCheck();
	await runChecked(cluster, 5000, check);
	for (const event of events) {
		// eslint-disable-next-line no-await-in-loop
		await applyEvent(cluster, event, check);
		// eslint-disable-next-line no-await-in-loop
		await runChecked(cluster, event.ms, check);
	}

	cluster.partitionOf = () => 0;
	for (const index of indexes) {
		if (!cluster.nodes.has(index)) {
			cluster.start(index, indexes);
		}
	}

	cluster.loss = 0.02;
	await runChecked(cluster, CONVERGENCE_MS, check);
	checkConverged(cluster);
}

describe('membership', () => {
	for (const [name, regions] of [['one region', ['a']], ['three regions', ['a', 'b', 'c']]] as const) {
		// Guards against live members that are lost and dead ones that reappear under combined faults.
		it(`converges after random faults in ${name}`, async function () {
			this.timeout(120_000);
			await fc.assert(
				fc.asyncProperty(fc.nat(1_000_000), fc.array(eventArbitrary, {minLength: 1, maxLength: 8}), async (seed, events) => runEvents(seed, regions, events)),
				{numRuns: 25, seed: 20_261},
			);
		});
	}

	// Guards against dissemination that never reaches nodes that the first pushes miss.
	it('informs all connected nodes of a leaving upstream within 3 s', async () => {
		for (let seed = 0; seed < 20; seed += 1) {
			const cluster = startAll(seed, ['a', 'b'], {loss: 0.2, duplication: 0.1, maxDelayMs: 50});
			// eslint-disable-next-line no-await-in-loop
			await cluster.run(8000);
			const since = cluster.clock.now();
			const node = cluster.nodes.get(seed % NODES)!;
			node.topics.publishLeaving('team/u', true, since);
			node.gossip.pushUrgent();
			// eslint-disable-next-line no-await-in-loop
			await cluster.run(3000);
			checkSeen(cluster, 'leaving {"upstreamId":"team/u","isLeaving":true}', since, 3000);
		}
	});

	// Guards against urgent entries that wait for the next tick. With 8 nodes, ticks alone also meet the limit of 3 s.
	it('pushes a leaving upstream before the next tick', async () => {
		const cluster = startAll(6, ['a']);
		await cluster.run(8000);
		const node = cluster.nodes.get(0)!;
		node.topics.publishLeaving('team/u', true, cluster.clock.now());
		node.gossip.pushUrgent();
		await cluster.run(60);
		const informed = [...cluster.nodes.values()].filter(({seen}) => seen.size > 0).length;
		expect(informed).to.be.greaterThan(NODES - 2);
	});

	// Guards against an old process that displaces its successor when it resumes after a pause.
	it('supersedes the older of two processes of one VM', async () => {
		const cluster = startAll(1, ['a']);
		await cluster.run(40_000);
		const old = cluster.nodes.get(3)!;
		old.clock.pause();
		const successor = cluster.start(3, [0, 1], 1);
		await cluster.run(10_000);
		expect(successor.membership.incarnation).to.be.greaterThan(old.membership.incarnation);
		old.clock.resume();
		await cluster.run(5000);
		expect([old.isSuperseded, successor.isSuperseded]).to.deep.equal([true, false]);
		checkConverged(cluster);
	});

	// Guards against reassignment when a partitioned region reconnects.
	it('keeps the other side of a partition as suspect for 90 min', async function () {
		this.timeout(120_000);
		const cluster = startAll(2, ['a', 'b']);
		await cluster.run(10_000);
		cluster.partitionOf = address => Number(address.split('.')[3]!.split(':')[0]) % 2;
		await cluster.run(85 * 60_000);
		const statuses = cluster.view(cluster.nodes.get(0)!).filter(view => view.region === 'b').map(view => view.status);
		expect(statuses).to.deep.equal(Array.from({length: 4}, () => MemberStatus.Suspect));
		await cluster.run(10 * 60_000);
		expect(cluster.view(cluster.nodes.get(0)!).some(view => view.region === 'b' && view.status === MemberStatus.Dead)).to.equal(true);
		cluster.partitionOf = () => 0;
		await cluster.run(CONVERGENCE_MS);
		checkConverged(cluster);
	});

	// Guards against slow members that are declared dead, and against dead members that are not detected.
	it('distinguishes a slow member from a dead one', async () => {
		const cluster = startAll(3, ['a']);
		await cluster.run(10_000);
		cluster.nodes.get(5)!.clock.pause();
		await cluster.run(5000);
		const status = () => cluster.view(cluster.nodes.get(0)!).find(view => view.id === 'vm-5')!;
		expect(status().status).to.equal(MemberStatus.Suspect);
		cluster.nodes.get(5)!.clock.resume();
		await cluster.run(3000);
		expect([status().status, status().incarnation]).to.deep.equal([MemberStatus.Alive, 1]);
		cluster.crash(5);
		await cluster.run(30_000);
		expect(status().status).to.equal(MemberStatus.Dead);
	});

	// Guards against the loss of soft state when none of the initial VMs is left.
	it('keeps entries while all nodes are replaced one after another', async () => {
		const cluster = startAll(4, ['a', 'b']);
		await cluster.run(5000);
		cluster.nodes.get(0)!.topics.publishApplied({
			subtree: 'team', version: 7, digest: 'd', bytes: 1,
		}, cluster.clock.now());
		for (const index of indexes) {
			// eslint-disable-next-line no-await-in-loop
			await cluster.leave(index);
			cluster.start(index, indexes);
			// eslint-disable-next-line no-await-in-loop
			await cluster.run(5000);
		}

		checkConverged(cluster);
		checkSeen(cluster, 'config {"subtree":"team","region":"a","nodeId":"vm-0","version":7,"digest":"d","bytes":1}', 0, Number.POSITIVE_INFINITY);
	});

	// Guards against checks that cannot fail: each one is given a run that violates it.
	it('detects injected violations with each check', async () => {
		const cluster = startAll(5, ['a']);
		await cluster.run(5000);
		const check = new ResurrectionCheck();
		cluster.crash(6);
		await cluster.run(30_000);
		check.check(cluster);
		const node = cluster.nodes.get(0)!;
		const dead = node.membership.store.get('m/vm-6')!;
		const member = dead.value.value as Member;
		// A version above `MemberState.DEAD` counts as a newer version of the same incarnation.
		const entry = createEntry({
			key: dead.key, generation: dead.generation, version: 9, lifetimeMs: 0, value: {case: 'member', value: {...member, state: MemberState.ALIVE}},
		});
		node.membership.receiveRequest(create(ExchangeRequestSchema, {entries: [entry]}), cluster.clock.now());
		expect(() => {
			check.check(cluster);
		}).to.throw('again as');
		expect(() => {
			checkConverged(cluster);
		}).to.throw('vm-0 sees');
		cluster.partitionOf = address => address === addressOf(2) ? 1 : 0;
		node.topics.publishLeaving('team/u', true, cluster.clock.now());
		await cluster.run(3000);
		expect(() => {
			checkSeen(cluster, 'leaving {"upstreamId":"team/u","isLeaving":true}', cluster.clock.now() - 3000, 3000);
		}).to.throw('vm-2 saw');
	});
});
