/**
 * Measures the cost of membership, gossip and shares by number of nodes, in virtual time over the in-memory transport with
 * real encoding. Run with `npm run bench:members`; results are in docs/measurements/members.md.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Random} from '../src/base/random.js';
import {Assignment} from '../src/members/assignment.js';
import {MemberStatus} from '../src/members/member.js';
import {SharesPart, type TieredDemand} from '../src/peer/shares-part.js';
import {DEMAND_INTERVAL_MS} from '../src/policy/shares.js';
import {Cluster, type ClusterNode} from '../test/members/cluster.js';
import {createStrictLog} from '../test/support/strict-log.js';
import {measureWire, type WireCost} from './members-wire.js';

const strictLog = createStrictLog();

/** Upstreams and nodes of the target deployment; see docs/design.md, section 4. */
const TARGET_UPSTREAMS = 790;
const TARGET_NODES = 360;
const MIN_UPSTREAMS = 12;
const REQUESTS_PER_SECOND = 15;
/** Duration of a request: 5,900 tokens/s at 15 requests/s are 393 tokens per request, at 48 ms per token. */
const REQUEST_SECONDS = 19;
/** Concurrency limit of an upstream: 8 accelerators with 20 requests each, of which the peak load needs 132. */
const PEAK_LIMIT = 160;
/** Concurrency limit of an upstream if each node demands slots of all its upstreams. */
const CONTENDED_LIMIT = 32;
const SETTLE_MS = 15_000;
const MEASURE_MS = 5000;
const regions = ['north', 'south'];

/** A demand pattern that loads the exchange of shares. */
type Pattern = {
	readonly upstreamCount: (nodes: number) => number;
	readonly limit: number;
	/** @returns A function that is called at each interval and returns the demand of one node. */
	readonly create: (upstreamIds: readonly string[], random: Random) => () => readonly TieredDemand[];
};

type MutableDemand = {upstreamId: string; limitEstimate: number; held: number; waitingByTier: number[]};

function createDemand(upstreamId: string, limitEstimate: number, held: number): MutableDemand {
	return {
		upstreamId, limitEstimate, held, waitingByTier: [],
	};
}

/** Each node has the request rate of a node of the target, and the number of upstreams grows with the nodes. No request waits. */
const peak: Pattern = {
	upstreamCount: nodes => Math.max(MIN_UPSTREAMS, Math.round(TARGET_UPSTREAMS * nodes / TARGET_NODES)),
	limit: PEAK_LIMIT,
	create(upstreamIds, random) {
		const demand = upstreamIds.map(id => createDemand(id, PEAK_LIMIT, 0));
		for (let request = 0; request < REQUESTS_PER_SECOND * REQUEST_SECONDS; request += 1) {
			random.pick(demand).held += 1;
		}

		return () => {
			for (let replaced = 0; replaced < REQUESTS_PER_SECOND * DEMAND_INTERVAL_MS / 1000; replaced += 1) {
				random.pick(demand.filter(({held}) => held > 0)).held -= 1;
				random.pick(demand).held += 1;
			}

			return demand;
		};
	},
};

/** Each node demands slots of all its upstreams, mostly more than its share. */
const contended: Pattern = {
	upstreamCount: () => TARGET_UPSTREAMS,
	limit: CONTENDED_LIMIT,
	create(upstreamIds, random) {
		const demand = upstreamIds.map(id => ({...createDemand(id, CONTENDED_LIMIT, 2), waitingByTier: [0, 0, 1, 0, 0]}));
		return () => {
			for (const entry of demand) {
				if (random.next() < 0.1) {
					entry.held = random.integer(1, 3);
					entry.waitingByTier[2] = random.integer(0, 1);
				}
			}

			return demand;
		};
	},
};

const patterns = new Map([['peak', peak], ['contended', contended]]);

function createUpstreams(count: number) {
	return Array.from({length: count}, (_, index) => ({
		id: `team-${index % 9}/engine-${index}`, pool: `team-${index % 9}/chat`, region: regions[index % 2]!, dataCentre: `dc-${index % 5}`,
	}));
}

type TrafficCost = {
	readonly messages: number;
	readonly bytes: number;
	readonly cpuPercent: number;
};

type NodeShares = {readonly part: SharesPart; assignment: Assignment};

function addShares(cluster: Cluster, sharesByNode: Map<number, NodeShares>, pattern: Pattern, random: Random): void {
	const nodes = [...cluster.nodes.values()];
	const assignment = Assignment.create(cluster.view(nodes[0]!), createUpstreams(pattern.upstreamCount(nodes.length)));
	for (const node of nodes) {
		const part = SharesPart.create({
			self: node,
			clock: node.clock,
			log: strictLog,
			transport: node.transport,
			demand: pattern.create(assignment.upstreamsOf(node.id), random),
			allocatorOf: id => assignment.allocatorOf(id),
			nodeCountOf: id => assignment.nodesOf(id).length,
			maxConcurrencyOf: () => pattern.limit,
			setShare() {
				// The benchmark has no scheduler to update.
			},
		});
		sharesByNode.set(node.index, {part, assignment});
		void part.start(err => {
			throw err;
		});
	}
}

