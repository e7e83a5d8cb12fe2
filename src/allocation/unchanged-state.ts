/**
 * Evaluates a decision without changing what later decisions depend on: caches, windows and decaying counts.
 */

/** Restores the state as of the time when the function was created. */
export type Restore = () => void;

/** @returns The result of the evaluation; the state is restored also if it throws. */
export function evaluateUnchanged<Value>(restores: readonly Restore[], evaluate: () => Value): Value {
	try {
		return evaluate();
	} finally {
		for (const restore of restores) {
			restore();
		}
	}
}
