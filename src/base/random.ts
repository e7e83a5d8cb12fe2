/**
 * Seeded random numbers, given to every decision so that a run can be repeated.
 */
import {randomInt} from 'node:crypto';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {mersenne} from 'pure-rand/generator/mersenne';

/** A seeded generator of random numbers. */
export class Random {
	/**
	 * @param seed - Equal seeds give equal sequences; without one the operating system chooses.
	 */
	static create(seed: number = randomInt(2 ** 31)): Random {
		return new Random(seed);
	}

	readonly #generator;

	private constructor(seed: number) {
		// Unlike the shift-based generators, its first numbers differ for seeds that are close.
		this.#generator = mersenne(seed);
	}

	/** @returns A number in [0, 1). */
	next(): number {
		return uniformFloat64(this.#generator);
	}

	/**
	 * @param min - Least value.
	 * @param max - Greatest value, inclusive.
	 */
	integer(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/**
	 * @param list - A list with at least one element.
	 * @returns One element.
	 */
	pick<Item>(list: readonly Item[]): Item {
		return list[this.integer(0, list.length - 1)]!;
	}

	/**
	 * @param count - Greatest number of elements.
	 * @returns Different elements of the list, all of them where there are no more.
	 */
	sample<Item>(list: readonly Item[], count: number): Item[] {
		const rest = [...list];
		const chosen: Item[] = [];
		while (chosen.length < count && rest.length > 0) {
			const index = this.integer(0, rest.length - 1);
			chosen.push(rest[index]!);
			rest[index] = rest.at(-1)!;
			rest.pop();
		}

		return chosen;
	}

	/**
	 * @param meanValue - Mean of the exponential distribution.
	 */
	exponential(meanValue: number): number {
		return -Math.log(1 - this.next()) * meanValue;
	}
}
