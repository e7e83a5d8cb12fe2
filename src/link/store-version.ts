/**
 * Versions of the platform's store. They come from one counter, but the store may come back in an earlier state and give
 * the same versions out again; its era rises each time. Versions of different eras are unrelated.
 */

/** A version of the store within one era. */
export type StoreVersion = {
	/** 0 if the store names no eras. */
	readonly era: number;
	/** 0 before the first write. */
	readonly version: number;
};

/** Whether one version was given out after another; any version of a later era was. */
export function isLater(one: StoreVersion, other: StoreVersion): boolean {
	return one.era === other.era ? one.version > other.version : one.era > other.era;
}
