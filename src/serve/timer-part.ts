/**
 * A part that calls a function at an interval.
 */
import {type Clock} from '../base/clock.js';
import {IntervalPart} from '../supervisor/interval-part.js';

/** Calls a function at an interval. If the function throws, the part fails. */
export class TimerPart extends IntervalPart {
	/**
	 * @param name - Name of the part.
	 * @param intervalMs - Pause between two calls.
	 * @param action - Called immediately on start and then at the interval.
	 */
	static create(name: string, clock: Clock, intervalMs: number, action: () => void): TimerPart {
		return new TimerPart(name, clock, intervalMs, action);
	}

	readonly name: string;
	readonly #action: () => void;

	private constructor(name: string, clock: Clock, intervalMs: number, action: () => void) {
		super(clock, intervalMs);
		this.name = name;
		this.#action = action;
	}

	protected round(): void {
		this.#action();
	}
}
