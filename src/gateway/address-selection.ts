/**
 * Which VMs a caller is told to connect to. Callers pick one of the addresses at random for each new connection and
 * leave out those that failed them, so an answer names the VMs near the caller that take requests, and farther ones
 * only where there are too few.
 */
import {type Member} from '../link/messages.js';

/** Fewer addresses would make the loss of one VM felt by too many callers. */
const MIN_ADDRESSES = 2;
const MAX_ADDRESSES = 64;

/** Where a caller is; parts are empty where it does not say. */
export type CallerPlace = {
	readonly region: string;
	readonly dataCentre: string;
};

/** @returns Addresses for a caller, in random order of no meaning. */
export function addressesFor(members: readonly Member[], {region, dataCentre}: CallerPlace): string[] {
	const ready = members.filter(member => member.isReady);
	const near = ready.filter(member => member.dataCentre === dataCentre);
	const inRegion = ready.filter(member => member.region === region);
	const chosen = [near, inRegion].find(group => group.length >= MIN_ADDRESSES) ?? ready;
	return chosen.slice(0, MAX_ADDRESSES).map(member => member.frontAddress);
}
