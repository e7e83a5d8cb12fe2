/**
 * Set with constant-time insertion, removal and random sampling.
 */
import {type Random} from '../base/random.js';

/** Holds the upstreams with free slots, so that routing samples them without scanning all upstreams. */
export class SampleableSet<Item> {
	static create<Item>(): SampleableSet<Item> {
		return new SampleableSet<Item>();
	}

	readonly #items: Item[] = [];
	readonly #positions = new Map<Item, number>();

	private constructor() {
		// Instances come from `create`.
	}

	get size(): number {
		return this.#items.length;
	}

	/** @returns Whether the set changed. */
	set(item: Item, isPresent: boolean): boolean {
		const position = this.#positions.get(item);
		if (isPresent && position === undefined) {
			this.#positions.set(item, this.#items.length);
			this.#items.push(item);
		} else if (!isPresent && position !== undefined) {
			this.#removeAt(item, position);
		} else {
			return false;
		}

		return true;
	}

	/** @returns All items if there are at most `count`; otherwise `count` random items, possibly with repetitions. */
	sample(count: number, random: Random): readonly Item[] {
		if (this.#items.length <= count) {
			return this.#items;
		}

		return Array.from({length: count}, () => random.pick(this.#items));
	}

	#removeAt(item: Item, position: number): void {
		const last = this.#items.pop()!;
		this.#positions.delete(item);
		if (last !== item) {
			this.#items[position] = last;
			this.#positions.set(last, position);
		}
	}
}
