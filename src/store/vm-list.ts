/**
 * The platform's lagging list of live and leaving VMs.
 */
import {type Result} from 'true-myth/result';
import {type StoreError} from './table.js';

/** State of a VM as the platform reports it, seconds late. */
export const VmState = {
	Live: 'live',
	Leaving: 'leaving',
} as const;

export type VmState = (typeof VmState)[keyof typeof VmState];

/** One VM of the list. */
export type VmEntry = {
	/** Identity of the VM; never used again for another VM. */
	readonly id: string;
	/** IP number and port, such as `127.0.0.1:4100`. */
	readonly address: string;
	readonly region: string;
	readonly dataCentre: string;
	readonly state: VmState;
	/** `entry` for the system's own VMs, `upstream` for the others. */
	readonly role: 'entry' | 'upstream';
};

/** The list of VMs. */
export abstract class VmList {
	abstract list(): Promise<Result<readonly VmEntry[], StoreError>>;
}
