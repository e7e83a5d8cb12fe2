/**
 * Independent random number generators for the purposes of a run.
 */
import {createHash} from 'node:crypto';
import {Random} from '../../src/base/random.js';

/** The first outputs of the generator hardly depend on its seed; the very first is close to 1 for every seed. */
const SKIPPED_OUTPUTS = 32;

/**
 * @param seed - Seed of the run.
 * @param purpose - Name of the generator; different names give independent numbers.
 */
export function createStream(seed: number, purpose: string): Random {
	const digest = createHash('sha256').update(`${seed} ${purpose}`).digest();
	const random = Random.create(digest.readInt32BE(0));
	for (let count = 0; count < SKIPPED_OUTPUTS; count += 1) {
		random.next();
	}

	return random;
}
