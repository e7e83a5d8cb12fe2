/**
 * Decides which versions of subtrees a node applies. Performs no I/O.
 */
import {type Invariants, PromiseId} from '../base/invariant.js';

/** The version in force of each subtree; versions only rise. */
export class AppliedVersions {
	static create(invariants: Invariants): AppliedVersions {
		return new AppliedVersions(invariants);
	}

	readonly #invariants: Invariants;
	readonly #versions = new Map<string, number>();

	protected constructor(invariants: Invariants) {
		this.#invariants = invariants;
	}

	/** @returns The version in force; 0 where there is none. */
	version(team: string): number {
		return this.#versions.get(team) ?? 0;
	}

	/** @returns Whether a version would replace the one in force. */
	isNewer(team: string, version: number): boolean {
		return version > this.version(team);
	}

	/**
	 * Records that a version comes into force.
	 *
	 * @returns Whether it may; a version that does not rise violates P8 and is not recorded.
	 */
	apply(team: string, version: number): boolean {
		const previous = this.version(team);
		const rises = this.#invariants.check(
			PromiseId.SettingsInForce,
			version > previous,
			() => `Version ${version} of subtree ${team} would replace version ${previous}.`,
		);
		if (rises) {
			this.#versions.set(team, version);
		}

		return rises;
	}
}
