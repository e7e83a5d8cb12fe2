/**
 * Identity of one start of an upstream.
 */

/** Identifies one start of an upstream. */
export type UpstreamBoot = {
	readonly id: string;
	/** In ms since the Unix epoch. */
	readonly startedAt: number;
};

export function bootKey({id, startedAt}: UpstreamBoot): string {
	return `${id} ${startedAt}`;
}
