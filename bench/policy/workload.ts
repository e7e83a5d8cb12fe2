/**
 * Workloads of the two users: upstreams, request classes, and load over time.
 */
import {type Random} from '../../src/base/random.js';
import {type Work} from '../../src/policy/scheduler.js';
import {type EngineSpec} from './engine-fake.js';
import {type ServiceSpec} from './service-fake.js';

/** Number of tokens of a prompt block. */
export const BLOCK_TOKENS = 64;
export const MODEL_POOL = 'bench/model';
export const SERVICE_POOL = 'bench/service';
/** Duration of the arrivals of a run, in virtual time. */
export const RUN_DURATION_MS = 120_000;
const SYSTEM_PROMPT_BLOCKS = 4;

/** A class of requests. */
type RequestClass = {
	readonly tier: number;
	readonly pool: string;
	/** Fraction of all requests. */
	readonly weight: number;
	readonly promptTokens: readonly [number, number];
	readonly outputTokens: readonly [number, number];
	readonly deadlineMs: number;
	/** Number of distinct documents that prompts share; 0 if each prompt is unique. */
	readonly documents: number;
};

/** The upstreams, request classes and nodes of a user. */
export type Workload = {
	readonly name: string;
	readonly engines: readonly EngineSpec[];
	readonly services: readonly ServiceSpec[];
	readonly classes: readonly RequestClass[];
	readonly nodeCount: number;
};

/** A request and the length of its output, which only the fakes know. */
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

/** Workloads by name. */
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

/** @returns Requests per second that the healthy model pool can serve if half of each prompt is cached. */
export function capacity(workload: Workload): number {
	const classes = workload.classes.filter(({pool}) => pool === MODEL_POOL);
	const total = classes.reduce((sum, {weight}) => sum + weight, 0);
	let perSecond = 0;
	for (const engine of workload.engines) {
		const decodeMs = engine.stepMs * (1 + (0.04 * engine.maxBatch)) / engine.maxBatch;
		let meanMs = 0;
		for (const {weight, promptTokens, outputTokens, documents} of classes) {
			// Document lengths are skewed towards short documents.
			const [min, max] = promptTokens;
			const meanPrompt = documents === 0 ? mean(promptTokens) : min + ((max - min) / 3);
			meanMs += weight / total * ((meanPrompt / 2 / engine.prefillTokensPerMs) + (mean(outputTokens) * decodeMs));
		}

		perSecond += 1000 / meanMs;
	}

	return perSecond / total;
}

/** @returns Load relative to capacity: a rush hour with two sudden bursts. */
export function loadAt(ms: number): number {
	if ((ms >= 35_000 && ms < 45_000) || (ms >= 80_000 && ms < 90_000)) {
		return 3;
	}

	return 0.4 + (0.8 * Math.sin(Math.PI * ms / RUN_DURATION_MS));
}

/** Generates the requests of a run. */
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
		const requestClass = this.#pickClass();
		const customer = Math.min(4, Math.floor(5 * (random.next() ** 2)));
		const {promptTokens, documents, prefix} = this.#createPrompt(requestClass, customer);
		const outputTokens = requestClass.pool === MODEL_POOL ? random.integer(requestClass.outputTokens[0], requestClass.outputTokens[1]) : 1;
		return {
			outputTokens,
			work: {
				id: `w${this.#count}`,
				pool: requestClass.pool,
				customer: `bench/customer-${customer}`,
				customerWeight: 1,
				tier: requestClass.tier,
				model: undefined,
				promptTokens,
				expectedOutputTokens: requestClass.outputTokens[1],
				prefix,
				arrivedAt: now,
				deadlineAt: now + requestClass.deadlineMs,
				fingerprint: `f${this.#count}-${documents}`,
				excluded: [],
			},
		};
	}

	#pickClass(): RequestClass {
		let remaining = this.#random.next();
		for (const requestClass of this.#workload.classes) {
			remaining -= requestClass.weight;
			if (remaining <= 0) {
				return requestClass;
			}
		}

		return this.#workload.classes[0]!;
	}

	/** Creates a prompt: a system prompt of the customer and tier, a document that other requests may share, and a unique question. */
	#createPrompt(requestClass: RequestClass, customer: number): {promptTokens: number; documents: number; prefix: number[]} {
		const [min, max] = requestClass.promptTokens;
		if (max === 0) {
			return {promptTokens: 0, documents: 0, prefix: []};
		}

		const random = this.#random;
		const document = requestClass.documents === 0 ? this.#count : Math.floor(requestClass.documents * (random.next() ** 2));
		const lengthFraction = ((document * 2_654_435_761) % 1000) / 1000;
		const promptTokens = Math.floor(min + ((max - min) * (requestClass.documents === 0 ? random.next() : lengthFraction ** 2)));
		const blocks = Math.max(1, Math.floor(promptTokens / BLOCK_TOKENS));
		const promptGroup = (customer * 10) + requestClass.tier;
		const prefix = Array.from({length: blocks}, (_, index) => {
			if (index < SYSTEM_PROMPT_BLOCKS) {
				return (promptGroup * 1000) + index;
			}

			const isQuestion = index === blocks - 1;
			return isQuestion ? 5e11 + this.#count : 1e9 + (promptGroup * 1e10) + (document * 1000) + index;
		});
		return {promptTokens: blocks * BLOCK_TOKENS, documents: document, prefix};
	}
}

function mean([min, max]: readonly [number, number]): number {
	return (min + max) / 2;
}
