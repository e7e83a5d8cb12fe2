/**
 * Features by which requests can share the blame for a crash. A feature is a text that is equal for all requests that have
 * it; the fingerprint of a whole request has no prefix.
 */

const PROMPT_PART_PREFIX = 'part:';

/** @returns The feature of all requests whose prompts contain a part. */
export function promptPartFeature(partId: string): string {
	return `${PROMPT_PART_PREFIX}${partId}`;
}

/** @returns Whether unrelated requests can have the feature, so that a crash that hits many of them at once may have another cause. */
export function isSharedFeature(feature: string): boolean {
	return feature.startsWith(PROMPT_PART_PREFIX);
}
