/** An allocator divides the slots of an upstream, the most important tier first. */
import {divide} from 'redwingspool/shares';

const demand = (waitingByTier: readonly number[]) => ({
	upstreamId: 'engine-1', limitEstimate: 8, held: 0, waitingByTier, heldByTier: [], lastGrant: 0,
});
console.log(`slots: ${divide(8, [demand([6, 0]), demand([0, 20])]).join(' and ')}`);
