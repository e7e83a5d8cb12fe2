/**
 * The VMs an allocator decides for, and the share of the common quotas, retry budgets and upstreams' limits that it may
 * grant. During a network partition or a takeover, two allocators can be active without knowing of each other; these shares
 * keep all of them within their bounds even then.
 */

/** The scope of one allocator. */
export type Scope = {
	/** Share of the quotas, of the upstreams' limits and of the retry slack that it may grant; 1 when it decides for all VMs. */
	readonly share: number;
	/** Initial fill level of the quotas' token buckets, as a fraction of their burst. */
	readonly quotaInitialFill: number;
	/** Whether another process may have been allocating for all VMs until just now. */
	readonly isSuccessor: boolean;
	/** Whether other VMs use the upstreams without this allocator's knowledge. */
	readonly isStandalone: boolean;
};

/**
 * Fraction of a quota's burst, and of the retry slack, that a new allocator may grant immediately; its predecessor may have
 * just granted the rest.
 */
export const SUCCESSOR_INITIAL_FILL = 0.1;
/**
 * Upper limit on what a standalone VM grants, as a fraction of its even share of the quotas; the allocator may be granting
 * the whole quota at the same time.
 */
export const STANDALONE_SHARE = 0.5;
/** Fraction of that share's burst that a standalone VM may grant immediately. */
export const STANDALONE_INITIAL_FILL = 0.5;
/** Minimum fraction of the known VMs that must be reached, running or not, before a VM may conclude that the allocator is gone. */
export const MIN_REACHED_SHARE = 0.25;
/** Fraction of its VMs below which an allocator must assume that the others have elected another. */
const MIN_LINKED_SHARE = 1 - MIN_REACHED_SHARE;

/**
 * @param isFirst - Whether the deployment had no allocator before.
 * @returns The scope of a new allocator for all VMs.
 */
export function globalScope(isFirst: boolean): Scope {
	return {
		share: 1, quotaInitialFill: isFirst ? 1 : SUCCESSOR_INITIAL_FILL, isSuccessor: !isFirst, isStandalone: false,
	};
}

/** @returns The scope of a VM that has no link to an allocator and decides for itself. */
export function standaloneScope(vmCount: number): Scope {
	return {
		share: STANDALONE_SHARE / vmCount, quotaInitialFill: STANDALONE_INITIAL_FILL, isSuccessor: false, isStandalone: true,
	};
}

/**
 * @param linked - Number of VMs that the allocator currently hears from, including itself.
 * @param known - Number of VMs that it heard from recently.
 * @param reachesStore - Whether the allocator reaches the store, which would tell it of another allocator.
 * @returns The share that the allocator may grant: less than 1 once the other VMs may have elected another allocator.
 */
export function reachableShare(linked: number, known: number, reachesStore: boolean): number {
	const grantsAll = reachesStore ? linked >= MIN_LINKED_SHARE * known : linked >= known;
	return grantsAll ? 1 : STANDALONE_SHARE * linked / known;
}
