/**
 * Retries writes in the background until the store decides them, within bounded memory.
 */
import {type FailureLog, runInBackground} from '../base/background.js';
import {type Clock} from '../base/clock.js';
import {errorFields} from '../base/error-fields.js';

/** One write or a short sequence of writes; idempotent. */
export type BackgroundJob = {
	/** Memory used by the job, in bytes. */
	readonly bytes: number;
	/** @returns Whether the store decided the write; otherwise the job is retried. */
	readonly run: () => Promise<boolean>;
	/** Called when the job is dropped because a limit was exceeded. */
	readonly onDropped: () => void;
};

/** Limits of a `BackgroundWrites` queue. */
export type BackgroundLimits = {
	readonly maxJobs: number;
	readonly maxBytes: number;
	readonly minBackOffMs: number;
	readonly maxBackOffMs: number;
};

export const defaultBackgroundLimits: BackgroundLimits = {
	maxJobs: 10_000, maxBytes: 16 * 1024 * 1024, minBackOffMs: 100, maxBackOffMs: 5000,
};

/** Maximum number of jobs that run concurrently. */
const MAX_CONCURRENT_JOBS = 8;

/** A queue that runs a few jobs at a time, the least recently tried first. */
export class BackgroundWrites {
	static create(clock: Clock, log: FailureLog, limits = defaultBackgroundLimits): BackgroundWrites {
		return new BackgroundWrites(clock, log, limits);
	}

	readonly #clock: Clock;
	readonly #log: FailureLog;
	readonly #limits: BackgroundLimits;
	readonly #jobs = new Set<BackgroundJob>();
	readonly #stopping = new AbortController();
	#bytes = 0;
	#droppedCount = 0;
	#isProcessing = false;
	readonly #emptyListeners: Array<() => void> = [];

	private constructor(clock: Clock, log: FailureLog, limits: BackgroundLimits) {
		this.#clock = clock;
		this.#log = log;
		this.#limits = limits;
	}

	get pendingCount(): number {
		return this.#jobs.size;
	}

	get pendingBytes(): number {
		return this.#bytes;
	}

	/** Number of jobs dropped since creation because a limit was exceeded. */
	get droppedCount(): number {
		return this.#droppedCount;
	}

	/** Adds a job, dropping jobs from the head of the queue while a limit is exceeded. */
	add(job: BackgroundJob): void {
		this.#jobs.add(job);
		this.#bytes += job.bytes;
		while (this.#jobs.size > this.#limits.maxJobs || this.#bytes > this.#limits.maxBytes) {
			this.#dropOldest();
		}

		if (!this.#isProcessing) {
			runInBackground(this.#log, 'background writes', async () => this.#processQueue());
		}
	}

	/** Waits until the queue is empty or the timeout has passed. @returns Whether the queue is empty. */
	async flush(timeoutMs: number): Promise<boolean> {
		if (this.#jobs.size > 0) {
			const emptied = new AbortController();
			this.#emptyListeners.push(() => {
				emptied.abort();
			});
			await this.#clock.sleep(timeoutMs, emptied.signal);
		}

		return this.#jobs.size === 0;
	}

	/** Stops retrying; the remaining jobs are lost. */
	stop(): void {
		this.#stopping.abort();
	}

	async #processQueue(): Promise<void> {
		this.#isProcessing = true;
		try {
			await this.#runJobs();
		} finally {
			this.#isProcessing = false;
		}

		for (const notify of this.#emptyListeners.splice(0)) {
			notify();
		}
	}

	async #runJobs(): Promise<void> {
		let backOffMs = this.#limits.minBackOffMs;
		while (this.#jobs.size > 0 && !this.#stopping.signal.aborted) {
			const batch = [...this.#jobs].slice(0, MAX_CONCURRENT_JOBS);
			// eslint-disable-next-line no-await-in-loop
			const decisions = await Promise.all(batch.map(async job => this.#runJob(job)));
			if (decisions.includes(true)) {
				backOffMs = this.#limits.minBackOffMs;
			} else {
				// eslint-disable-next-line no-await-in-loop
				await this.#clock.sleep(backOffMs, this.#stopping.signal);
				backOffMs = Math.min(backOffMs * 2, this.#limits.maxBackOffMs);
			}
		}
	}

	async #runJob(job: BackgroundJob): Promise<boolean> {
		const isDecided = await this.#tryRun(job);
		if (isDecided) {
			this.#remove(job);
		} else if (this.#jobs.delete(job)) {
			// Move the job to the end, so that jobs waiting for one store do not block jobs that need the other.
			this.#jobs.add(job);
		}

		return isDecided;
	}

	async #tryRun(job: BackgroundJob): Promise<boolean> {
		try {
			return await job.run();
		} catch (error) {
			this.#log.error('A background write failed; it is tried again.', errorFields(error));
			return false;
		}
	}

	#dropOldest(): void {
		const [oldest] = this.#jobs as Iterable<BackgroundJob> as [BackgroundJob];
		this.#remove(oldest);
		this.#droppedCount += 1;
		oldest.onDropped();
	}

	#remove(job: BackgroundJob): void {
		if (this.#jobs.delete(job)) {
			this.#bytes -= job.bytes;
		}
	}
}
