/**
 * Fault plans for the simulation of the leader election and links: exhaustive up to two faults, or random.
 */
import {type Scope} from '../src/allocation/scope.js';
import {Random} from '../src/base/random.js';
import {type MessageFilter} from './simulated-network.js';

/** One fault of a VM, or of the connection between two VMs. Times are in ms from the start of the run. */
export type LinkFault = {
	readonly kind: 'kill' | 'stop' | 'freeze' | 'cut' | 'split' | 'isolate' | 'store-away' | 'store-away-for-all' | 'store-loses-answers' | 'store-slow' | 'store-restored' | 'wall-jump';
	readonly at: number;
	readonly until: number;
	/** For `store-restored`: the age of the copy, by `COPY_AGES_MS`. */
	readonly vm: number;
	/** For `cut`: the VM that no longer receives messages from `vm`. */
	readonly other: number;
};

/** Parameters of one run. */
export type LinkPlan = {
	readonly seed: number;
	readonly vms: number;
	readonly faults: readonly LinkFault[];
	readonly defect?: LinkDefect;
};

/** An injected defect of the program or of its environment. */
export type LinkDefect = {
	/** Claims are written without checking the term of the row. */
	readonly claimsUnconditionally?: boolean;
	/** Versions of different eras of the store are compared. */
	readonly ignoresEra?: boolean;
	readonly messageFilter?: MessageFilter;
	/** Replaces the scope that an allocator receives when it is restarted or its share changes. */
	readonly scope?: (scope: Scope) => Scope;
};

/** Start of the first fault, in ms; the VMs are linked by then. */
const FIRST_FAULT_MS = 1500;
/** One below and one above the timeouts after which a VM or an allocator is considered lost. */
const FAULT_DURATIONS_MS = [400, 3000] as const;
/** Start of the second fault after the first, in ms: simultaneous, while the first is being detected, and during the election of a successor. */
const SECOND_FAULT_OFFSETS_MS = [0, 300, 900] as const;
const EXHAUSTIVE_VM_COUNT = 3;
/** Time span in which random faults begin, in ms. */
const RANDOM_FAULT_SPAN_MS = 10_000;
const MAX_RANDOM_FAULTS = 6;
const MAX_RANDOM_FAULT_MS = 4000;
const SEED_STRIDE = 7919;

type FaultKind = LinkFault['kind'];

const faultKinds: readonly FaultKind[] = ['kill', 'stop', 'freeze', 'cut', 'split', 'isolate', 'store-away', 'store-away-for-all', 'store-loses-answers', 'store-slow', 'store-restored', 'wall-jump'];

/** All faults of three VMs, without their times; a fault that affects all VMs equally occurs once. */
function distinctFaults(): Array<Pick<LinkFault, 'kind' | 'vm' | 'other'>> {
	const vms = Array.from({length: EXHAUSTIVE_VM_COUNT}, (_, vm) => vm);
	const faults: Array<Pick<LinkFault, 'kind' | 'vm' | 'other'>> = [];
	for (const kind of faultKinds) {
		const affectedVms = kind === 'store-away-for-all' || kind === 'wall-jump' ? [0] : vms;
		for (const vm of affectedVms) {
			const others = kind === 'cut' ? vms.filter(other => other !== vm) : [vm];
			faults.push(...others.map(other => ({kind, vm, other})));
		}
	}

	return faults;
}

/** @returns All plans with one fault of three VMs, or with two faults at each of `SECOND_FAULT_OFFSETS_MS`. */
export function * exhaustivePlans(faultCount: 1 | 2, seed: number): Generator<LinkPlan> {
	const singleFaults = distinctFaults().flatMap(fault => FAULT_DURATIONS_MS.map(durationMs => ({...fault, durationMs})));
	for (const {durationMs, ...first} of singleFaults) {
		const firstFault: LinkFault = {...first, at: FIRST_FAULT_MS, until: FIRST_FAULT_MS + durationMs};
		if (faultCount === 1) {
			yield {
				seed, vms: EXHAUSTIVE_VM_COUNT, faults: [firstFault],
			};
			continue;
		}

		for (const {durationMs: secondMs, ...second} of singleFaults) {
			for (const offset of SECOND_FAULT_OFFSETS_MS) {
				const at = FIRST_FAULT_MS + offset;
				yield {
					seed, vms: EXHAUSTIVE_VM_COUNT, faults: [firstFault, {...second, at, until: at + secondMs}],
				};
			}
		}
	}
}

/** @returns A plan with random faults at random VMs, more often at the first leader. */
export function randomPlan(seed: number, vms: number): LinkPlan {
	const random = Random.create(seed * SEED_STRIDE);
	const faults = Array.from({length: random.integer(1, MAX_RANDOM_FAULTS)}, (): LinkFault => {
		const at = FIRST_FAULT_MS + Math.round(random.next() * RANDOM_FAULT_SPAN_MS);
		return {
			kind: random.pick(faultKinds),
			at,
			until: at + Math.round(50 + (random.next() * MAX_RANDOM_FAULT_MS)),
			vm: random.next() < 0.4 ? 0 : random.integer(0, vms - 1),
			other: random.integer(0, vms - 1),
		};
	});
	return {
		seed, vms, faults,
	};
}
