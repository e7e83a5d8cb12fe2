/**
 * The promises of the system as assertions that stay in production, counted by promise.
 */

/** The promises; docs/design.md section 2 has the full sentences. */
export const PromiseId = {
	DispatchedOnce: 'P1',
	TierOrder: 'P2',
	WholeAnswer: 'P3',
	NotRunIsTrue: 'P4',
	BookingOnce: 'P5',
	LeavingUpstream: 'P6',
	GracefulStop: 'P7',
	SettingsInForce: 'P8',
} as const;

export type PromiseId = (typeof PromiseId)[keyof typeof PromiseId];

/** How often a promise was evaluated and found violated. */
export type PromiseCount = {
	evaluated: number;
	violated: number;
};

/** Thrown on a violation where `throwOnViolation` is set: tests and randomised runs. */
export class InvariantViolation extends Error {
	readonly promise: PromiseId;

	constructor(promise: PromiseId, detail: string) {
		super(`${promise}: ${detail}`);
		this.name = 'InvariantViolation';
		this.promise = promise;
	}
}

/** What to do on a violation. */
export type InvariantOptions = {
	/** Throw (tests, randomised runs) or only count and report (production). */
	readonly throwOnViolation: boolean;
	/** Called on each violation. */
	readonly onViolation?: (promise: PromiseId, detail: string) => void;
};

/** Evaluates and counts assertions. */
export class Invariants {
	static create(options: InvariantOptions): Invariants {
		return new Invariants(options);
	}

	readonly #options: InvariantOptions;
	readonly #counts = new Map<PromiseId, PromiseCount>(Object.values(PromiseId).map(id => [id, {evaluated: 0, violated: 0}]));

	private constructor(options: InvariantOptions) {
		this.#options = options;
	}

	/** Counts by promise since the start. */
	get counts(): ReadonlyMap<PromiseId, Readonly<PromiseCount>> {
		return this.#counts;
	}

	/**
	 * Asserts that a promise holds at this point.
	 *
	 * @param promise - The promise that the condition guards.
	 * @param holds - The condition.
	 * @param detail - Describes the violation; a function where building the text costs time.
	 * @returns The condition, so that production code can fail the one request concerned.
	 */
	check(promise: PromiseId, holds: boolean, detail: string | (() => string)): boolean {
		const count = this.#counts.get(promise)!;
		count.evaluated += 1;
		if (holds) {
			return true;
		}

		count.violated += 1;
		const text = typeof detail === 'string' ? detail : detail();
		this.#options.onViolation?.(promise, text);
		if (this.#options.throwOnViolation) {
			throw new InvariantViolation(promise, text);
		}

		return false;
	}
}
