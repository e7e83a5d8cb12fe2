/**
 * Digests of API keys inside a subtree as it was written.
 */

export type HolderGroup = 'customers' | 'operators';

/** A key digest with its holder. */
export type KeyHolder = {
	readonly group: HolderGroup;
	readonly name: string;
	readonly digest: string;
};

type RawSubtree = Record<string, unknown>;
type RawHolder = {keyDigests?: readonly string[]};

const MIN_DIGEST_LENGTH = 8;

function holdersOf(subtree: RawSubtree, group: HolderGroup): Record<string, RawHolder> {
	return subtree[group] as Record<string, RawHolder> | undefined ?? {};
}

/** @returns All digests, customers' first. */
export function listHolders(subtree: RawSubtree): KeyHolder[] {
	return (['customers', 'operators'] as const).flatMap(group => Object.entries(holdersOf(subtree, group)).flatMap(([name, holder]) =>
		(holder.keyDigests ?? []).map(digest => ({group, name, digest}))));
}

/** @returns The only key whose digest starts with the given digits. */
export function findHolder(subtree: RawSubtree, start: string): KeyHolder | undefined {
	const found = listHolders(subtree).filter(({digest}) => digest.startsWith(start));
	return start.length >= MIN_DIGEST_LENGTH && found.length === 1 ? found[0] : undefined;
}

/** @returns The subtree with another key digest of a holder. */
export function addDigest(subtree: RawSubtree, group: HolderGroup, name: string, digest: string): RawSubtree {
	const holders = holdersOf(subtree, group);
	const holder = Object.hasOwn(holders, name) ? holders[name]! : {};
	return {...subtree, [group]: {...holders, [name]: {...holder, keyDigests: [...holder.keyDigests ?? [], digest]}}};
}

/** @returns The subtree without a key digest. */
export function removeDigest(subtree: RawSubtree, {group, name, digest}: KeyHolder): RawSubtree {
	const holders = holdersOf(subtree, group);
	const holder = holders[name]!;
	return {...subtree, [group]: {...holders, [name]: {...holder, keyDigests: (holder.keyDigests ?? []).filter(other => other !== digest)}}};
}
