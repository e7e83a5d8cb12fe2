/**
 * Benchmark of the settings tree: store calls per change and per idle hour by number of nodes, and the time and memory
 * that a subtree with many customers takes on a node. Run with `node --expose-gc --import tsx bench/config.ts`.
 */
/* eslint-disable no-await-in-loop -- The steps of a run are sequential in virtual time. */
import process from 'node:process';
import {checkBody} from '../src/config/check-subtree.js';
import {Deployment, digestKey} from '../src/config/deployment.js';
import {SimulatedCluster} from '../test/config/simulated-cluster.js';

const NODE_COUNTS = [8, 45, 90, 180];
const TARGET_NODE_COUNT = 360;
const CUSTOMERS = 8900;
const IDLE_MS = 120_000;
const HOUR_MS = 3_600_000;
const CHANGES = 10;
const CHANGE_SPACING_MS = 10_000;
const RUNS = 9;

type Measurement = {
	nodes: number;
	/** List calls per idle hour, summed over all nodes. */
	idleListsPerHour: number;
	idleFreshnessWritesPerHour: number;
	/** Reads of single rows per change: those of the put, and those of bodies that were not fetched from a peer. */
	changeGets: number;
	/** Conditional writes per change; each writes the head row and the row of the version. */
	changeWrites: number;
	/** Same as `changeGets`, with the peer network down. */
	changeGetsWithoutPeers: number;
	/** Longest time from a put until all nodes have applied its version, in virtual ms. */
	inForceMs: number;
	inForceWithoutPeersMs: number;
	/** Size of the result of a list call (keys, values and tokens), with 1 team and 2 regions. */
	listBytes: number;
};

function sumCounter(world: SimulatedCluster, counter: 'gets' | 'lists' | 'versionWrites' | 'freshnessWrites'): number {
	return [...world.nodes.values()].reduce((total, node) => total + node.table[counter], 0);
}

async function measure(size: number): Promise<Measurement> {
	const world = new SimulatedCluster(1);
	for (let index = 0; index < size; index++) {
		await world.boot(`node-${index}`, index % 2 === 0 ? 'north' : 'south');
	}

	await world.clock.advanceAsync(10_000);
	const [lists, freshnessWrites] = [sumCounter(world, 'lists'), sumCounter(world, 'freshnessWrites')];
	await world.clock.advanceAsync(IDLE_MS);
	const idleListsPerHour = (sumCounter(world, 'lists') - lists) * HOUR_MS / IDLE_MS;
	const idleFreshnessWritesPerHour = (sumCounter(world, 'freshnessWrites') - freshnessWrites) * HOUR_MS / IDLE_MS;
	const withPeers = await measureChanges(world, 0);
	world.network.isDown = true;
	const withoutPeers = await measureChanges(world, CHANGES);
	const listed = await world.memory.list('config/current/', 1000);
	for (const id of world.nodes.keys()) {
		await world.stopNode(id);
	}

	return {
		nodes: size, idleListsPerHour, idleFreshnessWritesPerHour, changeGets: withPeers.gets, changeWrites: withPeers.writes,
		changeGetsWithoutPeers: withoutPeers.gets, inForceMs: withPeers.inForceMs, inForceWithoutPeersMs: withoutPeers.inForceMs,
		listBytes: JSON.stringify(listed.unwrapOr([])).length,
	};
}

async function measureChanges(world: SimulatedCluster, firstVersion: number): Promise<{gets: number; writes: number; inForceMs: number}> {
	const [gets, writes] = [sumCounter(world, 'gets'), sumCounter(world, 'versionWrites')];
	let inForceMs = 0;
	for (let version = firstVersion; version < firstVersion + CHANGES; version++) {
		const putAt = world.clock.now();
		const put = world.nodes.get('node-0')!.service.put({
			team: 'team', fromVersion: version, author: 'bench', force: false, subtree: {operators: {o: {keyDigests: [], description: String(version)}}},
		});
		while ([...world.nodes.values()].some(node => (node.sync.subtrees.get('team')?.head.version ?? 0) <= version)) {
			await world.clock.advanceAsync(10);
		}

		inForceMs = Math.max(inForceMs, world.clock.now() - putAt);
		await world.advanceUntilSettled(put);
		await world.clock.advanceAsync(CHANGE_SPACING_MS);
	}

	return {gets: (sumCounter(world, 'gets') - gets) / CHANGES, writes: (sumCounter(world, 'versionWrites') - writes) / CHANGES, inForceMs};
}

/** @returns The value at the target size, extrapolated by linear least squares from the measured sizes. */
function extrapolate(values: readonly number[]): number {
	const meanSize = NODE_COUNTS.reduce((a, b) => a + b) / NODE_COUNTS.length;
	const meanValue = values.reduce((a, b) => a + b) / values.length;
	const slope = NODE_COUNTS.reduce((sum, size, index) => sum + ((size - meanSize) * (values[index]! - meanValue)), 0)
		/ NODE_COUNTS.reduce((sum, size) => sum + ((size - meanSize) ** 2), 0);
	return meanValue + (slope * (TARGET_NODE_COUNT - meanSize));
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}

function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function heapUsedMib(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed / (1024 ** 2);
}

function measureLargeSubtree(): void {
	const customers = Object.fromEntries(Array.from({length: CUSTOMERS}, (_, index) => [`customer-${index}`, {
		keyDigests: [digestKey(`key-${index}`)], weight: 2, requestsPerSecond: 20,
	}]));
	const body = JSON.stringify({customers});
	const before = heapUsedMib();
	const retained: unknown[] = [];
	const times: Array<{check: number; index: number}> = [];
	for (let run = 0; run < RUNS; run++) {
		const start = performance.now();
		const subtree = checkBody(body).unwrapOr(undefined)!;
		const checked = performance.now();
		const deployment = Deployment.create(new Map([['team', subtree]]));
		times.push({check: checked - start, index: performance.now() - checked});
		retained[0] = [subtree, deployment];
	}

	console.log(JSON.stringify({
		customers: CUSTOMERS,
		bodyKib: round(body.length / 1024),
		checkMs: round(median(times.map(time => time.check))),
		firstCheckMs: round(times[0]!.check),
		indexMs: round(median(times.map(time => time.index))),
		heapMib: round(heapUsedMib() - before),
		kept: retained.length,
	}));
}

measureLargeSubtree();
const rows: Measurement[] = [];
for (const size of NODE_COUNTS) {
	const row = await measure(size);
	rows.push(row);
	console.log(JSON.stringify(row));
}

console.log(JSON.stringify({
	nodes: TARGET_NODE_COUNT,
	computed: true,
	idleListsPerSecond: round(extrapolate(rows.map(row => row.idleListsPerHour)) / 3600),
	idleFreshnessWritesPerSecond: round(extrapolate(rows.map(row => row.idleFreshnessWritesPerHour)) / 3600),
	changeGets: round(extrapolate(rows.map(row => row.changeGets))),
	changeWrites: round(extrapolate(rows.map(row => row.changeWrites))),
	changeGetsWithoutPeers: round(extrapolate(rows.map(row => row.changeGetsWithoutPeers))),
}));
