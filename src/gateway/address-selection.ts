/**
 * Selects the VM addresses that a caller may connect to. Callers choose an address at random for each new connection and
 * skip addresses that failed, so the selection contains ready VMs close to the caller and includes distant ones only
 * when there are too few nearby.
 */
import {type Member} from '../link/messages.js';

/** With fewer addresses, the loss of one VM would affect too many callers. */
const MIN_ADDRESSES = 2;
const MAX_ADDRESSES = 64;

/** Location of a caller. Fields are empty when the caller does not state them. */
export type CallerLocation = {
	readonly region: string;
	readonly dataCentre: string;
};

/** @returns Addresses for a caller. Their order carries no meaning. */
export function addressesFor(members: readonly Member[], {region, dataCentre}: CallerLocation): string[] {
	const ready = members.filter(member => member.isReady);
	const inDataCentre = ready.filter(member => member.dataCentre === dataCentre);
	const inRegion = ready.filter(member => member.region === region);
	const chosen = [inDataCentre, inRegion].find(group => group.length >= MIN_ADDRESSES) ?? ready;
	return chosen.slice(0, MAX_ADDRESSES).map(member => member.frontAddress);
}
