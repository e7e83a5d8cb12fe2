/**
 * Plans of faults for the model of the coordination: all of a bounded kind, and random ones.
 */
import {type Scope} from '../src/allocation/scope.js';
import {Random} from '../src/base/random.js';
import {type Tamper} from './link-fabric.js';

/** One fault of a VM or between two. Times in ms from the start of the run. */
export type LinkFault = {
	readonly kind: 'kill' | 'stop' | 'freeze' | 'cut' | 'split' | 'isolate' | 'store-away' | 'store-away-for-all' | 'store-loses-answers' | 'store-slow' | 'wall-jump';
	readonly at: number;
	readonly until: number;
	readonly vm: number;
	/** The VM to which nothing goes, for a cut one way. */
	readonly other: number;
};

/** A run. */
export type LinkPlan = {
	readonly seed: number;
	readonly vms: number;
	readonly faults: readonly LinkFault[];
	readonly sabotage?: LinkSabotage;
};

/** A deliberate break of the program or of what it stands on. */
export type LinkSabotage = {
	/** Claims take effect whatever the row says. */
	readonly ignoresTerms?: boolean;
	readonly tamper?: Tamper;
	/** What an allocator is told when it starts anew. */
	readonly scope?: (scope: Scope) => Scope;
};

/** When the first fault begins, in ms: the VMs are linked by then. */
const FIRST_FAULT_MS = 1500;
/** Shorter and longer than the silences after which a VM or an allocator counts as lost. */
const DURATIONS_MS = [400, 3000] as const;
/** Between the beginnings of two faults, in ms: at once, while the first is noticed, while a successor is chosen. */
const OFFSETS_MS = [0, 300, 900] as const;
const SMALL = 3;
/** Time in which random faults begin, in ms. */
const FAULTS_SPAN_MS = 10_000;
const MAX_FAULTS = 6;
const MAX_FAULT_MS = 4000;
const RUN_SEEDS_STEP = 7919;

type Kind = LinkFault['kind'];

const kinds: readonly Kind[] = ['kill', 'stop', 'freeze', 'cut', 'split', 'isolate', 'store-away', 'store-away-for-all', 'store-loses-answers', 'store-slow', 'wall-jump'];

/** Faults of three VMs without their times; what concerns all VMs alike is named once. */
function alphabet(): Array<Pick<LinkFault, 'kind' | 'vm' | 'other'>> {
	const vms = Array.from({length: SMALL}, (_, vm) => vm);
	const faults: Array<Pick<LinkFault, 'kind' | 'vm' | 'other'>> = [];
	for (const kind of kinds) {
		const concerned = kind === 'store-away-for-all' || kind === 'wall-jump' ? [0] : vms;
		for (const vm of concerned) {
			const others = kind === 'cut' ? vms.filter(other => other !== vm) : [vm];
			faults.push(...others.map(other => ({kind, vm, other})));
		}
	}

	return faults;
}

/** @returns All plans of one fault of three VMs, or of two whose beginnings are some times apart. */
export function * allPlans(depth: 1 | 2, seed: number): Generator<LinkPlan> {
	const single = alphabet().flatMap(fault => DURATIONS_MS.map(durationMs => ({...fault, durationMs})));
	for (const {durationMs, ...first} of single) {
		const begun: LinkFault = {...first, at: FIRST_FAULT_MS, until: FIRST_FAULT_MS + durationMs};
		if (depth === 1) {
			yield {
				seed, vms: SMALL, faults: [begun],
			};
			continue;
		}

		for (const {durationMs: secondMs, ...second} of single) {
			for (const offset of OFFSETS_MS) {
				const at = FIRST_FAULT_MS + offset;
				yield {
					seed, vms: SMALL, faults: [begun, {...second, at, until: at + secondMs}],
				};
			}
		}
	}
}

/** @returns A plan with random faults at random VMs, the one that allocates first more often. */
export function randomPlan(seed: number, vms: number): LinkPlan {
	const random = Random.create(seed * RUN_SEEDS_STEP);
	const faults = Array.from({length: random.integer(1, MAX_FAULTS)}, (): LinkFault => {
		const at = FIRST_FAULT_MS + Math.round(random.next() * FAULTS_SPAN_MS);
		return {
			kind: random.pick(kinds),
			at,
			until: at + Math.round(50 + (random.next() * MAX_FAULT_MS)),
			vm: random.next() < 0.4 ? 0 : random.integer(0, vms - 1),
			other: random.integer(0, vms - 1),
		};
	});
	return {
		seed, vms, faults,
	};
}
