/**
 * Time of one decision of the allocator in a rush, by upstreams and waiting requests: a place is freed, the next request
 * gets it, and another one arrives. Another checkout can be measured in the same run, to compare with earlier code.
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

const UPSTREAMS = [13, 82, 300, 790];
const WAITING = [100, 1000, 10_000];
const SLOTS = 4;
/** How long a request holds its place, in ms. */
const SERVICE_MS = 600;
const RANKS = 3;
/** No request of the measure is refused for its time, in ms. */
const LONG_MS = 1_000_000_000;
const US_PER_MS = 1000;
/** Longest measure of one cell, in ms; earlier code takes seconds for a few decisions. */
const MAX_CELL_MS = 3000;
const MAX_DECISIONS = 4000;

type Modules = {
	readonly Allocator: typeof AllocatorClass;
	readonly Random: typeof RandomClass;
	readonly VirtualClock: typeof VirtualClockClass;
};

async function load(folder: string): Promise<Modules> {
	const importFrom = async (file: string) => import(pathToFileURL(path.resolve(folder, file)).href) as Promise<unknown>;
	const {Allocator} = await importFrom('src/allocation/allocator.ts') as Pick<Modules, 'Allocator'>;
	const {Random} = await importFrom('src/base/random.ts') as Pick<Modules, 'Random'>;
	const {VirtualClock} = await importFrom('src/base/virtual-clock.ts') as Pick<Modules, 'VirtualClock'>;
	return {Allocator, Random, VirtualClock};
}

/** @returns Mean time of a decision, in us. */
function measure({Allocator, Random, VirtualClock}: Modules, upstreamCount: number, waitingCount: number): number {
	const random = Random.create(1);
	const clock = VirtualClock.create();
	const allocator = Allocator.create({
		clock, random, nodeId: 'bench', repeatBounds: {ratio: 0.2, slack: 100, windowMs: 10_000}, quotaTolerance: {ratio: 0, slack: 0, windowMs: 8000},
	});
	allocator.setUpstreams({
		changed: Array.from({length: upstreamCount}, (_, index) => ({
			id: `engine-${index}`, pool: 'advice', address: `10.0.0.1:${index}`, dataCentre: `d${index % 6}`, region: `r${index % 3}`, slots: SLOTS, isLeaving: false, startedAt: 0,
		})),
		removed: [],
	});
	const held: string[] = [];
	let asks = 0;
	const ask = () => {
		asks += 1;
		const id = `ask-${asks}`;
		const isLate = random.next() < 0.5;
		const wanted: PlaceRequest = {
			id,
			requestId: id,
			pool: 'advice',
			customer: undefined,
			rank: Math.floor(random.next() * RANKS),
			operation: Operation.Stream,
			promptTokens: Math.floor(random.next() * 4000),
			outputEvents: 20,
			quotaCost: 0,
			isCharged: false,
			objectiveMs: isLate ? 0 : LONG_MS,
			remainingMs: LONG_MS,
			patienceMs: LONG_MS,
			callerLeavesMs: LONG_MS,
			maxPauseMs: 300,
			dataCentre: `d${asks % 6}`,
			region: `r${asks % 3}`,
			attempt: 1,
			excluded: [],
			fingerprint: id,
		};
		allocator.ask(wanted, {
			grant() {
				held.push(id);
			},
			refuse() {
				throw new Error('The measure refuses nothing.');
			},
		});
	};

	while (allocator.waitingCount < waitingCount) {
		ask();
	}

	const stepMs = SERVICE_MS / (upstreamCount * SLOTS);
	const startedAt = performance.now();
	let decisions = 0;
	while (decisions < MAX_DECISIONS && performance.now() - startedAt < MAX_CELL_MS) {
		const freed = held.splice(Math.floor(random.next() * held.length), 1)[0]!;
		allocator.release(freed, {
			ending: Ending.Answered, firstMs: 70, streamMs: SERVICE_MS, events: 20, load: undefined,
		});
		ask();
		clock.advance(stepMs);
		decisions += 1;
	}

	return (performance.now() - startedAt) * US_PER_MS / decisions;
}

const command = defineCommand({
	meta: {name: 'allocation', description: 'Time of a decision of the allocator in a rush.'},
	args: {
		earlier: {type: 'string', description: 'Checkout of earlier code to measure in the same run'},
	},
	async run({args}) {
		const folders = args.earlier === undefined ? ['.'] : ['.', args.earlier];
		const table = new Table({head: ['upstreams', 'waiting', ...folders.map(folder => `${folder}, us a decision`)]});
		for (const upstreamCount of UPSTREAMS) {
			for (const waitingCount of WAITING) {
				const times: string[] = [];
				for (const folder of folders) {
					const modules = await load(folder); // eslint-disable-line no-await-in-loop -- one measure at a time
					times.push(measure(modules, upstreamCount, waitingCount).toFixed(1));
				}

				table.push([upstreamCount, waitingCount, ...times]);
			}
		}

		process.stdout.write(`${table.toString()}\n`);
	},
});

await runMain(command);
