/**
 * For whom an allocator decides, and what it may grant of what all VMs share. Two may decide at once for a while, as
 * neither can know of the other; the parts here keep quotas and retry budgets within their bounds even then.
 */

/** For whom an allocator decides. */
export type Scope = {
	/** Part of the quotas and of the repeats' slack that it may grant: 1 when it decides for all VMs. */
	readonly share: number;
	/** What the quotas' buckets hold at first, as a part of their bursts. */
	readonly quotaInitialFill: number;
	/** Whether another process may have allocated for all VMs just now. */
	readonly isSuccessor: boolean;
	/** Whether other VMs use the upstreams without this allocator knowing. */
	readonly isStandalone: boolean;
};

/**
 * Part of a quota's burst, and of the repeats' slack, that a new allocator may grant at once; the one before may have granted
 * the rest just now.
 */
export const SUCCESSOR_INITIAL_FILL = 0.1;
/** Part of a VM's even share of the quotas that it grants alone, at most; the allocator may still grant the whole quota. */
export const STANDALONE_SHARE = 0.5;
/** Part of that share's burst that it may grant at once. */
export const STANDALONE_INITIAL_FILL = 0.5;
/** Part of the known VMs that must be reached, running or not, before a VM may think that the allocator is gone. */
export const MIN_REACHED_SHARE = 0.25;
/** Part of its VMs below which an allocator must think that the others have another. */
const MIN_LINKED_SHARE = 1 - MIN_REACHED_SHARE;

/**
 * @param isFirst - Whether nobody allocated before.
 * @returns The scope of a new allocator of all VMs.
 */
export function globalScope(isFirst: boolean): Scope {
	return {
		share: 1, quotaInitialFill: isFirst ? 1 : SUCCESSOR_INITIAL_FILL, isSuccessor: !isFirst, isStandalone: false,
	};
}

/** @returns The scope of a VM that is in touch with no allocator. */
export function standaloneScope(vmCount: number): Scope {
	return {
		share: STANDALONE_SHARE / vmCount, quotaInitialFill: STANDALONE_INITIAL_FILL, isSuccessor: false, isStandalone: true,
	};
}

/**
 * @param linked - VMs that an allocator hears, itself among them.
 * @param known - VMs that it heard of late.
 * @returns The part that it may grant: less than all once the others may have another allocator, which the store would tell.
 */
export function reachableShare(linked: number, known: number, reachesStore: boolean): number {
	const grantsAll = reachesStore ? linked >= MIN_LINKED_SHARE * known : linked >= known;
	return grantsAll ? 1 : STANDALONE_SHARE * linked / known;
}
