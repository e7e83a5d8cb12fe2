/**
 * Fake of a model engine: continuous batching in order of arrival, chunked prefill, a limited prefix cache.
 */
import {type Clock} from '../../src/base/clock.js';
import {type Work, WorkOutcome} from '../../src/policy/scheduler.js';

const PREFILL_CHUNK_TOKENS = 1024;
const BATCH_SLOWDOWN = 0.04;
const MAX_CACHED_BLOCKS_PER_EVENT = 10_000;

/** Speed and size of an engine. */
export type EngineSpec = {
	readonly id: string;
	readonly region: string;
	readonly stepMs: number;
	readonly prefillTokensPerMs: number;
	readonly maxBatch: number;
	readonly cacheBlocks: number;
};

/** What happens to a request at a fake upstream. */
export type FakeHandler = {
	onProgress(count: number): void;
	onEnd(outcome: WorkOutcome): void;
};

type Request = {
	readonly work: Work;
	readonly outputTokens: number;
	readonly handler: FakeHandler;
	prefillLeft: number;
	uncachedTokens: number;
	isAdmitted: boolean;
	produced: number;
};

/** Prefilled tokens, counted over all engines of a run. */
export type PrefillCount = {
	total: number;
	/** Tokens of blocks that some engine had prefilled before. */
	repeated: number;
	/** Tokens, by request, for the count of discarded prefill. */
	readonly firstTimeByWork: Map<string, number>;
	readonly known: Set<number>;
};

/** A fake engine. */
export class EngineFake {
	static create(clock: Clock, spec: EngineSpec, prefill: PrefillCount): EngineFake {
		return new EngineFake(clock, spec, prefill);
	}

	readonly spec: EngineSpec;
	/** Receives stored and evicted blocks as they change. */
	onCacheChange: ((kind: 'stored' | 'evicted', blocks: readonly number[]) => void) | undefined;
	slowFactor = 1;
	isDead = false;
	readonly #clock: Clock;
	readonly #prefill: PrefillCount;
	readonly #cache = new Map<number, true>();
	#requests: Request[] = [];
	#isPaused = false;
	#isStepping = false;

	private constructor(clock: Clock, spec: EngineSpec, prefill: PrefillCount) {
		this.#clock = clock;
		this.spec = spec;
		this.#prefill = prefill;
	}

	/** Requests running and waiting. */
	get load(): number {
		return this.#requests.length;
	}

	/** @returns Whether the connection was accepted. */
	send(work: Work, outputTokens: number, handler: FakeHandler): boolean {
		if (this.isDead) {
			return false;
		}

		this.#requests.push({
			work, outputTokens, handler, prefillLeft: 0, uncachedTokens: 0, isAdmitted: false, produced: 0,
		});
		this.#step();
		return true;
	}

	/** Loses all requests and the cache, and refuses connections until `revive`. */
	die(): void {
		this.isDead = true;
		this.#cache.clear();
		const lost = this.#requests;
		this.#requests = [];
		for (const request of lost) {
			request.handler.onEnd(WorkOutcome.Lost);
		}
	}

	revive(): void {
		this.isDead = false;
	}

	/** Stops producing tokens without any other sign. */
	setPaused(isPaused: boolean): void {
		this.#isPaused = isPaused;
		this.#step();
	}

	#step(): void {
		if (this.#isStepping || this.#isPaused || this.#requests.length === 0) {
			return;
		}

		this.#isStepping = true;
		const batch = this.#requests.slice(0, this.spec.maxBatch);
		for (const request of batch) {
			this.#admit(request);
		}

		const chunk = this.#takeChunk(batch);
		const decodeMs = this.spec.stepMs * (1 + (BATCH_SLOWDOWN * batch.length));
		const duration = (decodeMs + (chunk.tokens / this.spec.prefillTokensPerMs)) * this.slowFactor;
		this.#clock.setTimer(duration, () => {
			this.#isStepping = false;
			this.#finishStep(batch, chunk.finished);
			this.#step();
		});
	}

	#admit(request: Request): void {
		if (request.isAdmitted) {
			return;
		}

		request.isAdmitted = true;
		const {prefix, promptTokens} = request.work;
		let depth = 0;
		while (depth < prefix.length && this.#cache.has(prefix[depth]!)) {
			this.#touch(prefix[depth]!);
			depth += 1;
		}

		const perBlock = prefix.length === 0 ? 0 : promptTokens / prefix.length;
		request.uncachedTokens = Math.max(1, promptTokens - Math.floor(depth * perBlock));
		request.prefillLeft = request.uncachedTokens;
		const repeated = prefix.slice(depth).filter(block => this.#prefill.known.has(block)).length * perBlock;
		this.#prefill.total += request.uncachedTokens;
		this.#prefill.repeated += repeated;
		this.#prefill.firstTimeByWork.set(request.work.id, request.uncachedTokens - repeated);
	}

	/** Prefills in order of arrival, with a bounded number of tokens in each step. */
	#takeChunk(batch: readonly Request[]): {tokens: number; finished: Set<Request>} {
		let left = PREFILL_CHUNK_TOKENS;
		const finished = new Set<Request>();
		for (const request of batch) {
			if (request.prefillLeft > 0 && left > 0) {
				const taken = Math.min(left, request.prefillLeft);
				request.prefillLeft -= taken;
				left -= taken;
				if (request.prefillLeft === 0) {
					finished.add(request);
				}
			}
		}

		return {tokens: PREFILL_CHUNK_TOKENS - left, finished};
	}

	#finishStep(batch: readonly Request[], prefilled: ReadonlySet<Request>): void {
		if (this.isDead) {
			return;
		}

		const running = new Set(this.#requests);
		for (const request of batch) {
			if (!running.has(request) || request.prefillLeft > 0) {
				continue;
			}

			if (prefilled.has(request)) {
				this.#store(request.work.prefix);
			}

			request.produced += 1;
			request.handler.onProgress(1);
			if (request.produced >= request.outputTokens) {
				running.delete(request);
				request.handler.onEnd(WorkOutcome.Done);
			}
		}

		this.#requests = this.#requests.filter(request => running.has(request) || !batch.includes(request));
	}

	#touch(block: number): void {
		this.#cache.delete(block);
		this.#cache.set(block, true);
	}

	#store(blocks: readonly number[]): void {
		for (const block of blocks) {
			this.#touch(block);
			this.#prefill.known.add(block);
		}

		const evicted: number[] = [];
		for (const block of this.#cache.keys()) {
			if (this.#cache.size <= this.spec.cacheBlocks || evicted.length >= MAX_CACHED_BLOCKS_PER_EVENT) {
				break;
			}

			this.#cache.delete(block);
			evicted.push(block);
		}

		this.onCacheChange?.('stored', blocks);
		if (evicted.length > 0) {
			this.onCacheChange?.('evicted', evicted);
		}
	}
}
