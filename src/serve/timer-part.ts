/**
 * A part that does something at an interval.
 */
import {type Clock, type Timer} from '../base/clock.js';
import {Part} from '../supervisor/part.js';

/** Calls a function at an interval; a call that throws fails the part. */
export class TimerPart extends Part {
	/**
	 * @param name - Name of the part.
	 * @param intervalMs - Time between two calls.
	 * @param action - Called once at the start, then at the interval.
	 */
	static create(name: string, clock: Clock, intervalMs: number, action: () => void): TimerPart {
		return new TimerPart(name, clock, intervalMs, action);
	}

	readonly name: string;
	readonly #clock: Clock;
	readonly #intervalMs: number;
	readonly #action: () => void;
	#timer: Timer | undefined;

	private constructor(name: string, clock: Clock, intervalMs: number, action: () => void) {
		super();
		this.name = name;
		this.#clock = clock;
		this.#intervalMs = intervalMs;
		this.#action = action;
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		this.#action();
		this.#timer = this.#clock.setTimer(this.#intervalMs, () => {
			void this.#restart(onFailure);
		});
	}

	async stop(): Promise<void> {
		this.#timer?.cancel();
	}

	async #restart(onFailure: (err: Error) => void): Promise<void> {
		try {
			await this.start(onFailure);
		} catch (error) {
			onFailure(error as Error);
		}
	}
}
