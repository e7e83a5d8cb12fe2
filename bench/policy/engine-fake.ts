/**
 * Fake of a model engine: continuous batching in order of arrival, chunked prefill, and a bounded LRU prefix cache.
 */
import {type Clock} from '../../src/base/clock.js';
import {type Work, WorkOutcome} from '../../src/policy/scheduler.js';

const PREFILL_CHUNK_TOKENS = 1024;
const BATCH_SLOWDOWN = 0.04;
const MAX_CACHED_BLOCKS_PER_EVENT = 10_000;

/** Speed and capacity of an engine. */
export type EngineSpec = {
	readonly id: string;
	readonly region: string;
	readonly stepMs: number;
	readonly prefillTokensPerMs: number;
	readonly maxBatch: number;
	readonly cacheBlocks: number;
};

/** Receives the events of a request at a fake upstream. */
export type RequestObserver = {
	onProgress(count: number): void;
	onEnd(outcome: WorkOutcome): void;
};

type Request = {
	readonly work: Work;
	readonly outputTokens: number;
	readonly observer: RequestObserver;
	prefillLeft: number;
	uncachedTokens: number;
	isAdmitted: boolean;
	produced: number;
};

/** Prefilled tokens of all engines of a run. */
export type PrefillStats = {
	total: number;
	/** Tokens of blocks that an engine had already prefilled. */
	repeated: number;
	/** Tokens that a request prefilled for the first time, by request; counted as discarded if the request is lost or late. */
	readonly firstPrefillByWork: Map<string, number>;
	readonly knownBlocks: Set<number>;
};

/** A simulated model engine. */
export class EngineFake {
	static create(clock: Clock, spec: EngineSpec, prefill: PrefillStats): EngineFake {
		return new EngineFake(clock, spec, prefill);
	}

	readonly spec: EngineSpec;
	/** Called with stored and evicted cache blocks. */
	onCacheChange: ((kind: 'stored' | 'evicted', blocks: readonly number[]) => void) | undefined;
	slowFactor = 1;
	isDown = false;
	readonly #clock: Clock;
	readonly #prefill: PrefillStats;
	readonly #cache = new Map<number, true>();
	#requests: Request[] = [];
	#isPaused = false;
	#isStepping = false;

	private constructor(clock: Clock, spec: EngineSpec, prefill: PrefillStats) {
		this.#clock = clock;
		this.spec = spec;
		this.#prefill = prefill;
	}

	/** Number of running and waiting requests. */
	get load(): number {
		return this.#requests.length;
	}

	/** @returns Whether the connection was accepted. */
	send(work: Work, outputTokens: number, observer: RequestObserver): boolean {
		if (this.isDown) {
			return false;
		}

		this.#requests.push({
			work, outputTokens, observer, prefillLeft: 0, uncachedTokens: 0, isAdmitted: false, produced: 0,
		});
		this.#step();
		return true;
	}

	/** Loses all requests and the cache, and refuses connections until `restart`. */
	crash(): void {
		this.isDown = true;
		this.#cache.clear();
		const lost = this.#requests;
		this.#requests = [];
		for (const request of lost) {
			request.observer.onEnd(WorkOutcome.Lost);
		}
	}

	restart(): void {
		this.isDown = false;
	}

	/** Pauses or resumes the generation of tokens; connections stay open and are accepted. */
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

		const chunk = this.#prefillChunk(batch);
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
		const repeated = prefix.slice(depth).filter(block => this.#prefill.knownBlocks.has(block)).length * perBlock;
		this.#prefill.total += request.uncachedTokens;
		this.#prefill.repeated += repeated;
		this.#prefill.firstPrefillByWork.set(request.work.id, request.uncachedTokens - repeated);
	}

	/** Prefills in order of arrival, with a bounded number of tokens per step. */
	#prefillChunk(batch: readonly Request[]): {tokens: number; finished: Set<Request>} {
		let remaining = PREFILL_CHUNK_TOKENS;
		const finished = new Set<Request>();
		for (const request of batch) {
			if (request.prefillLeft > 0 && remaining > 0) {
				const taken = Math.min(remaining, request.prefillLeft);
				request.prefillLeft -= taken;
				remaining -= taken;
				if (request.prefillLeft === 0) {
					finished.add(request);
				}
			}
		}

		return {tokens: PREFILL_CHUNK_TOKENS - remaining, finished};
	}

	#finishStep(batch: readonly Request[], prefilled: ReadonlySet<Request>): void {
		if (this.isDown) {
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
			request.observer.onProgress(1);
			if (request.produced >= request.outputTokens) {
				running.delete(request);
				request.observer.onEnd(WorkOutcome.Done);
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
			this.#prefill.knownBlocks.add(block);
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
