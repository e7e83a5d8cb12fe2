/** Divides the slots of an upstream between nodes, the most important tier first. */
import {divide} from 'redwingspool/shares';

const createDemand = (waitingByTier: readonly number[]) => ({
	upstreamId: 'engine-1', limitEstimate: 8, held: 0, waitingByTier, heldByTier: [], lastGrant: 0,
});
console.log(`slots: ${divide(8, [createDemand([6, 0]), createDemand([0, 20])]).join(' and ')}`);
