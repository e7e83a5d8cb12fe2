/**
 * Assertions for the guarantees of the system, called promises. They stay enabled in production, and evaluations and
 * violations are counted per promise.
 */

/** Promise identifiers; docs/design.md section 2 states each promise in full. */
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

/** Number of evaluations and violations of a promise. */
export type PromiseCount = {
	evaluated: number;
	violated: number;
};

/** Thrown on a violation if `throwOnViolation` is set, as in tests and randomised runs. */
export class InvariantViolation extends Error {
	readonly promise: PromiseId;

	constructor(promise: PromiseId, detail: string) {
		super(`${promise}: ${detail}`);
		this.name = 'InvariantViolation';
		this.promise = promise;
	}
}

/** How violations are handled. */
export type InvariantOptions = {
	/** Throw on a violation (tests, randomised runs) instead of only counting and reporting it (production). */
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

	/** Counts per promise since the process started. */
	get counts(): ReadonlyMap<PromiseId, Readonly<PromiseCount>> {
		return this.#counts;
	}

	/**
	 * Asserts that a promise holds at this point.
	 *
	 * @param promise - Promise that the condition checks.
	 * @param holds - Whether the condition holds.
	 * @param detail - Description of a violation; a function if the text is expensive to build.
	 * @returns `holds`, so that production code can fail only the affected request.
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
