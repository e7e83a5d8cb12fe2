/**
 * A part that runs rounds of work one after another, with a pause after each round.
 */
import {type Clock} from '../base/clock.js';
import {Part} from './part.js';

/** Runs rounds until it is stopped. If a round throws, the part fails. */
export abstract class IntervalPart extends Part {
	readonly #clock: Clock;
	readonly #intervalMs: number;
	#abortController: AbortController | undefined;

	/** @param intervalMs - Pause after each round. */
	protected constructor(clock: Clock, intervalMs: number) {
		super();
		this.#clock = clock;
		this.#intervalMs = intervalMs;
	}

	/** Starts the rounds without waiting for the first one to finish. */
	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#abortController = new AbortController();
		void this.#run(this.#abortController.signal, onFailure); // eslint-disable-line @typescript-eslint/no-floating-promises -- failures go to onFailure
	}

	async stop(): Promise<void> {
		this.#abortController?.abort();
	}

	/** Performs one round of work. */
	protected abstract round(): Promise<void> | void;

	async #run(signal: AbortSignal, onFailure: (err: Error) => void): Promise<void> {
		try {
			while (!signal.aborted) {
				// eslint-disable-next-line no-await-in-loop -- rounds run sequentially
				await this.round();
				// eslint-disable-next-line no-await-in-loop
				await this.#clock.sleep(this.#intervalMs, signal);
			}
		} catch (error) {
			onFailure(error as Error);
		}
	}
}
