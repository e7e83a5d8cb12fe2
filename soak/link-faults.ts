/**
 * How each fault of a `LinkPlan` begins and ends in the simulation.
 */
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {type SimulatedNetwork} from './simulated-network.js';
import {type LinkFault} from './link-plans.js';
import {type LeaderRow} from './simulated-register.js';
import {type ProcessClock} from './process-clock.js';

/** Size of a wall clock jump, in ms. */
const WALL_JUMP_MS = 3_600_000;

/** Ages of the copies that the store comes back from, in ms: from before the fault before it, some seconds, and from before the first claim. */
const COPY_AGES_MS = [1500, 4000, 60_000] as const;

/** The parts of the simulation that faults act on. */
export type FaultTargets = {
	readonly vms: number;
	readonly network: SimulatedNetwork;
	readonly row: LeaderRow;
	readonly clock: VirtualClock;
	readonly clockOf: (vm: number) => ProcessClock | undefined;
	/** Ends the process of a VM immediately. */
	readonly kill: (vm: number) => void;
	readonly start: (vm: number) => void;
	/** Lets the store come back from a copy of its state at a time, in ms. */
	readonly restoreStore: (copiedAt: number) => void;
	/** Begins a planned stop of a VM. */
	readonly stop: (vm: number) => void;
};

export function beginFault(fault: LinkFault, targets: FaultTargets): void {
	const {kind, vm, other} = fault;
	const {network, row, clock, clockOf, kill, stop} = targets;
	const name = `vm-${vm}`;
	switch (kind) {
		case 'kill': {
			kill(vm);
			break;
		}

		case 'stop': {
			stop(vm);
			break;
		}

		case 'freeze': {
			clockOf(vm)?.pause();
			break;
		}

		case 'cut': {
			network.block(name, `vm-${other}`);
			break;
		}

		case 'split': {
			for (let peer = 0; peer < targets.vms; peer += 1) {
				network.block(name, `vm-${peer}`);
				network.block(`vm-${peer}`, name);
			}

			break;
		}

		case 'isolate': {
			beginFault({...fault, kind: 'split'}, targets);
			beginFault({...fault, kind: 'store-away'}, targets);
			break;
		}

		case 'store-away': {
			row.unreachableFor.add(name);
			break;
		}

		case 'store-away-for-all': {
			row.unreachableFor.add('all');
			break;
		}

		case 'store-restored': {
			row.unreachableFor.add('restore');
			break;
		}

		case 'store-loses-answers': {
			row.losesResponsesFor.add(name);
			break;
		}

		case 'store-slow': {
			row.slowFor.add(name);
			break;
		}

		case 'wall-jump': {
			clock.jumpWall(vm % 2 === 0 ? WALL_JUMP_MS : -WALL_JUMP_MS);
			break;
		}
	}
}

export function endFault(fault: LinkFault, targets: FaultTargets): void {
	const {kind, vm, other} = fault;
	const {network, row, clockOf, kill, start} = targets;
	const name = `vm-${vm}`;
	switch (kind) {
		case 'stop':
		case 'kill': {
			kill(vm);
			start(vm);
			break;
		}

		case 'freeze': {
			clockOf(vm)?.resume();
			network.deliverPending();
			break;
		}

		case 'cut': {
			network.unblock(name, `vm-${other}`);
			break;
		}

		case 'split': {
			for (let peer = 0; peer < targets.vms; peer += 1) {
				network.unblock(name, `vm-${peer}`);
				network.unblock(`vm-${peer}`, name);
			}

			break;
		}

		case 'isolate': {
			endFault({...fault, kind: 'split'}, targets);
			endFault({...fault, kind: 'store-away'}, targets);
			break;
		}

		case 'store-away': {
			row.unreachableFor.delete(name);
			break;
		}

		case 'store-away-for-all': {
			row.unreachableFor.delete('all');
			break;
		}

		case 'store-restored': {
			row.unreachableFor.delete('restore');
			targets.restoreStore(fault.at - COPY_AGES_MS[vm % COPY_AGES_MS.length]!);
			break;
		}

		case 'store-loses-answers': {
			row.losesResponsesFor.delete(name);
			break;
		}

		case 'store-slow': {
			row.slowFor.delete(name);
			break;
		}

		case 'wall-jump': {
			break;
		}
	}
}
