/**
 * Cost of the settings tree: calls to the store per change and per idle hour by number of nodes, and the time and
 * memory that a subtree with many customers takes on a node. Run by `node --expose-gc --import tsx bench/config.ts`.
 */
/* eslint-disable no-await-in-loop -- The steps of a run follow each other in virtual time. */
import process from 'node:process';
import {checkBody} from '../src/config/check-subtree.js';
import {Deployment, digestKey} from '../src/config/deployment.js';
import {SimulatedCluster} from '../test/config/simulated-cluster.js';

const SIZES = [8, 45, 90, 180];
const TARGET_NODES = 360;
const CUSTOMERS = 8900;
const IDLE_MS = 120_000;
const HOUR_MS = 3_600_000;
const CHANGES = 10;
const CHANGE_SPACING_MS = 10_000;
const RUNS = 9;

type Result = {
	nodes: number;
	/** List calls of one idle hour, over all nodes. */
	idleListsPerHour: number;
	idleFreshnessWritesPerHour: number;
	/** Reads of single rows per change: the put's own, and bodies that were not taken from a peer. */
	changeGets: number;
	/** Conditional writes per change; each writes the head and the version's row. */
	changeWrites: number;
	/** Same as `changeGets` while the nodes exchange nothing. */
	changeGetsWithoutPeers: number;
	/** Longest time from the put to its answer that all nodes have the version, in virtual ms. */
	inForceMs: number;
	inForceWithoutPeersMs: number;
	/** Keys, values and tokens of one list call, with 1 team and 2 regions. */
	listBytes: number;
};

function sum(world: SimulatedCluster, counter: 'gets' | 'lists' | 'versionWrites' | 'freshnessWrites'): number {
	return [...world.nodes.values()].reduce((total, node) => total + node.table[counter], 0);
}

async function measure(size: number): Promise<Result> {
	const world = new SimulatedCluster(1);
	for (let index = 0; index < size; index++) {
		await world.boot(`node-${index}`, index % 2 === 0 ? 'north' : 'south');
	}

	await world.clock.advanceAsync(10_000);
	const [lists, freshnessWrites] = [sum(world, 'lists'), sum(world, 'freshnessWrites')];
	await world.clock.advanceAsync(IDLE_MS);
	const idleListsPerHour = (sum(world, 'lists') - lists) * HOUR_MS / IDLE_MS;
	const idleFreshnessWritesPerHour = (sum(world, 'freshnessWrites') - freshnessWrites) * HOUR_MS / IDLE_MS;
	const pushed = await change(world, 0);
	world.network.isDown = true;
	const read = await change(world, CHANGES);
	const listed = await world.memory.list('config/current/', 1000);
	for (const id of world.nodes.keys()) {
		await world.stopNode(id);
	}

	return {
		nodes: size, idleListsPerHour, idleFreshnessWritesPerHour, changeGets: pushed.gets, changeWrites: pushed.writes,
		changeGetsWithoutPeers: read.gets, inForceMs: pushed.inForceMs, inForceWithoutPeersMs: read.inForceMs,
		listBytes: JSON.stringify(listed.unwrapOr([])).length,
	};
}

async function change(world: SimulatedCluster, firstVersion: number): Promise<{gets: number; writes: number; inForceMs: number}> {
	const [gets, writes] = [sum(world, 'gets'), sum(world, 'versionWrites')];
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

	return {gets: (sum(world, 'gets') - gets) / CHANGES, writes: (sum(world, 'versionWrites') - writes) / CHANGES, inForceMs};
}

/** Least squares: the value at the target by the line through the measured sizes. */
function extrapolate(values: readonly number[]): number {
	const meanSize = SIZES.reduce((a, b) => a + b) / SIZES.length;
	const meanValue = values.reduce((a, b) => a + b) / values.length;
	const slope = SIZES.reduce((sum, size, index) => sum + ((size - meanSize) * (values[index]! - meanValue)), 0)
		/ SIZES.reduce((sum, size) => sum + ((size - meanSize) ** 2), 0);
	return meanValue + (slope * (TARGET_NODES - meanSize));
}

function round(value: number): number {
	return Math.round(value * 10) / 10;
}

function median(values: readonly number[]): number {
	return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function usedMib(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed / (1024 ** 2);
}

function measureLargeSubtree(): void {
	const customers = Object.fromEntries(Array.from({length: CUSTOMERS}, (_, index) => [`customer-${index}`, {
		keyDigests: [digestKey(`key-${index}`)], weight: 2, requestsPerSecond: 20,
	}]));
	const body = JSON.stringify({customers});
	const before = usedMib();
	const kept: unknown[] = [];
	const times: Array<{check: number; index: number}> = [];
	for (let run = 0; run < RUNS; run++) {
		const start = performance.now();
		const subtree = checkBody(body).unwrapOr(undefined)!;
		const checked = performance.now();
		const deployment = Deployment.create(new Map([['team', subtree]]));
		times.push({check: checked - start, index: performance.now() - checked});
		kept[0] = [subtree, deployment];
	}

	console.log(JSON.stringify({
		customers: CUSTOMERS,
		bodyKib: round(body.length / 1024),
		checkMs: round(median(times.map(time => time.check))),
		firstCheckMs: round(times[0]!.check),
		indexMs: round(median(times.map(time => time.index))),
		heapMib: round(usedMib() - before),
		kept: kept.length,
	}));
}

measureLargeSubtree();
const rows: Result[] = [];
for (const size of SIZES) {
	const row = await measure(size);
	rows.push(row);
	console.log(JSON.stringify(row));
}

console.log(JSON.stringify({
	nodes: TARGET_NODES,
	computed: true,
	idleListsPerSecond: round(extrapolate(rows.map(row => row.idleListsPerHour)) / 3600),
	idleFreshnessWritesPerSecond: round(extrapolate(rows.map(row => row.idleFreshnessWritesPerHour)) / 3600),
	changeGets: round(extrapolate(rows.map(row => row.changeGets))),
	changeWrites: round(extrapolate(rows.map(row => row.changeWrites))),
	changeGetsWithoutPeers: round(extrapolate(rows.map(row => row.changeGetsWithoutPeers))),
}));
