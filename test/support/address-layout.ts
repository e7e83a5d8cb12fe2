/**
 * Which addresses the VMs of a deployment on one machine have.
 */
import process from 'node:process';
import {type Random} from '../../src/base/random.js';
import {freePort, isFree} from './free-port.js';

/** Addresses of one VM, each `IP:PORT`. */
export type VmAddresses = {
	readonly front: string;
	readonly ready: string;
	readonly directory: string;
	readonly metrics: string;
	/** Address of the links to other VMs. */
	readonly control: string;
};

export type AddressName = keyof VmAddresses;

export const addressNames: readonly AddressName[] = ['front', 'ready', 'directory', 'metrics', 'control'];

/** How addresses are assigned. */
export const LayoutKind = {
	/** One IP address, and ports outside the range for outgoing connections. */
	OneAddress: 'one-address',
	/** An IP address for each VM, and the same ports on all. */
	OwnAddresses: 'own-addresses',
	/** One IP address, and ports in the range from which the system takes those of outgoing connections. */
	OutgoingRange: 'outgoing-range',
} as const;

export type LayoutKind = (typeof LayoutKind)[keyof typeof LayoutKind];

/** Range from which Linux takes the ports of outgoing connections by default. */
const OUTGOING_PORTS = {min: 32_768, max: 60_999} as const;
const LOCALHOST = '127.0.0.1';
/** Number of values of a byte of an IP address that are used for hosts. */
const HOST_BYTE_COUNT = 250;

/** Assigns the addresses of the VMs. */
export abstract class AddressLayout {
	static create(kind: LayoutKind, random: Random): AddressLayout {
		if (kind === LayoutKind.OwnAddresses) {
			return new OwnAddresses();
		}

		return kind === LayoutKind.OutgoingRange ? new OutgoingRange(random) : new OneAddress();
	}

	/** Whether the VMs share an IP address with the outgoing connections of one another. */
	abstract get isShared(): boolean;

	/** @param index - Index of the VM. */
	abstract assign(index: number): Promise<VmAddresses>;
}

class OneAddress extends AddressLayout {
	get isShared(): boolean {
		return true;
	}

	async assign(): Promise<VmAddresses> {
		return createAddresses(LOCALHOST, await freePorts());
	}
}

class OwnAddresses extends AddressLayout {
	#ports: Promise<readonly number[]> | undefined;

	get isShared(): boolean {
		return false;
	}

	async assign(index: number): Promise<VmAddresses> {
		this.#ports ??= freePorts();
		// Concurrent runs have different addresses.
		const run = 1 + (process.pid % HOST_BYTE_COUNT);
		return createAddresses(`127.0.${run}.${index + 1}`, await this.#ports);
	}
}

class OutgoingRange extends AddressLayout {
	readonly #random: Random;
	readonly #assigned = new Set<number>();

	constructor(random: Random) {
		super();
		this.#random = random;
	}

	get isShared(): boolean {
		return true;
	}

	async assign(): Promise<VmAddresses> {
		const ports: number[] = [];
		while (ports.length < addressNames.length) {
			const port = this.#random.integer(OUTGOING_PORTS.min, OUTGOING_PORTS.max);
			if (!this.#assigned.has(port) && await isFree(port)) { // eslint-disable-line no-await-in-loop -- one port at a time
				this.#assigned.add(port);
				ports.push(port);
			}
		}

		return createAddresses(LOCALHOST, ports);
	}
}

async function freePorts(): Promise<readonly number[]> {
	return Promise.all(addressNames.map(async () => freePort()));
}

function createAddresses(host: string, ports: readonly number[]): VmAddresses {
	const [front, ready, directory, metrics, control] = ports.map(port => `${host}:${port}`);
	return {
		front: front!, ready: ready!, directory: directory!, metrics: metrics!, control: control!,
	};
}
