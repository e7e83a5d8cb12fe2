/**
 * Interface of the platform's list of live and leaving VMs, which lags behind by seconds.
 */
import {type Result} from 'true-myth/result';
import {type StoreError} from './table.js';

/** State of a VM as reported by the platform, with a delay of seconds. */
export const VmState = {
	Live: 'live',
	Leaving: 'leaving',
} as const;

export type VmState = (typeof VmState)[keyof typeof VmState];

/** A VM in the list. */
export type VmEntry = {
	/** Unique identifier of the VM; never reused for another VM. */
	readonly id: string;
	/** IP address and port, such as `127.0.0.1:4100`. */
	readonly address: string;
	readonly region: string;
	readonly dataCentre: string;
	readonly state: VmState;
	/** `entry` for VMs of this system, `upstream` for all others. */
	readonly role: 'entry' | 'upstream';
};

/** Reads the VM list. */
export abstract class VmList {
	abstract list(): Promise<Result<readonly VmEntry[], StoreError>>;
}
