/**
 * Limits on what a new version of a service may get before it is known to be good.
 */

/** Bounds of a roll-out, as stated by the settings. */
export type RolloutBounds = {
	/** Greatest share of a pool's requests that a bad version may get during its roll-out. */
	readonly exposedShare: number;
	/** Number of requests that it may get beyond that share. */
	readonly exposedSlack: number;
	/** Time after the 50th bad answer within which the version gets no more requests, in ms. */
	readonly rollbackMs: number;
};
