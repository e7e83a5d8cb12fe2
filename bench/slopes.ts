/**
 * `npm run bench:slopes`: measures costs that grow with the size of a deployment, each at four or more sizes, and prints
 * the slopes from which docs/CAPACITY.md is computed.
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {request} from 'undici';
import {digestBody} from '../src/config/check-subtree.js';
import {CurrentSettings} from '../src/config/current-settings.js';
import {SubtreeStore} from '../src/config/subtree-store.js';
import {Invariants} from '../src/base/invariant.js';
import {Assignment} from '../src/members/assignment.js';
import {chooseEntries} from '../src/members/entries.js';
import {MemberStatus, type MemberView} from '../src/members/member.js';
import {callerKey, Deployment, type RunningNode} from '../test/system/deployment.js';
import {measureDecisionTime} from './policy/decision-time.js';

/** Clock ticks per second in /proc/<pid>/stat on Linux. */
const TICKS_PER_SECOND = 100;
const REPEATS = 3;
const WINDOW_MS = 4000;
const KIB = 1024;

/** The repeated measurements at a size. */
type Point = {
	readonly size: number;
	readonly values: readonly number[];
};

/** A line that is fitted by least squares. */
type Line = {
	readonly slope: number;
	readonly atZero: number;
};

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}

function fitLine(points: ReadonlyArray<{readonly size: number; readonly value: number}>): Line {
	const size = mean(points.map(point => point.size));
	const value = mean(points.map(point => point.value));
	let covariance = 0;
	let variance = 0;
	for (const point of points) {
		covariance += (point.size - size) * (point.value - value);
		variance += (point.size - size) ** 2;
	}

	const slope = covariance / variance;
	return {slope, atZero: value - (slope * size)};
}

/** Prints the points, the slope of their means, and the range of the slopes of the single repeats. */
function report(title: string, unit: string, sizeUnit: string, points: readonly Point[]): void {
	const line = fitLine(points.map(({size, values}) => ({size, value: mean(values)})));
	const repeatSlopes = points[0]!.values.map((_, repeat) => fitLine(points.map(({size, values}) => ({size, value: values[repeat]!}))).slope);
	console.log(title);
	for (const {size, values} of points) {
		console.log(`  ${size} ${sizeUnit}: ${mean(values).toFixed(3)} ${unit} (${Math.min(...values).toFixed(3)} to ${Math.max(...values).toFixed(3)})`);
	}

	const spread = `${Math.min(...repeatSlopes).toPrecision(3)} to ${Math.max(...repeatSlopes).toPrecision(3)}`;
	console.log(`  slope: ${line.slope.toPrecision(3)} ${unit} per ${sizeUnit} (${spread}), at zero ${line.atZero.toPrecision(3)} ${unit}`);
}

function repeat(measure: () => number): number[] {
	return Array.from({length: REPEATS}, () => measure());
}

/** @returns Mean time of a call, in ms. */
function timeMs(calls: number, action: () => void): number {
	action();
	const start = performance.now();
	for (let call = 0; call < calls; call += 1) {
		action();
	}

	return (performance.now() - start) / calls;
}

function createMembers(count: number): MemberView[] {
	return Array.from({length: count}, (_, index) => ({
		id: `vm-${index}`,
		process: `p-${index}`,
		address: `10.0.${Math.trunc(index / 250)}.${index % 250}:7000`,
		entryAddress: `10.0.${Math.trunc(index / 250)}.${index % 250}:443`,
		region: `region-${index % 2}`,
		dataCentre: `dc-${index % 5}`,
		incarnation: 1,
		status: MemberStatus.Alive,
		load: index % 100,
	}));
}

function createUpstreams(count: number) {
	return Array.from({length: count}, (_, index) => ({
		id: `team/engine-${index}`, pool: `team/model-${index % 7}`, region: `region-${index % 2}`, dataCentre: `dc-${index % 5}`,
	}));
}

/** @returns Settings of a team with many customers, as JSON. */
function subtreeBody(customers: number): string {
	return JSON.stringify({
		services: {
			advice: {
				kind: 'model', models: ['m'], tiers: [{name: 'high', deadlineMs: 1000}], defaultTier: 'high',
			},
		},
		customers: Object.fromEntries(Array.from({length: customers}, (_, index) => [`customer-${index}`, {
			keyDigests: [index.toString(16).padStart(64, '0')],
		}])),
	});
}

function applySubtree(body: string): SubtreeStore {
	const store = SubtreeStore.withInvariants(Invariants.create({throwOnViolation: true}), CurrentSettings.create());
	store.tryApply({
		team: 'team', version: 1, digest: digestBody(body), bytes: Buffer.byteLength(body),
	}, body);
	store.startPublishing();
	return store;
}

