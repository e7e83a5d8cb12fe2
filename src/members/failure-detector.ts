/**
 * Tells slow members from dead ones by the gaps between their heartbeats, on the observer's monotonic clock.
 */

/** What an observer concludes from the heartbeats of a member. */
export const Liveness = {
	Alive: 'alive',
	/** Silent for longer than its usual gaps explain. */
	Suspect: 'suspect',
	/** Suspect for so long that it counts as dead. */
	Overdue: 'overdue',
} as const;

export type Liveness = (typeof Liveness)[keyof typeof Liveness];

const FIRST_GAP_MS = 1000;
const GAP_WEIGHT = 0.1;
const DEVIATIONS = 6;
const MIN_SUSPECT_MS = 3000;
const MAX_SUSPECT_MS = 15_000;
const MIN_CONFIRM_MS = 5000;
const CONFIRM_FACTOR = 2;

type Observation = {
	counter: number;
	at: number;
	meanGap: number;
	deviation: number;
};

/** Heartbeats of all members as one node sees them. */
export class FailureDetector {
	static create(): FailureDetector {
		return new FailureDetector();
	}

	readonly #observations = new Map<number, Observation>();

	private constructor() {
		// Nothing is observed yet.
	}

	/** Starts to watch a member, as if it had been heard now. */
	watch(member: number, now: number): void {
		if (!this.#observations.has(member)) {
			this.#observations.set(member, {
				counter: 0, at: now, meanGap: FIRST_GAP_MS, deviation: FIRST_GAP_MS / 2,
			});
		}
	}

	forget(member: number): void {
		this.#observations.delete(member);
	}

	/** Last counter heard of a member. */
	counterOf(member: number): number {
		return this.#observations.get(member)?.counter ?? 0;
	}

	/**
	 * Takes a heartbeat, which may be old or repeated.
	 *
	 * @returns Whether it is news.
	 */
	observe(member: number, counter: number, now: number): boolean {
		const observation = this.#observations.get(member);
		if (!observation || counter <= observation.counter) {
			return false;
		}

		const gap = now - observation.at;
		observation.deviation += GAP_WEIGHT * (Math.abs(gap - observation.meanGap) - observation.deviation);
		observation.meanGap += GAP_WEIGHT * (gap - observation.meanGap);
		observation.counter = counter;
		observation.at = now;
		return true;
	}

	/** Silence in ms after which a member is suspect. */
	suspectAfter(member: number): number {
		const observation = this.#observations.get(member);
		const usual = observation ? observation.meanGap + (DEVIATIONS * observation.deviation) : 0;
		return Math.min(MAX_SUSPECT_MS, Math.max(MIN_SUSPECT_MS, usual));
	}

	/** Time in ms since the member became suspect; negative while it is alive. */
	suspectFor(member: number, now: number): number {
		const observation = this.#observations.get(member);
		return observation ? now - observation.at - this.suspectAfter(member) : 0;
	}

	liveness(member: number, now: number): Liveness {
		const suspectFor = this.suspectFor(member, now);
		if (suspectFor < 0) {
			return Liveness.Alive;
		}

		const confirm = Math.max(MIN_CONFIRM_MS, CONFIRM_FACTOR * this.suspectAfter(member));
		return suspectFor < confirm ? Liveness.Suspect : Liveness.Overdue;
	}

	/** Leaves out a time in which the observer itself was paused and could hear nobody. */
	skip(ms: number): void {
		for (const observation of this.#observations.values()) {
			observation.at += ms;
		}
	}
}
