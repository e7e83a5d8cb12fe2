/**
 * Workloads of the two users: upstreams, request classes, load over time.
 */
import {type Random} from '../../src/base/random.js';
import {type Work} from '../../src/policy/scheduler.js';
import {type EngineSpec} from './engine-fake.js';
import {type ServiceSpec} from './service-fake.js';

/** Tokens of one prompt block. */
export const BLOCK_TOKENS = 64;
export const MODEL_POOL = 'bench/model';
export const SERVICE_POOL = 'bench/service';
/** Virtual length of a run. */
export const RUN_MS = 120_000;
const SYSTEM_BLOCKS = 4;

/** A kind of request. */
type RequestClass = {
	readonly tier: number;
	readonly pool: string;
	/** Part of the requests. */
	readonly weight: number;
	readonly promptTokens: readonly [number, number];
	readonly outputTokens: readonly [number, number];
	readonly deadlineMs: number;
	/** Distinct documents that prompts are about; 0 where each prompt is new. */
	readonly documents: number;
};

/** A user of the system. */
export type Workload = {
	readonly name: string;
	readonly engines: readonly EngineSpec[];
	readonly services: readonly ServiceSpec[];
	readonly classes: readonly RequestClass[];
	readonly nodeCount: number;
};

/** A request with what the fakes need to know. */
export type Arrival = {
	readonly work: Work;
	readonly outputTokens: number;
};

export const regions = ['region-a', 'region-b', 'region-c'] as const;

function engines(count: number): EngineSpec[] {
	const generations = [
		{
			stepMs: 16, prefillTokensPerMs: 12, maxBatch: 24, cacheBlocks: 3000,
		},
		{
			stepMs: 24, prefillTokensPerMs: 8, maxBatch: 16, cacheBlocks: 2000,
		},
		{
			stepMs: 36, prefillTokensPerMs: 5, maxBatch: 12, cacheBlocks: 1500,
		},
	];
	return Array.from({length: count}, (_, index) => ({
		id: `bench/engine-${index}`, region: regions[index % 3]!, ...generations[Math.floor(index / 3) % 3]!,
	}));
}

function services(): ServiceSpec[] {
	return regions.map((region, index) => ({
		id: `bench/service-${index}`, region, workers: 8, callMs: 20 + (15 * index),
	}));
}

const bookings: readonly RequestClass[] = [
	{
		tier: 1, pool: SERVICE_POOL, weight: 0.06, promptTokens: [0, 0], outputTokens: [1, 1], deadlineMs: 1500, documents: 0,
	},
	{
		tier: 3, pool: SERVICE_POOL, weight: 0.14, promptTokens: [0, 0], outputTokens: [1, 1], deadlineMs: 1000, documents: 0,
	},
];

/** The workloads by name. */
export const workloads: Readonly<Record<string, Workload>> = {
	skimmers: {
		name: 'skimmers',
		engines: engines(12),
		services: services(),
		nodeCount: 9,
		classes: [
			{
				tier: 0, pool: MODEL_POOL, weight: 0.35, promptTokens: [300, 500], outputTokens: [20, 60], deadlineMs: 1000, documents: 0,
			},
			{
				tier: 2, pool: MODEL_POOL, weight: 0.3, promptTokens: [400, 1500], outputTokens: [40, 120], deadlineMs: 3000, documents: 200,
			},
			{
				tier: 4, pool: MODEL_POOL, weight: 0.15, promptTokens: [5000, 30_000], outputTokens: [150, 400], deadlineMs: 8000, documents: 80,
			},
			...bookings,
		],
	},
	tearooms: {
		name: 'tearooms',
		engines: engines(6),
		services: services(),
		nodeCount: 8,
		classes: [
			{
				tier: 0, pool: MODEL_POOL, weight: 0.35, promptTokens: [300, 450], outputTokens: [15, 50], deadlineMs: 1000, documents: 0,
			},
			{
				tier: 2, pool: MODEL_POOL, weight: 0.3, promptTokens: [400, 3000], outputTokens: [60, 200], deadlineMs: 3000, documents: 150,
			},
			{
				tier: 3, pool: MODEL_POOL, weight: 0.15, promptTokens: [3000, 12_000], outputTokens: [200, 500], deadlineMs: 6000, documents: 40,
			},
			...bookings,
		],
	},
};