function measureHeapKib(create: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const retained = create();
	globalThis.gc?.();
	const after = process.memoryUsage().heapUsed;
	return retained === undefined ? 0 : (after - before) / KIB;
}

function measureComputations(): void {
	report('Routing decision', 'us', 'upstreams', [12, 100, 400, 790].map(size => ({size, values: repeat(() => measureDecisionTime(size))})));
	report('Assignment of 790 upstreams, computed when members change', 'ms', 'nodes', [8, 90, 180, 360].map(size => ({
		size, values: repeat(() => timeMs(3, () => Assignment.create(createMembers(size), createUpstreams(790)))),
	})));
	report('Response to GET /v1/entries', 'ms', 'nodes', [8, 90, 180, 360].map(size => {
		const views = createMembers(size);
		return {size, values: repeat(() => timeMs(100, () => chooseEntries({id: 'team/customer', region: 'region-0'}, views)))};
	}));
	report('Check and application of a subtree', 'ms', 'customers', [1000, 2000, 4000, 8900].map(size => {
		const body = subtreeBody(size);
		return {size, values: repeat(() => timeMs(2, () => applySubtree(body)))};
	}));
	report('Memory of applied settings', 'KiB', 'customers', [1000, 2000, 4000, 8900].map(size => {
		const body = subtreeBody(size);
		return {size, values: repeat(() => measureHeapKib(() => applySubtree(body)))};
	}));
}

/** @returns CPU time that a process has used, in ms. */
function cpuMs({child}: RunningNode): number {
	const fields = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ').at(-1)!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND;
}

/** @returns Resident memory of a process, in MiB. */
function residentMib({child}: RunningNode): number {
	const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
	const {kib} = /^VmRSS:\s+(?<kib>\d+)/mv.exec(status)!.groups!;
	return Number(kib) / KIB;
}

async function sleep(ms: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** @returns CPU usage of a process during some work, in percent of a core. */
async function cpuPercent(node: RunningNode, work: () => Promise<void>): Promise<number> {
	const [start, cpu] = [performance.now(), cpuMs(node)];
	await work();
	return 100 * (cpuMs(node) - cpu) / (performance.now() - start);
}

async function complete(node: RunningNode, tokens: number): Promise<void> {
	const res = await request(`${node.url}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${callerKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'crew-advice', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'slopes'}],
		}),
	});
	await res.body.dump({limit: Number.MAX_SAFE_INTEGER});
}

/** Sends requests at a rate for one window and waits until all have ended. */
async function generateLoad(node: RunningNode, perSecond: number, tokens: number): Promise<void> {
	const running: Array<Promise<void>> = [];
	const end = performance.now() + WINDOW_MS;
	for (let sent = 0; performance.now() < end; sent += 1) {
		running.push(complete(node, tokens));
		// eslint-disable-next-line no-await-in-loop -- limits the request rate
		await sleep(1000 / perSecond);
	}

	await Promise.all(running);
}

async function measureSeries(sizes: readonly number[], measure: (size: number) => Promise<number>): Promise<Point[]> {
	const points = [];
	for (const size of sizes) {
		const values = [];
		for (let turn = 0; turn < REPEATS; turn += 1) {
			// eslint-disable-next-line no-await-in-loop -- measurements must not overlap
			values.push(await measure(size));
		}

		points.push({size, values});
	}

	return points;
}

async function measureProcesses(): Promise<void> {
	const deployment = await Deployment.start(8);
	const node = await deployment.startNode(0);
	await deployment.putSettings();
	const idle: Point[] = [];
	for (const size of [1, 2, 4, 8]) {
		while (deployment.nodes.length < size) {
			// eslint-disable-next-line no-await-in-loop
			await deployment.startNode(deployment.nodes.length);
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(3000);
		// eslint-disable-next-line no-await-in-loop
		idle.push(...await measureSeries([size], async () => cpuPercent(node, async () => sleep(WINDOW_MS))));
	}

	report('Processor time of a node without requests', '% of a core', 'nodes', idle);
	report('Processor time for requests of 16 tokens', '% of a core', 'requests/s', await measureSeries([10, 20, 40, 80], async size => cpuPercent(node, async () => generateLoad(node, size, 16))));
	report('Processor time for tokens at 10 requests/s', '% of a core', 'tokens per response', await measureSeries([10, 50, 100, 200], async size => cpuPercent(node, async () => generateLoad(node, 10, size))));
	report('Resident memory', 'MiB', 'open streams', await measureSeries([0, 100, 200, 400], async size => {
		const streams = Array.from({length: size}, async () => complete(node, 300));
		await sleep(1500);
		const resident = residentMib(node);
		await Promise.all(streams);
		return resident;
	}));
	await deployment.stop();
}

measureComputations();
await measureProcesses();
