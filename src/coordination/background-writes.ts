/**
 * Writes that are repeated in the background until the store takes them, within bounded memory.
 */
import {type Clock} from '../base/clock.js';

/** One write or a few that follow each other; running it again is harmless. */
export type BackgroundJob = {
	/** Memory that the job holds, in bytes. */
	readonly bytes: number;
	/** @returns Whether the store decided the write; otherwise it is repeated. */
	readonly run: () => Promise<boolean>;
	/** Called when the job is dropped for lack of memory. */
	readonly onDropped: () => void;
};

/** Limits of a queue of background writes. */
export type BackgroundLimits = {
	readonly maxJobs: number;
	readonly maxBytes: number;
	readonly minBackOffMs: number;
	readonly maxBackOffMs: number;
};

export const defaultBackgroundLimits: BackgroundLimits = {
	maxJobs: 10_000, maxBytes: 16 * 1024 * 1024, minBackOffMs: 100, maxBackOffMs: 5000,
};

/** Jobs that run at the same time. */
const BATCH_JOBS = 8;

/** A queue whose jobs run a few at a time, those repeated least recently first. */
export class BackgroundWrites {
	static create(clock: Clock, limits = defaultBackgroundLimits): BackgroundWrites {
		return new BackgroundWrites(clock, limits);
	}

	readonly #clock: Clock;
	readonly #limits: BackgroundLimits;
	readonly #jobs = new Set<BackgroundJob>();
	readonly #stopping = new AbortController();
	#bytes = 0;
	#droppedCount = 0;
	#isRunning = false;
	readonly #emptied: Array<() => void> = [];

	private constructor(clock: Clock, limits: BackgroundLimits) {
		this.#clock = clock;
		this.#limits = limits;
	}

	get pendingCount(): number {
		return this.#jobs.size;
	}

	get pendingBytes(): number {
		return this.#bytes;
	}

	/** Jobs dropped for lack of memory since the start. */
	get droppedCount(): number {
		return this.#droppedCount;
	}

	/** Adds a job; the jobs at the head of the queue are dropped where the limits are exceeded. */
	add(job: BackgroundJob): void {
		this.#jobs.add(job);
		this.#bytes += job.bytes;
		while (this.#jobs.size > this.#limits.maxJobs || this.#bytes > this.#limits.maxBytes) {
			this.#drop();
		}

		if (!this.#isRunning) {
			void this.#work();
		}
	}

	/** Waits until no job is left or the time is over. */
	async flush(timeoutMs: number): Promise<boolean> {
		if (this.#jobs.size > 0) {
			const waiting = new AbortController();
			this.#emptied.push(() => {
				waiting.abort();
			});
			await this.#clock.sleep(timeoutMs, waiting.signal);
		}

		return this.#jobs.size === 0;
	}

	/** Ends the repeats; jobs that are left are lost. */
	stop(): void {
		this.#stopping.abort();
	}

	async #work(): Promise<void> {
		this.#isRunning = true;
		let backOffMs = this.#limits.minBackOffMs;
		while (this.#jobs.size > 0 && !this.#stopping.signal.aborted) {
			const batch = [...this.#jobs].slice(0, BATCH_JOBS);
			// eslint-disable-next-line no-await-in-loop
			const isDecided = await Promise.all(batch.map(async job => this.#run(job)));
			if (isDecided.includes(true)) {
				backOffMs = this.#limits.minBackOffMs;
			} else {
				// eslint-disable-next-line no-await-in-loop
				await this.#clock.sleep(backOffMs, this.#stopping.signal);
				backOffMs = Math.min(backOffMs * 2, this.#limits.maxBackOffMs);
			}
		}

		this.#isRunning = false;
		for (const notify of this.#emptied.splice(0)) {
			notify();
		}
	}

	async #run(job: BackgroundJob): Promise<boolean> {
		const isDecided = await job.run();
		if (isDecided) {
			this.#remove(job);
		} else if (this.#jobs.delete(job)) {
			// To the end, so that jobs that wait for one store do not hold up those that need the other.
			this.#jobs.add(job);
		}

		return isDecided;
	}

	#drop(): void {
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
