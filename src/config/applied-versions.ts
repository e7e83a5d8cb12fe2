/**
 * Decides which subtree versions a node applies. Performs no I/O.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';

/** Tracks the active version of each subtree, which only increases. */
export class AppliedVersions {
	static create(invariants: Invariants): AppliedVersions {
		return new AppliedVersions(invariants);
	}

	readonly #invariants: Invariants;
	readonly #versions = new Map<string, number>();

	protected constructor(invariants: Invariants) {
		this.#invariants = invariants;
	}

	/** @returns The active version, or 0 if there is none. */
	version(team: string): number {
		return this.#versions.get(team) ?? 0;
	}

	/** @returns Whether a version is newer than the active one. */
	isNewer(team: string, version: number): boolean {
		return version > this.version(team);
	}

	/**
	 * Records a version as active.
	 *
	 * @returns Whether the version was recorded. A version that is not newer violates P8 and is not recorded.
	 */
	apply(team: string, version: number): boolean {
		const previous = this.version(team);
		const isIncrease = this.#invariants.check(
			PromiseId.SettingsInForce,
			version > previous,
			() => `Version ${version} of subtree ${team} would replace version ${previous}.`,
		);
		if (isIncrease) {
			this.#versions.set(team, version);
		}

		return isIncrease;
	}
}