/** Requests per second that the healthy model pool serves with half of each prompt cached. */
export function capacity(workload: Workload): number {
	const classes = workload.classes.filter(({pool}) => pool === MODEL_POOL);
	const total = classes.reduce((sum, {weight}) => sum + weight, 0);
	let perSecond = 0;
	for (const engine of workload.engines) {
		const decodeMs = engine.stepMs * (1 + (0.04 * engine.maxBatch)) / engine.maxBatch;
		let meanMs = 0;
		for (const {weight, promptTokens, outputTokens, documents} of classes) {
			// Lengths of documents are skewed towards short ones.
			const [min, max] = promptTokens;
			const meanPrompt = documents === 0 ? mean(promptTokens) : min + ((max - min) / 3);
			meanMs += weight / total * ((meanPrompt / 2 / engine.prefillTokensPerMs) + (mean(outputTokens) * decodeMs));
		}

		perSecond += 1000 / meanMs;
	}

	return perSecond / total;
}

/** Load relative to capacity: an evening rush with two instant bursts. */
export function loadAt(ms: number): number {
	if ((ms >= 35_000 && ms < 45_000) || (ms >= 80_000 && ms < 90_000)) {
		return 3;
	}

	return 0.4 + (0.8 * Math.sin(Math.PI * ms / RUN_MS));
}

/** Makes the requests of a run. */
export class ArrivalSource {
	static create(workload: Workload, random: Random): ArrivalSource {
		return new ArrivalSource(workload, random);
	}

	readonly #workload: Workload;
	readonly #random: Random;
	#count = 0;

	private constructor(workload: Workload, random: Random) {
		this.#workload = workload;
		this.#random = random;
	}

	next(now: number): Arrival {
		this.#count += 1;
		const random = this.#random;
		const kind = this.#pickClass();
		const customer = Math.min(4, Math.floor(5 * (random.next() ** 2)));
		const {promptTokens, documents, prefix} = this.#prompt(kind, customer);
		const outputTokens = kind.pool === MODEL_POOL ? random.integer(kind.outputTokens[0], kind.outputTokens[1]) : 1;
		return {
			outputTokens,
			work: {
				id: `w${this.#count}`,
				pool: kind.pool,
				customer: `bench/customer-${customer}`,
				customerWeight: 1,
				tier: kind.tier,
				model: undefined,
				promptTokens,
				expectedOutputTokens: kind.outputTokens[1],
				prefix,
				arrivedAt: now,
				deadlineAt: now + kind.deadlineMs,
				fingerprint: `f${this.#count}-${documents}`,
				excluded: [],
			},
		};
	}

	#pickClass(): RequestClass {
		let left = this.#random.next();
		for (const kind of this.#workload.classes) {
			left -= kind.weight;
			if (left <= 0) {
				return kind;
			}
		}

		return this.#workload.classes[0]!;
	}

	/** A system prompt of the customer, a document that others may also ask about, and a new question. */
	#prompt(kind: RequestClass, customer: number): {promptTokens: number; documents: number; prefix: number[]} {
		const [min, max] = kind.promptTokens;
		if (max === 0) {
			return {promptTokens: 0, documents: 0, prefix: []};
		}

		const random = this.#random;
		const document = kind.documents === 0 ? this.#count : Math.floor(kind.documents * (random.next() ** 2));
		const spread = ((document * 2_654_435_761) % 1000) / 1000;
		const promptTokens = Math.floor(min + ((max - min) * (kind.documents === 0 ? random.next() : spread ** 2)));
		const blocks = Math.max(1, Math.floor(promptTokens / BLOCK_TOKENS));
		const group = (customer * 10) + kind.tier;
		const prefix = Array.from({length: blocks}, (_, index) => {
			if (index < SYSTEM_BLOCKS) {
				return (group * 1000) + index;
			}

			const isQuestion = index === blocks - 1;
			return isQuestion ? 5e11 + this.#count : 1e9 + (group * 1e10) + (document * 1000) + index;
		});
		return {promptTokens: blocks * BLOCK_TOKENS, documents: document, prefix};
	}
}

function mean([min, max]: readonly [number, number]): number {
	return (min + max) / 2;
}
