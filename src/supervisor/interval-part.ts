/**
 * A part that does one round of work after the other, with a pause between them.
 */
import {type Clock} from '../base/clock.js';
import {Part} from './part.js';

/** Runs rounds until it is stopped; a round that throws fails the part. */
export abstract class IntervalPart extends Part {
	readonly #clock: Clock;
	readonly #intervalMs: number;
	#running: AbortController | undefined;

	/** @param intervalMs - Pause after each round. */
	protected constructor(clock: Clock, intervalMs: number) {
		super();
		this.#clock = clock;
		this.#intervalMs = intervalMs;
	}

	/** Starts the rounds; does not wait for the first one to end. */
	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#running = new AbortController();
		void this.#run(this.#running.signal, onFailure);
	}

	async stop(): Promise<void> {
		this.#running?.abort();
	}

	/** One round of work. */
	protected abstract round(): Promise<void> | void;

	async #run(signal: AbortSignal, onFailure: (err: Error) => void): Promise<void> {
		try {
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- one round after the other
				await this.round();
				// eslint-disable-next-line no-await-in-loop
				await this.#clock.sleep(this.#intervalMs, signal);
			}
		} catch (error) {
			onFailure(error as Error);
		}
	}
}
