/**
 * Settings files of the VMs of a deployment.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {splitAddress} from '../src/base/address.js';
import {type VmAddresses} from '../test/support/address-layout.js';
import {type VmProcess} from './vm-process.js';

/** Resident memory, in MB, and descriptors at which the platform kills a process. */
export const MEMORY_LIMIT_MB = 350;
export const MAX_DESCRIPTORS = 4100;
/** Bounds on the requests that a bad version gets: share, additional requests, and the time in ms after its 50th bad response. */
export const ROLLOUT_BOUNDS = {exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5000} as const;

/** What differs between the VMs. */
export type VmSettings = {
	readonly index: number;
	readonly addresses: VmAddresses;
	readonly zone: string;
	readonly zones: readonly string[];
	readonly seeds: readonly string[];
	readonly storeAddress: string;
	/** Contracts that the settings name. */
	readonly contracts: readonly string[];
};

type ListenSettings = {
	listen: Omit<VmAddresses, 'metrics'>;
	internalPorts: readonly [number, number];
};

function createListenSettings({front, ready, control, directory, metrics}: VmAddresses): ListenSettings {
	const {port} = splitAddress(metrics);
	return {
		listen: {
			front, ready, control, directory,
		}, internalPorts: [port, port],
	};
}

/** @returns The text of the settings file. */
export function encodeVmSettings({index, addresses, zone, zones, seeds, storeAddress, contracts}: VmSettings): string {
	return JSON.stringify({
		nodeName: `vm-${index}`,
		zone,
		region: 'region-a',
		zones: Object.fromEntries(zones.map(name => [name, 'region-a'])),
		...createListenSettings(addresses),
		seeds,
		limits: {
			cpuShare: 1 - (index / 100), cores: 1, linkMbps: 1000, memoryMb: MEMORY_LIMIT_MB, maxFds: MAX_DESCRIPTORS,
		},
		bounds: {
			graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50, quotaWindowS: 8, quotaOver: 0.1, quotaSlack: 1000,
			...(contracts.includes('rollout') ? ROLLOUT_BOUNDS : {}),
		},
		...(contracts.length === 0 ? {} : {contracts}),
		platform: {address: storeAddress},
	});
}

/** Gives a VM other addresses, from the next start of its process. */
export function moveVm(vm: VmProcess, changes: Partial<VmAddresses>): void {
	const settings = JSON.parse(readFileSync(vm.settingsPath, 'utf8')) as ListenSettings;
	vm.addresses = {...vm.addresses, ...changes};
	writeFileSync(vm.settingsPath, JSON.stringify({...settings, ...createListenSettings(vm.addresses)}));
}
