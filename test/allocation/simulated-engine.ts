/**
 * An engine in virtual time that runs its requests in one batch: each step reads a piece of a prompt and generates one
 * token of every request whose prompt has been read. Its speed changes from moment to moment.
 */
import {type VirtualClock} from '../../src/base/virtual-clock.js';
import {type Random} from '../../src/base/random.js';

/** Prompt tokens that one step reads at most. */
const STEP_PROMPT_TOKENS = 1024;

export type EngineOptions = {
	readonly clock: VirtualClock;
	readonly random: Random;
	/** Permanent factor of the time that work takes. */
	readonly factor: number;
	readonly stepMs: number;
	readonly promptTokensPerMs: number;
	readonly tokensPerEvent: number;
	/** Mean time between changes of the momentary factor, in ms; 0 for an engine of constant speed. */
	readonly momentMs: number;
	readonly slowMomentRatio: number;
	readonly slowMomentFactor: number;
};

/** A request at an engine; times in ms of the clock. */
export type EngineJob = {
	unreadTokens: number;
	unsentTokens: number;
	readonly sentAt: number;
	firstAt: number;
	lastAt: number;
	maxPauseMs: number;
	events: number;
	eventTokens: number;
	readonly onFirst: () => void;
	readonly onEnd: () => void;
};

/** A simulated engine. */
export class SimulatedEngine {
	static create(options: EngineOptions): SimulatedEngine {
		return new SimulatedEngine(options);
	}

	readonly #options: EngineOptions;
	#jobs: EngineJob[] = [];
	#moment = 1;
	#changesAt = 0;
	#isStepping = false;

	private constructor(options: EngineOptions) {
		this.#options = options;
	}

	/** Factor of the time that work takes at this moment. */
	get moment(): number {
		const {clock, random, momentMs, slowMomentRatio, slowMomentFactor} = this.#options;
		if (momentMs === 0) {
			return 1;
		}

		while (this.#changesAt <= clock.now()) {
			this.#moment = random.next() < slowMomentRatio ? slowMomentFactor : 1;
			this.#changesAt += random.exponential(momentMs);
		}

		return this.#moment;
	}

	start(job: EngineJob): void {
		this.#jobs.push(job);
		if (!this.#isStepping) {
			this.#step();
		}
	}

	#step(): void {
		const {clock, factor, stepMs, promptTokensPerMs} = this.#options;
		this.#isStepping = this.#jobs.length > 0;
		if (!this.#isStepping) {
			return;
		}

		const reading = this.#jobs.find(job => job.unreadTokens > 0);
		const generating = this.#jobs.filter(job => job.unreadTokens === 0);
		const tokens = Math.min(STEP_PROMPT_TOKENS, reading?.unreadTokens ?? 0);
		clock.setTimer(factor * this.moment * (stepMs + (tokens / promptTokensPerMs)), () => {
			if (reading !== undefined) {
				reading.unreadTokens -= tokens;
			}

			for (const job of generating) {
				this.#generate(job);
			}

			this.#step();
		});
	}

	#generate(job: EngineJob): void {
		job.unsentTokens -= 1;
		job.eventTokens += 1;
		const isLast = job.unsentTokens <= 0;
		if (!isLast && job.eventTokens < this.#options.tokensPerEvent) {
			return;
		}

		const now = this.#options.clock.now();
		job.eventTokens = 0;
		job.events += 1;
		if (job.events === 1) {
			job.firstAt = now;
			job.onFirst();
		} else {
			job.maxPauseMs = Math.max(job.maxPauseMs, now - job.lastAt);
		}

		job.lastAt = now;
		if (isLast) {
			this.#jobs = this.#jobs.filter(other => other !== job);
			job.onEnd();
		}
	}
}
