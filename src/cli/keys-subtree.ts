/**
 * Lists, adds and removes key digests in a subtree that has not been parsed by the schema.
 */

export type KeyOwnerGroup = 'customers' | 'operators';

/** A key digest and the customer or operator that owns it. */
export type KeyRecord = {
	readonly group: KeyOwnerGroup;
	readonly name: string;
	readonly digest: string;
};

type RawSubtree = Record<string, unknown>;
type RawOwner = {keyDigests?: readonly string[]};

const MIN_DIGEST_LENGTH = 8;

function ownersIn(subtree: RawSubtree, group: KeyOwnerGroup): Record<string, RawOwner> {
	return subtree[group] as Record<string, RawOwner> | undefined ?? {};
}

/** @returns All key digests, those of customers first. */
export function listKeys(subtree: RawSubtree): KeyRecord[] {
	return (['customers', 'operators'] as const).flatMap(group => Object.entries(ownersIn(subtree, group)).flatMap(([name, owner]) =>
		(owner.keyDigests ?? []).map(digest => ({group, name, digest}))));
}

/** @returns The key whose digest starts with the given prefix, if the prefix is long enough and unique. */
export function findKey(subtree: RawSubtree, digestPrefix: string): KeyRecord | undefined {
	const found = listKeys(subtree).filter(({digest}) => digest.startsWith(digestPrefix));
	return digestPrefix.length >= MIN_DIGEST_LENGTH && found.length === 1 ? found[0] : undefined;
}

/** @returns The subtree with a key digest added to an owner, which is created if it does not exist. */
export function addDigest(subtree: RawSubtree, group: KeyOwnerGroup, name: string, digest: string): RawSubtree {
	const owners = ownersIn(subtree, group);
	const owner = Object.hasOwn(owners, name) ? owners[name]! : {};
	return {...subtree, [group]: {...owners, [name]: {...owner, keyDigests: [...owner.keyDigests ?? [], digest]}}};
}

/** @returns The subtree without a key digest. */
export function removeDigest(subtree: RawSubtree, {group, name, digest}: KeyRecord): RawSubtree {
	const owners = ownersIn(subtree, group);
	const owner = owners[name]!;
	return {...subtree, [group]: {...owners, [name]: {...owner, keyDigests: (owner.keyDigests ?? []).filter(other => other !== digest)}}};
}