async function measure(cluster: Cluster): Promise<TrafficCost> {
	const nodes = [...cluster.nodes.values()];
	const sumSent = () => {
		const sum = {messages: 0, bytes: 0};
		for (const node of nodes) {
			const sent = cluster.network.sentBy(node.address);
			sum.messages += sent.messages;
			sum.bytes += sent.bytes;
		}

		return sum;
	};

	const before = sumSent();
	const cpu = process.cpuUsage();
	await cluster.run(MEASURE_MS);
	const used = process.cpuUsage(cpu);
	const after = sumSent();
	const nodeSeconds = nodes.length * MEASURE_MS / 1000;
	return {
		messages: (after.messages - before.messages) / nodeSeconds,
		bytes: (after.bytes - before.bytes) / nodeSeconds,
		cpuPercent: (used.user + used.system) / 1e4 / nodeSeconds,
	};
}

/** @returns Time until a published message has reached all nodes, in ms, at a resolution of 5 ms. */
async function measurePropagation(cluster: Cluster, publish: (node: ClusterNode, now: number) => void, text: string): Promise<number> {
	const nodes = [...cluster.nodes.values()];
	const since = cluster.clock.now();
	publish(nodes[0]!, since);
	nodes[0]!.gossip.pushUrgent();
	await cluster.run(4000);
	return Math.max(...nodes.map(node => (node.seen.get(text) ?? Number.POSITIVE_INFINITY) - since));
}

async function run(count: number, seed: number, pattern: Pattern, wire: WireCost): Promise<void> {
	const sharesByNode = new Map<number, NodeShares>();
	const cluster = new Cluster({
		seed, regions, maxDelayMs: 16, loss: 0.01, handlersOf: node => ({demand: async req => sharesByNode.get(node.index)!.part.handlers.demand!(req)}),
	});
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	for (let index = 0; index < count; index += 1) {
		cluster.start(index, [0, 1, 2]);
	}

	await cluster.run(SETTLE_MS);
	const views = [...cluster.nodes.values()].map(node => cluster.view(node).filter(view => view.status === MemberStatus.Alive).length);
	globalThis.gc?.();
	const heapPerNode = (process.memoryUsage().heapUsed - heapBefore) / count;
	const gossip = await measure(cluster);
	const leaving = await measurePropagation(cluster, (node, now) => node.topics.publishLeaving('team-1/engine-1', true, now), 'leaving {"upstreamId":"team-1/engine-1","isLeaving":true}');
	const config = await measurePropagation(cluster, (node, now) => node.topics.publishApplied({
		subtree: 'team-1', version: 2, digest: 'a'.repeat(64), bytes: 1000,
	}, now), `config {"subtree":"team-1","region":"north","nodeId":"vm-0","version":2,"digest":"${'a'.repeat(64)}","bytes":1000}`);
	addShares(cluster, sharesByNode, pattern, Random.create(seed));
	await cluster.run(2000);
	const both = await measure(cluster);
	const wireBytes = (cost: TrafficCost) => Math.round(cost.bytes + (cost.messages * wire.overheadBytes / 2));
	const wireCpu = (cost: TrafficCost) => (cost.cpuPercent + (cost.messages / 2 * wire.cpuMicros / 1e4)).toFixed(2);
	console.log(JSON.stringify({
		nodes: count,
		seed,
		leastSeenAlive: Math.min(...views),
		gossipMessages: Number(gossip.messages.toFixed(1)),
		gossipBytes: Math.round(gossip.bytes),
		gossipWireBytes: wireBytes(gossip),
		gossipCpu: gossip.cpuPercent.toFixed(2),
		gossipWireCpu: wireCpu(gossip),
		allMessages: Number(both.messages.toFixed(1)),
		allBytes: Math.round(both.bytes),
		allWireBytes: wireBytes(both),
		allCpu: both.cpuPercent.toFixed(2),
		allWireCpu: wireCpu(both),
		heapKb: Math.round(heapPerNode / 1024),
		leavingMs: Math.round(leaving),
		configMs: Math.round(config),
	}));
}

const {values} = parseArgs({options: {nodes: {type: 'string', default: '8,45,90,180,360'}, seeds: {type: 'string', default: '1,2,3'}, pattern: {type: 'string', default: 'peak'}}});
const pattern = patterns.get(values.pattern);
if (!pattern) {
	throw new Error(`Unknown pattern ${values.pattern}; expected one of ${[...patterns.keys()].join(', ')}.`);
}

const wire = await measureWire();
console.log(JSON.stringify({overheadBytes: Math.round(wire.overheadBytes), firstCallBytes: wire.firstCallBytes, cpuMicros: Math.round(wire.cpuMicros)}));
for (const nodes of values.nodes.split(',')) {
	for (const seed of values.seeds.split(',')) {
		// eslint-disable-next-line no-await-in-loop
		await run(Number(nodes), Number(seed), pattern, wire);
	}
}

process.exit(0);
