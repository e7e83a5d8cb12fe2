/**
 * Which VMs try the store while their leader cannot reach it. If all of hundreds of VMs tried, an outage would cost thousands
 * of calls; one VM that reaches the store is enough, as it takes over as the leader.
 */
import {type Member} from './messages.js';

/** Number of VMs that try the store at the same time. */
const OBSERVER_COUNT = 8;
/** Time after which other VMs try, in ms: the store may turn away those that tried before. */
const ROUND_MS = 2000;

/**
 * @param name - Name of the VM in question.
 * @param elapsedMs - Time since the leader lost the store, in ms.
 * @returns Whether the VM tries the store now.
 */
export function isStoreObserver(name: string, members: readonly Member[], elapsedMs: number): boolean {
	const names = members.map(member => member.name).sort();
	const index = names.indexOf(name);
	if (index === -1 || names.length <= OBSERVER_COUNT) {
		return true;
	}

	const firstIndex = Math.floor(elapsedMs / ROUND_MS) * OBSERVER_COUNT % names.length;
	return (index - firstIndex + names.length) % names.length < OBSERVER_COUNT;
}
