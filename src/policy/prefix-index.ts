/**
 * Which upstreams probably hold which prompt prefixes, learned from own routing and corrected by cache events.
 */
import {LRUCache} from 'lru-cache';

const MAX_BLOCKS = 100_000;
const MAX_HOLDERS = 8;
/** An entry that was not used for this long is no longer believed, as eviction events may have been lost. */
const BELIEF_MS = 90_000;

const MAX_DEPTH = 100_000;
const CHECKPOINT_GROWTH = 1.1;
const CHECKPOINTS = makeCheckpoints();

type Holder = {
	readonly upstreamId: string;
	usedAt: number;
};

/** Block hashes cover the blocks before them, so that a block's holders also hold the earlier blocks. */
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
	 * Finds upstreams worth asking for a prefix: those that hold the most of it, and those that hold its beginning.
	 *
	 * @returns Leading blocks by upstream ID, at least as many as found at the few depths that are looked at.
	 */
	holders(prefix: readonly number[], now: number): Map<string, number> {
		const found = new Map<string, number>();
		const deepest = search(prefix, block => this.#isKnown(block, now));
		for (let checkpoint = deepest; checkpoint > 0; checkpoint = Math.floor(checkpoint / 2)) {
			const depth = CHECKPOINTS[checkpoint - 1]!;
			for (const holder of this.#blocks.get(prefix[depth - 1]!) ?? []) {
				if (!found.has(holder.upstreamId) && this.#isBelieved(holder, now)) {
					found.set(holder.upstreamId, depth);
				}
			}
		}

		return found;
	}

	/** @returns Leading blocks of the prefix that some upstream probably holds. */
	knownDepth(prefix: readonly number[], now: number): number {
		return depthOf(prefix, block => this.#isKnown(block, now));
	}

	/** @returns Leading blocks of the prefix that the upstream probably holds. */
	depth(prefix: readonly number[], upstreamId: string, now: number): number {
		return depthOf(prefix, block => this.#holds(block, upstreamId, now));
	}

	/** The upstream was sent this prefix. */
	storePrefix(prefix: readonly number[], upstreamId: string, now: number): void {
		for (const depth of CHECKPOINTS) {
			if (depth > prefix.length) {
				break;
			}

			this.#storeBlock(prefix[depth - 1]!, upstreamId, now);
		}
	}

	/** The upstream holds these blocks, as of now. */
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

	/** The upstream lost its whole cache. */
	clear(upstreamId: string, now: number): void {
		this.#clearedAt.set(upstreamId, now);
	}

	#storeBlock(block: number, upstreamId: string, now: number): void {
		const holders = this.#blocks.get(block);
		if (holders === undefined) {
			this.#blocks.set(block, [{upstreamId, usedAt: now}]);
			return;
		}

		for (const holder of holders) {
			if (holder.upstreamId === upstreamId) {
				holder.usedAt = now;
				return;
			}
		}

		holders.unshift({upstreamId, usedAt: now});
		holders.length = Math.min(holders.length, MAX_HOLDERS);
	}

	#isKnown(block: number, now: number): boolean {
		for (const holder of this.#blocks.get(block) ?? []) {
			if (this.#isBelieved(holder, now)) {
				return true;
			}
		}

		return false;
	}

	#holds(block: number, upstreamId: string, now: number): boolean {
		for (const holder of this.#blocks.get(block) ?? []) {
			if (holder.upstreamId === upstreamId) {
				return this.#isBelieved(holder, now);
			}
		}

		return false;
	}

	#isBelieved(holder: Holder, now: number): boolean {
		return now - holder.usedAt < BELIEF_MS
			&& holder.usedAt > (this.#clearedAt.get(holder.upstreamId) ?? Number.NEGATIVE_INFINITY);
	}
}

/** Depths at which prefixes are compared: each of the first, then at growing distances, so that long prompts stay cheap. */
function makeCheckpoints(): number[] {
	const depths: number[] = [];
	for (let depth = 1; depth <= MAX_DEPTH; depth = Math.max(depth + 1, Math.floor(depth * CHECKPOINT_GROWTH))) {
		depths.push(depth);
	}

	return depths;
}

/**
 * Binary search of the greatest checkpoint whose block matches; lost events only make the result less accurate.
 *
 * @returns Number of matching checkpoints.
 */
function search(prefix: readonly number[], matches: (block: number) => boolean): number {
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

function depthOf(prefix: readonly number[], matches: (block: number) => boolean): number {
	return CHECKPOINTS[search(prefix, matches) - 1] ?? 0;
}
