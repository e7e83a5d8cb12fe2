/**
 * Faults of a `ProcessRun` that concern several VMs at once.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {ProxyMode} from '../standins/tcp-proxy.js';
import {type ManifestChange, manifestChanges} from './operator.js';
import {type ProcessRun} from './process-run.js';
import {type VmProcess} from './vm-process.js';

/** Share of the VMs that are killed at once, and that are stopped in turn. */
const HERD_SHARES = [0.55, 1] as const;
const ROLL_SHARES = [0.45, 1] as const;
/** Time between two planned stops, in ms. */
const ROLL_INTERVAL_MS = {min: 1000, max: 1300} as const;
/** Longest time between a change of the configuration and the kill behind it, in ms. */
const MAX_KILL_DELAY_MS = 30;
/** Factor on the rate of the requests, and how long it lasts, in ms. */
const BURST_FACTORS = [1.7, 3] as const;
const BURST_MS = {min: 3000, max: 4000} as const;

/** Faults that concern several VMs. */
export const herdFaults = {
	/** Many VMs are killed at the same moment. */
	async herdKill(run: ProcessRun) {
		await killAll(run, pickShare(run, HERD_SHARES));
	},
	/** VMs are killed right after a change of the configuration was acknowledged. */
	async killAfterChange(run: ProcessRun) {
		const change = run.random.pick(Object.keys(manifestChanges) as ManifestChange[]);
		run.deployment.operator.change(change, run.random);
		await sleep(run.random.integer(0, MAX_KILL_DELAY_MS));
		const leader = run.deployment.recordedLeader;
		await killAll(run, leader !== undefined && run.random.next() < 0.5 ? [leader] : pickShare(run, HERD_SHARES));
	},
	/** VMs are stopped and started one after the other. */
	async rollingStop(run: ProcessRun) {
		for (const vm of pickShare(run, ROLL_SHARES)) {
			/* eslint-disable no-await-in-loop -- one after the other */
			await run.stopVm(vm);
			vm.start();
			await sleep(run.random.integer(ROLL_INTERVAL_MS.min, ROLL_INTERVAL_MS.max));
			/* eslint-enable no-await-in-loop */
		}
	},
	/** A part of the VMs does not reach the store. */
	async storeForSome(run: ProcessRun) {
		const endDisturbance = run.deployment.disturbStore();
		const proxy = run.random.pick(run.deployment.storeProxies);
		proxy.setMode(run.random.pick([ProxyMode.Silent, ProxyMode.OneWay, ProxyMode.Reset]));
		await run.waitForFaultDuration();
		proxy.setMode(ProxyMode.Pass);
		endDisturbance();
	},
	/** More requests arrive. */
	async burst(run: ProcessRun) {
		run.rateFactor = run.random.pick(BURST_FACTORS);
		await sleep(run.random.integer(BURST_MS.min, BURST_MS.max));
		run.rateFactor = 1;
	},
} as const satisfies Record<string, (run: ProcessRun) => Promise<void>>;

function pickShare(run: ProcessRun, shares: readonly number[]): VmProcess[] {
	const {vms} = run.deployment;
	return run.random.sample(vms, Math.ceil(vms.length * run.random.pick(shares)));
}

async function killAll(run: ProcessRun, vms: readonly VmProcess[]): Promise<void> {
	run.note(`kill ${vms.map(({name}) => name).join(', ')}`);
	await Promise.all(vms.map(async vm => vm.terminate('SIGKILL')));
	await run.waitForFaultDuration();
	for (const vm of vms) {
		vm.start();
	}
}
