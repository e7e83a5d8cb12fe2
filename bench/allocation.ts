/**
 * Benchmark of the allocator under overload, by number of upstreams and waiting requests. A decision consists of a release,
 * the grant to the next request and a new request. Another checkout can be measured in the same run for comparison.
 */
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {defineCommand, runMain} from 'citty';
import Table from 'cli-table3';
import {type Allocator as AllocatorClass} from '../src/allocation/allocator.js';
import {type PlaceRequest} from '../src/allocation/allocation.js';
import {type Random as RandomClass} from '../src/base/random.js';
import {type VirtualClock as VirtualClockClass} from '../src/base/virtual-clock.js';
import {Ending} from '../src/gateway/exchange-ending.js';
import {Operation} from '../src/gateway/routing-table.js';
import {UpstreamLimits} from '../src/gateway/upstream-limits.js';

const UPSTREAM_COUNTS = [13, 82, 300, 790];
const WAITING_COUNTS = [100, 1000, 10_000];
const SLOTS = 4;
/** Time for which a request holds its place, in ms. */
const SERVICE_MS = 600;
const RANK_COUNT = 3;
/** Customers that compete, if measured under pressure. */
const CUSTOMER_COUNT = 16;
/** Deadline that no request of the benchmark reaches, in ms. */
const UNREACHED_DEADLINE_MS = 1_000_000_000;
const US_PER_MS = 1000;
/** Time limit of one table cell, in ms; earlier code takes seconds for a few decisions. */
const CELL_TIME_LIMIT_MS = 3000;
const MAX_DECISIONS = 4000;

type Modules = {
	readonly Allocator: typeof AllocatorClass;
	readonly Random: typeof RandomClass;
	readonly VirtualClock: typeof VirtualClockClass;
};

async function loadModules(folder: string): Promise<Modules> {
	const importFrom = async (file: string) => import(pathToFileURL(path.resolve(folder, file)).href) as Promise<unknown>;
	const {Allocator} = await importFrom('src/allocation/allocator.ts') as Pick<Modules, 'Allocator'>;
	const {Random} = await importFrom('src/base/random.ts') as Pick<Modules, 'Random'>;
	const {VirtualClock} = await importFrom('src/base/virtual-clock.ts') as Pick<Modules, 'VirtualClock'>;
	return {Allocator, Random, VirtualClock};
}

/** @returns Mean time of a decision, in us. */
function measureDecisionTime({Allocator, Random, VirtualClock}: Modules, upstreamCount: number, waitingCount: number, isUnderPressure: boolean): number {
	const random = Random.create(1);
	const clock = VirtualClock.create();
	const allocator = Allocator.create({
		clock, random, nodeId: 'bench', repeatBounds: {ratio: 0.2, slack: 100, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000}, limits: UpstreamLimits.create(), isUnderPressure,
	});
	allocator.setUpstreams({
		changed: Array.from({length: upstreamCount}, (_, index) => ({
			id: `engine-${index}`, pool: 'advice', address: `10.0.0.1:${index}`, dataCentre: `d${index % 6}`, region: `r${index % 3}`, slots: SLOTS, isLeaving: false, startedAt: 0,
		})),
		removed: [],
	});
	const held: string[] = [];
	let requestCount = 0;
	const requestPlace = () => {
		requestCount += 1;
		const id = `ask-${requestCount}`;
		const hasMissedObjective = !isUnderPressure && random.next() < 0.5;
		const placeRequest: PlaceRequest = {
			id,
			requestId: id,
			pool: 'advice',
			customer: isUnderPressure ? `customer-${requestCount % CUSTOMER_COUNT}` : undefined,
			rank: Math.floor(random.next() * RANK_COUNT),
			operation: Operation.Stream,
			promptTokens: Math.floor(random.next() * 4000),
			outputEvents: 20,
			quotaCost: 0,
			isCharged: false,
			isCounted: false,
			isContinuation: false,
			objectiveMs: hasMissedObjective ? 0 : UNREACHED_DEADLINE_MS,
			remainingMs: UNREACHED_DEADLINE_MS,
			patienceMs: UNREACHED_DEADLINE_MS,
			callerLeavesMs: UNREACHED_DEADLINE_MS,
			maxPauseMs: 300,
			dataCentre: `d${requestCount % 6}`,
			region: `r${requestCount % 3}`,
			attempt: 1,
			excluded: [],
			fingerprint: id,
			features: [id],
		};
		allocator.ask(placeRequest, {
			grant() {
				held.push(id);
			},
			refuse() {
				throw new Error('Unexpected refusal: all requests have long deadlines.');
			},
		});
	};

	while (allocator.waitingCount < waitingCount) {
		requestPlace();
	}

	const stepMs = SERVICE_MS / (upstreamCount * SLOTS);
	const startedAt = performance.now();
	let decisions = 0;
	while (decisions < MAX_DECISIONS && performance.now() - startedAt < CELL_TIME_LIMIT_MS) {
		const releasedId = held.splice(Math.floor(random.next() * held.length), 1)[0]!;
		allocator.release(releasedId, {
			ending: Ending.Answered, firstMs: 70, streamMs: SERVICE_MS, events: 20, load: undefined,
		});
		requestPlace();
		clock.advance(stepMs);
		decisions += 1;
	}

	return (performance.now() - startedAt) * US_PER_MS / decisions;
}

const command = defineCommand({
	meta: {name: 'allocation', description: 'Measures the decision time of the allocator under overload.'},
	args: {
		earlier: {type: 'string', description: 'Checkout of an earlier version to measure in the same run'},
		pressure: {type: 'boolean', description: 'Measure this checkout with fair shares, too'},
	},
	async run({args}) {
		const variants = [{folder: '.', isUnderPressure: false}];
		if (args.pressure) {
			variants.push({folder: '.', isUnderPressure: true});
		}

		if (args.earlier !== undefined) {
			variants.push({folder: args.earlier, isUnderPressure: false});
		}

		const table = new Table({head: ['upstreams', 'waiting', ...variants.map(({folder, isUnderPressure}) => `${folder}${isUnderPressure ? ' with shares' : ''}, us per decision`)]});
		for (const upstreamCount of UPSTREAM_COUNTS) {
			for (const waitingCount of WAITING_COUNTS) {
				const times: string[] = [];
				for (const {folder, isUnderPressure} of variants) {
					const modules = await loadModules(folder); // eslint-disable-line no-await-in-loop -- measurements must not overlap
					times.push(measureDecisionTime(modules, upstreamCount, waitingCount, isUnderPressure).toFixed(1));
				}

				table.push([upstreamCount, waitingCount, ...times]);
			}
		}

		process.stdout.write(`${table.toString()}\n`);
	},
});

await runMain(command);
