/**
 * Which upstreams probably hold which prompt prefixes, learned from own routing and corrected by cache events.
 */
import {LRUCache} from 'lru-cache';

const MAX_BLOCKS = 100_000;
const MAX_HOLDERS = 8;
/** An entry that was not used for this long is no longer believed, as eviction events may have been lost. */
const BELIEF_MS = 90_000;

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
	 * @returns IDs, without duplicates.
	 */
	holders(prefix: readonly number[], now: number): Set<string> {
		const found = new Set<string>();
		const deepest = this.knownDepth(prefix, now);
		for (const depth of [deepest, Math.ceil(deepest / 2)]) {
			const block = prefix[depth - 1];
			for (const holder of block === undefined ? [] : this.#fresh(block, now)) {
				found.add(holder.upstreamId);
			}
		}

		return found;
	}

	/** @returns Leading blocks of the prefix that some upstream probably holds. */
	knownDepth(prefix: readonly number[], now: number): number {
		return this.#search(prefix, block => this.#fresh(block, now).length > 0);
	}

	/** @returns Leading blocks of the prefix that the upstream probably holds. */
	depth(prefix: readonly number[], upstreamId: string, now: number): number {
		return this.#search(prefix, block => this.#fresh(block, now).some(holder => holder.upstreamId === upstreamId));
	}

	/** The upstream holds these blocks, as of now. */
	store(blocks: readonly number[], upstreamId: string, now: number): void {
		for (const block of blocks) {
			const holders = this.#blocks.get(block) ?? [];
			const others = holders.filter(holder => holder.upstreamId !== upstreamId).slice(0, MAX_HOLDERS - 1);
			this.#blocks.set(block, [{upstreamId, usedAt: now}, ...others]);
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

	#fresh(block: number, now: number): readonly Holder[] {
		const holders = this.#blocks.get(block) ?? [];
		return holders.filter(holder => now - holder.usedAt < BELIEF_MS
			&& holder.usedAt > (this.#clearedAt.get(holder.upstreamId) ?? Number.NEGATIVE_INFINITY));
	}

	/** Binary search of the greatest depth whose block matches; lost events only make the result less accurate. */
	#search(prefix: readonly number[], matches: (block: number) => boolean): number {
		let low = 0;
		let high = prefix.length;
		while (low < high) {
			const middle = Math.ceil((low + high) / 2);
			if (matches(prefix[middle - 1]!)) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		return low;
	}
}
