/**
 * How long a VM waits before it claims leadership, so that stronger VMs claim first.
 */
import {type Random} from '../base/random.js';
import {type Member} from './messages.js';

/** Head start of each VM over the next weaker one when the leader is lost, in ms; a claim takes about 50 ms. */
const CLAIM_DELAY_PER_RANK_MS = 120;
/** Longest delay of a claim by rank, in ms. */
const MAX_CLAIM_DELAY_MS = 1500;
/** Delay of a claim when no other VM is known, in ms for each unit of strength below `SUFFICIENT_STRENGTH`. */
const FIRST_CLAIM_DELAY_PER_STRENGTH_MS = 250;
const SUFFICIENT_STRENGTH = 0.7;
/** Upper bound of the random part of that delay, in ms; concurrent claims cost an extra call to the store. */
const FIRST_CLAIM_JITTER_MS = 40;

/** @returns Delay in ms when no other VM is known: shorter for stronger VMs, plus jitter. */
export function firstClaimDelay({strength}: Member, random: Random): number {
	const shortfall = Math.max(0, SUFFICIENT_STRENGTH - strength);
	return (FIRST_CLAIM_DELAY_PER_STRENGTH_MS * shortfall) + (FIRST_CLAIM_JITTER_MS * random.next());
}

/**
 * @param members - The known VMs.
 * @param lostBoot - Boot of the lost leader, which is not counted.
 * @returns Delay in ms by the rank of this VM.
 */
export function claimDelay(self: Member, members: readonly Member[], lostBoot: string, random: Random): number {
	if (members.length === 0) {
		return firstClaimDelay(self, random);
	}

	const stronger = members.filter(({boot, strength, name}) => boot !== lostBoot
		&& (strength > self.strength || (strength === self.strength && name < self.name)));
	return Math.min(MAX_CLAIM_DELAY_MS, stronger.length * CLAIM_DELAY_PER_RANK_MS);
}
