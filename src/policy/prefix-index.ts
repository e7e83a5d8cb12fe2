/**
 * Approximate index of the prompt prefixes cached at each upstream, built from routing decisions of this node and
 * corrected by cache events.
 */
import {LRUCache} from 'lru-cache';

const MAX_BLOCKS = 100_000;
const MAX_HOLDERS_PER_BLOCK = 8;
/** Time without use after which a holder is ignored, as its eviction events may have been lost. */
const HOLDER_LIFETIME_MS = 90_000;

const MAX_DEPTH = 100_000;
const CHECKPOINT_GROWTH = 1.1;
const CHECKPOINTS = makeCheckpoints();

type Holder = {
	readonly upstreamId: string;
	lastUsedAt: number;
};

/** Maps block hashes to upstreams. A hash covers all preceding blocks, so a block's holders also hold those blocks. */
export class PrefixIndex {
	static create(): PrefixIndex {
		return new PrefixIndex();
	}

	readonly #blocks = new LRUCache<number, Holder[]>({max: MAX_BLOCKS});
	readonly #clearedAt = new Map<string, number>();

	private constructor() {
		// Instances come from `create`.
	}

	/**
	 * Finds routing candidates for a prefix: upstreams that hold the longest part of it and upstreams that hold its start.
	 *
	 * @returns Number of leading blocks by upstream ID; a lower bound, as only a few depths are checked.
	 */
	holders(prefix: readonly number[], now: number): Map<string, number> {
		const depthByUpstream = new Map<string, number>();
		const deepest = findDeepestCheckpoint(prefix, block => this.#hasCurrentHolder(block, now));
		for (let checkpoint = deepest; checkpoint > 0; checkpoint = Math.floor(checkpoint / 2)) {
			const depth = CHECKPOINTS[checkpoint - 1]!;
			for (const holder of this.#blocks.get(prefix[depth - 1]!) ?? []) {
				if (!depthByUpstream.has(holder.upstreamId) && this.#isCurrent(holder, now)) {
					depthByUpstream.set(holder.upstreamId, depth);
				}
			}
		}

		return depthByUpstream;
	}

	/** @returns Number of leading blocks that at least one upstream probably holds. */
	knownDepth(prefix: readonly number[], now: number): number {
		return matchingDepth(prefix, block => this.#hasCurrentHolder(block, now));
	}

	/** @returns Number of leading blocks that the upstream probably holds. */
	depth(prefix: readonly number[], upstreamId: string, now: number): number {
		return matchingDepth(prefix, block => this.#isHeldBy(block, upstreamId, now));
	}

	/** Records that a prompt with this prefix was sent to the upstream. */
	storePrefix(prefix: readonly number[], upstreamId: string, now: number): void {
		for (const depth of CHECKPOINTS) {
			if (depth > prefix.length) {
				break;
			}

			this.#storeBlock(prefix[depth - 1]!, upstreamId, now);
		}
	}

	/** Records that the upstream now holds these blocks. */
	store(blocks: readonly number[], upstreamId: string, now: number): void {
		for (const block of blocks) {
			this.#storeBlock(block, upstreamId, now);
		}
	}

	evict(blocks: readonly number[], upstreamId: string): void {
		for (const block of blocks) {
			const holders = this.#blocks.get(block)?.filter(holder => holder.upstreamId !== upstreamId);
			if (holders !== undefined && holders.length > 0) {
				this.#blocks.set(block, holders);
			} else {
				this.#blocks.delete(block);
			}
		}
	}

	/** Invalidates all entries of an upstream that lost its cache. */
	clear(upstreamId: string, now: number): void {
		this.#clearedAt.set(upstreamId, now);
	}

	#storeBlock(block: number, upstreamId: string, now: number): void {
		const holders = this.#blocks.get(block);
		if (holders === undefined) {
			this.#blocks.set(block, [{upstreamId, lastUsedAt: now}]);
			return;
		}

		for (const holder of holders) {
			if (holder.upstreamId === upstreamId) {
				holder.lastUsedAt = now;
				return;
			}
		}

		holders.unshift({upstreamId, lastUsedAt: now});
		holders.length = Math.min(holders.length, MAX_HOLDERS_PER_BLOCK);
	}

	#hasCurrentHolder(block: number, now: number): boolean {
		for (const holder of this.#blocks.get(block) ?? []) {
			if (this.#isCurrent(holder, now)) {
				return true;
			}
		}

		return false;
	}

	#isHeldBy(block: number, upstreamId: string, now: number): boolean {
		for (const holder of this.#blocks.get(block) ?? []) {
			if (holder.upstreamId === upstreamId) {
				return this.#isCurrent(holder, now);
			}
		}

		return false;
	}

	#isCurrent(holder: Holder, now: number): boolean {
		return now - holder.lastUsedAt < HOLDER_LIFETIME_MS
			&& holder.lastUsedAt > (this.#clearedAt.get(holder.upstreamId) ?? Number.NEGATIVE_INFINITY);
	}
}

/** Computes the depths at which prefixes are compared: consecutive at first, then geometric, so that long prompts stay cheap. */
function makeCheckpoints(): number[] {
	const depths: number[] = [];
	for (let depth = 1; depth <= MAX_DEPTH; depth = Math.max(depth + 1, Math.floor(depth * CHECKPOINT_GROWTH))) {
		depths.push(depth);
	}

	return depths;
}

/**
 * Binary search for the deepest checkpoint whose block matches; lost events only reduce the accuracy of the result.
 *
 * @returns Number of matching checkpoints.
 */
function findDeepestCheckpoint(prefix: readonly number[], matches: (block: number) => boolean): number {
	let low = 0;
	let high = CHECKPOINTS.length;
	while (low < high) {
		const middle = Math.ceil((low + high) / 2);
		const depth = CHECKPOINTS[middle - 1]!;
		if (depth <= prefix.length && matches(prefix[depth - 1]!)) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return low;
}

function matchingDepth(prefix: readonly number[], matches: (block: number) => boolean): number {
	return CHECKPOINTS[findDeepestCheckpoint(prefix, matches) - 1] ?? 0;
}
