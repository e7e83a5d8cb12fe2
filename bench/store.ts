/**
 * Measures claims, leases and placement plans through the store adapters against the platform stand-in, which runs as a
 * separate process: `node --import tsx bench/store.ts [--seconds N] [--concurrency N]`.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import {build as buildHistogram} from 'hdr-histogram-js';
import {SystemClock} from '../src/base/clock.js';
import {type Claims} from '../src/coordination/claims.js';
import {Lease} from '../src/coordination/lease.js';
import {planPlacement} from '../src/coordination/placement-plan.js';
import {TableClaims} from '../src/coordination/table-claims.js';
import {DynamoTable} from '../src/store/dynamo-table.js';

const {values: flags} = parseArgs({options: {seconds: {type: 'string', default: '5'}, concurrency: {type: 'string', default: '16'}}});
const runMs = Number(flags.seconds) * 1000;
const MICROSECONDS_PER_MS = 1000;

const platform = spawn(process.execPath, ['--import', 'tsx', 'standins/platform-main.ts'], {stdio: ['ignore', 'pipe', 'inherit']});
const [url] = await once(createInterface({input: platform.stdout}), 'line') as [string];
const table = DynamoTable.create({
	endpoint: url,
	region: 'bench',
	accessKeyId: 'bench',
	secretAccessKey: 'bench',
	connectTimeoutMs: 1000,
	requestTimeoutMs: 2000,
	maxConnections: 64,
	tableName: 'redwingspool',
});
const clock = SystemClock.create();
let sequence = 0;

async function readCounts(): Promise<Map<string, number>> {
	const res = await fetch(`${url}/control/counts`);
	return new Map(Object.entries(await res.json() as Record<string, number>));
}

async function claimAndComplete(claims: Claims, keepsAnswer: boolean): Promise<void> {
	sequence += 1;
	const decision = await claims.acquire({
		pool: 'bench/service', customer: 'bench/customer', key: String(sequence), digest: 'd', isFirstAttempt: true, keepsAnswer,
	});
	if (decision.kind !== 'granted' || !claims.noteCommitted(decision.claim)) {
		throw new Error(`Claim ${sequence} was not granted.`);
	}

	await claims.complete(decision.claim, keepsAnswer
		? {status: 201, contentType: 'application/json', body: new Uint8Array(300)}
		: undefined);
}

/** Runs an operation at the given concurrency for the duration of a run and prints its rate, latency and store calls. */
async function measure(name: string, concurrency: number, operation: () => Promise<unknown>): Promise<void> {
	const histogram = buildHistogram();
	const before = await readCounts();
	const cpu = process.cpuUsage();
	const end = performance.now() + runMs;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (performance.now() < end) {
			const start = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await operation();
			histogram.recordValue(Math.round((performance.now() - start) * MICROSECONDS_PER_MS));
		}
	}));
	const used = process.cpuUsage(cpu);
	const after = await readCounts();
	const calls = [...after].map(([call, count]) => [call, (count - (before.get(call) ?? 0)) / histogram.totalCount] as const)
		.filter(([, share]) => share > 0);
	console.log(JSON.stringify({
		name,
		concurrency,
		perSecond: Math.round(histogram.totalCount / runMs * 1000),
		p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
		p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
		cpuMsPerOperation: Number(((used.user + used.system) / MICROSECONDS_PER_MS / histogram.totalCount).toFixed(3)),
		storeCallsPerOperation: Object.fromEntries(calls.map(([call, share]) => [call, Number(share.toFixed(3))])),
	}));
}

function measurePlacementPlan(): void {
	const engines = Array.from({length: 790}, (_, index) => ({
		id: `e${index}`, models: [`m${index % 7}`], modelSlots: 2, rate: 100,
	}));
	const demand = new Map(Array.from({length: 7}, (_, index) => [`m${index}`, index === 0 ? 40_000 : 5000]));
	const histogram = buildHistogram();
	for (let run = 0; run < 50; run++) {
		const start = performance.now();
		planPlacement(engines, demand);
		histogram.recordValue(Math.round((performance.now() - start) * MICROSECONDS_PER_MS));
	}

	console.log(JSON.stringify({
		name: 'plan of 16 changes, 790 engines, 7 models', p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS, p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
	}));
}

/** Completes bookings while the store closes each connection, then measures the time to write their records after recovery. */
async function measureOutage(claims: TableClaims, count: number): Promise<void> {
	const decisions = await Promise.all(Array.from({length: count}, async (_, index) => claims.acquire({
		pool: 'bench/outage', customer: 'bench/customer', key: String(index), digest: 'd', isFirstAttempt: true, keepsAnswer: true,
	})));
	await setStoreDown(true);
	const latencies = buildHistogram();
	await Promise.all(decisions.map(async decision => {
		if (decision.kind === 'granted' && claims.noteCommitted(decision.claim)) {
			const start = performance.now();
			await claims.complete(decision.claim, {status: 201, contentType: undefined, body: new Uint8Array(300)});
			latencies.recordValue(Math.round((performance.now() - start) * MICROSECONDS_PER_MS));
		}
	}));
	const {pendingCount, pendingBytes} = claims.background;
	await setStoreDown(false);
	const start = performance.now();
	const isFlushed = await claims.background.flush(30_000);
	console.log(JSON.stringify({
		name: 'outage',
		granted: latencies.totalCount,
		callerWaitP99Ms: latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
		pendingCount,
		pendingBytes,
		isFlushed,
		recoveryMs: Math.round(performance.now() - start),
	}));
}

async function setStoreDown(isDown: boolean): Promise<void> {
	await fetch(`${url}/control/faults`, {method: 'PUT', body: JSON.stringify({isDown})});
}

const claims = TableClaims.create(table, 'bench-node');
const lease = Lease.create({
	table, clock, name: 'bench', holder: 'bench-node',
});
const concurrency = Number(flags.concurrency);
await measure('warm-up, keyed notes', concurrency, async () => claimAndComplete(claims, false));
await measure('bookings', 1, async () => claimAndComplete(claims, true));
await measure('bookings', concurrency, async () => claimAndComplete(claims, true));
await measure('keyed notes', 1, async () => claimAndComplete(claims, false));
await measure('keyed notes', concurrency, async () => claimAndComplete(claims, false));
await lease.tryAcquire();
await measure('lease renewals', 1, async () => lease.renew());
await measureOutage(claims, 1000);
measurePlacementPlan();
table.destroy();
platform.kill();
