/**
 * Faults of a modelled deployment: how each begins and ends.
 */
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {type LinkFabric} from './link-fabric.js';
import {type LinkFault} from './link-plans.js';
import {type LinkRow} from './link-store.js';
import {type ProcessClock} from './process-clock.js';

/** A step of the wall clock, in ms. */
const WALL_JUMP_MS = 3_600_000;

/** What faults act on. */
export type FaultTargets = {
	readonly vms: number;
	readonly fabric: LinkFabric;
	readonly row: LinkRow;
	readonly clock: VirtualClock;
	readonly clockOf: (vm: number) => ProcessClock | undefined;
	/** Ends the process of a VM at once. */
	readonly kill: (vm: number) => void;
	readonly start: (vm: number) => void;
	/** Begins a planned stop. */
	readonly stop: (vm: number) => void;
};

export function beginFault(fault: LinkFault, targets: FaultTargets): void {
	const {kind, vm, other} = fault;
	const {fabric, row, clock, clockOf, kill, stop} = targets;
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
			fabric.cut(name, `vm-${other}`);
			break;
		}

		case 'split': {
			for (let far = 0; far < targets.vms; far += 1) {
				fabric.cut(name, `vm-${far}`);
				fabric.cut(`vm-${far}`, name);
			}

			break;
		}

		case 'isolate': {
			beginFault({...fault, kind: 'split'}, targets);
			beginFault({...fault, kind: 'store-away'}, targets);
			break;
		}

		case 'store-away': {
			row.awayFor.add(name);
			break;
		}

		case 'store-away-for-all': {
			row.awayFor.add('all');
			break;
		}

		case 'store-loses-answers': {
			row.losesFor.add(name);
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
	const {fabric, row, clockOf, kill, start} = targets;
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
			fabric.pump();
			break;
		}

		case 'cut': {
			fabric.heal(name, `vm-${other}`);
			break;
		}

		case 'split': {
			for (let far = 0; far < targets.vms; far += 1) {
				fabric.heal(name, `vm-${far}`);
				fabric.heal(`vm-${far}`, name);
			}

			break;
		}

		case 'isolate': {
			endFault({...fault, kind: 'split'}, targets);
			endFault({...fault, kind: 'store-away'}, targets);
			break;
		}

		case 'store-away': {
			row.awayFor.delete(name);
			break;
		}

		case 'store-away-for-all': {
			row.awayFor.delete('all');
			break;
		}

		case 'store-loses-answers': {
			row.losesFor.delete(name);
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
