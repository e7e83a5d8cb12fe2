/**
 * Seeded pseudo-random numbers. Every random decision takes them from an injected generator, so that a run can be
 * reproduced.
 */
import {randomInt} from 'node:crypto';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {mersenne} from 'pure-rand/generator/mersenne';

/** Seeded pseudo-random number generator. */
export class Random {
	/**
	 * @param seed - Equal seeds give equal sequences; defaults to a random seed from the operating system.
	 */
	static create(seed: number = randomInt(2 ** 31)): Random {
		return new Random(seed);
	}

	readonly #generator;

	private constructor(seed: number) {
		// Unlike with the shift-based generators, the first numbers differ for adjacent seeds.
		this.#generator = mersenne(seed);
	}

	/** @returns A number in [0, 1). */
	next(): number {
		return uniformFloat64(this.#generator);
	}

	/**
	 * @param min - Smallest value, inclusive.
	 * @param max - Largest value, inclusive.
	 */
	integer(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/**
	 * @param list - Non-empty list.
	 * @returns A random element.
	 */
	pick<Item>(list: readonly Item[]): Item {
		return list[this.integer(0, list.length - 1)]!;
	}

	/**
	 * @param count - Maximum number of elements.
	 * @returns Distinct random elements of the list; all of them if the list has no more than `count`.
	 */
	sample<Item>(list: readonly Item[], count: number): Item[] {
		const remaining = [...list];
		const sampled: Item[] = [];
		while (sampled.length < count && remaining.length > 0) {
			const index = this.integer(0, remaining.length - 1);
			sampled.push(remaining[index]!);
			remaining[index] = remaining.at(-1)!;
			remaining.pop();
		}

		return sampled;
	}

	/**
	 * @param mean - Mean of the exponential distribution.
	 */
	exponential(mean: number): number {
		return -Math.log(1 - this.next()) * mean;
	}
}
