/**
 * Distinguishes slow members from dead ones by the intervals between their heartbeats. Intervals are measured on the
 * observer's monotonic clock.
 */

/** State of a member as derived from its heartbeats. */
export const Liveness = {
	Alive: 'alive',
	/** No heartbeat for longer than its usual intervals explain. */
	Suspect: 'suspect',
	/** Suspect for longer than the confirmation time, so it counts as dead. */
	Overdue: 'overdue',
} as const;

export type Liveness = (typeof Liveness)[keyof typeof Liveness];

const INITIAL_INTERVAL_MS = 1000;
const SMOOTHING_FACTOR = 0.1;
const DEVIATION_MULTIPLIER = 6;
const MIN_SUSPICION_TIMEOUT_MS = 3000;
const MAX_SUSPICION_TIMEOUT_MS = 15_000;
const MIN_CONFIRMATION_MS = 5000;
const CONFIRMATION_FACTOR = 2;

type Observation = {
	counter: number;
	at: number;
	meanIntervalMs: number;
	meanDeviationMs: number;
};

/** Tracks the heartbeats of all members as observed by one node. */
export class FailureDetector {
	static create(): FailureDetector {
		return new FailureDetector();
	}

	readonly #observations = new Map<number, Observation>();

	private constructor() {
		// Instances come from `create`.
	}

	/** Starts to watch a member as if a heartbeat had arrived now. */
	watch(member: number, now: number): void {
		if (!this.#observations.has(member)) {
			this.#observations.set(member, {
				counter: 0, at: now, meanIntervalMs: INITIAL_INTERVAL_MS, meanDeviationMs: INITIAL_INTERVAL_MS / 2,
			});
		}
	}

	forget(member: number): void {
		this.#observations.delete(member);
	}

	/** Returns the last known counter of a member, or 0. */
	counterOf(member: number): number {
		return this.#observations.get(member)?.counter ?? 0;
	}

	/**
	 * Records a heartbeat, which may be outdated or a duplicate.
	 *
	 * @returns Whether the counter was newer than the last known one.
	 */
	observe(member: number, counter: number, now: number): boolean {
		const observation = this.#observations.get(member);
		if (!observation || counter <= observation.counter) {
			return false;
		}

		const intervalMs = now - observation.at;
		observation.meanDeviationMs += SMOOTHING_FACTOR * (Math.abs(intervalMs - observation.meanIntervalMs) - observation.meanDeviationMs);
		observation.meanIntervalMs += SMOOTHING_FACTOR * (intervalMs - observation.meanIntervalMs);
		observation.counter = counter;
		observation.at = now;
		return true;
	}

	/** Returns the time in ms without a heartbeat after which a member is suspect. */
	suspicionTimeout(member: number): number {
		const observation = this.#observations.get(member);
		const expectedMaxMs = observation ? observation.meanIntervalMs + (DEVIATION_MULTIPLIER * observation.meanDeviationMs) : 0;
		return Math.min(MAX_SUSPICION_TIMEOUT_MS, Math.max(MIN_SUSPICION_TIMEOUT_MS, expectedMaxMs));
	}

	/** Returns the time in ms since the member became suspect; negative while it is alive. */
	suspectDuration(member: number, now: number): number {
		const observation = this.#observations.get(member);
		return observation ? now - observation.at - this.suspicionTimeout(member) : 0;
	}

	liveness(member: number, now: number): Liveness {
		const suspectDuration = this.suspectDuration(member, now);
		if (suspectDuration < 0) {
			return Liveness.Alive;
		}

		const confirmationMs = Math.max(MIN_CONFIRMATION_MS, CONFIRMATION_FACTOR * this.suspicionTimeout(member));
		return suspectDuration < confirmationMs ? Liveness.Suspect : Liveness.Overdue;
	}

	/** Excludes a time during which the observer itself was paused and could receive no heartbeats. */
	excludePause(ms: number): void {
		for (const observation of this.#observations.values()) {
			observation.at += ms;
		}
	}
}
