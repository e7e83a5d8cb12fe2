/**
 * Callers of a modelled deployment: one customer that sends several times its quota, and others some of whose requests are
 * lost and sent again; and whether what all VMs share was granted within its bounds.
 */
import {type PlaceRequest, emptyReport} from '../src/allocation/allocation.js';
import {type SwitchedAllocation} from '../src/allocation/switched-allocation.js';
import {type Random} from '../src/base/random.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {Ending} from '../src/gateway/exchange-ending.js';
import {Operation} from '../src/gateway/routing-table.js';
import {type ProcessClock} from './process-clock.js';

const HELD_MS = {min: 20, max: 400} as const;
/** The customer sends about three times its quota; see HOT_SHARE. */
export const QUOTA = {perSecond: 40, burst: 40} as const;
/** About a third of the quota, as the deployments' example tolerates for its larger customers. */
export const TOLERANCE = {ratio: 0.1, slack: 50, windowMs: 4000} as const;
const ASKS_PER_SECOND = 150;
/** Part of the requests that the customer with the quota sends: as much at each of three VMs as the quota allows in all. */
const HOT_SHARE = 0.85;
/** So small that the repeats of the model meet it. */
export const REPEATS = {ratio: 0.02, slack: 10, windowMs: 4000} as const;
/** Part of the requests of the other customer that are lost, so that they are sent again. */
const LOST_SHARE = 0.3;
const MS_PER_SECOND = 1000;

/** A VM as its callers have it. */
export type Asked = {
	readonly boot: string;
	readonly clock: ProcessClock;
	readonly allocation: SwitchedAllocation;
};

/** What the demand works with. */
export type LinkDemandOptions = {
	readonly clock: VirtualClock;
	readonly random: Random;
	/** The VM that the next caller asks; `undefined` for one that takes nobody. */
	readonly pick: () => Asked | undefined;
	readonly onGrant: (boot: string, upstreamId: string) => void;
};

/** All callers. */
export class LinkDemand {
	static create(options: LinkDemandOptions): LinkDemand {
		return new LinkDemand(options);
	}

	grants = 0;
	refusals = 0;
	readonly #options: LinkDemandOptions;
	readonly #quotaGrants: number[] = [];
	readonly #firsts: number[] = [];
	readonly #repeats: number[] = [];
	#asks = 0;

	private constructor(options: LinkDemandOptions) {
		this.#options = options;
	}

	/** What exceeded the quota in some window; `undefined` for nothing. */
	get beyondQuota(): string | undefined {
		const {ratio, slack, windowMs} = TOLERANCE;
		const allowed = (((QUOTA.perSecond * windowMs / MS_PER_SECOND) + QUOTA.burst) * (1 + ratio)) + slack;
		const most = mostInWindow(this.#quotaGrants, windowMs);
		return most.count > allowed ? `${most.count} of ${allowed} in the window from ${Math.round(most.from)} ms` : undefined;
	}

	/** What exceeded the budget of repeats in some window; `undefined` for nothing. */
	get beyondBudget(): string | undefined {
		for (const [index, at] of this.#repeats.entries()) {
			const repeats = index + 1 - this.#repeats.findIndex(earlier => earlier > at - REPEATS.windowMs);
			const requests = this.#firsts.filter(first => first > at - REPEATS.windowMs && first <= at).length;
			if (repeats > (REPEATS.ratio * requests) + REPEATS.slack) {
				return `${repeats} of ${requests} requests in the window to ${Math.round(at)} ms`;
			}
		}

		return undefined;
	}

	/** Callers of random VMs, evenly over time. */
	start(): void {
		const {clock, random, pick} = this.#options;
		const vm = pick();
		if (vm !== undefined) {
			this.#ask(vm, random.next() < HOT_SHARE ? 'hot' : undefined, 1, []);
		}

		clock.setTimer(MS_PER_SECOND / ASKS_PER_SECOND, () => {
			this.start();
		});
	}

	#ask(vm: Asked, customer: string | undefined, attempt: number, excluded: readonly string[]): void {
		this.#asks += 1;
		const id = `${vm.boot}:${this.#asks}`;
		const ask: PlaceRequest = {
			id,
			requestId: id,
			pool: 'desk',
			customer,
			rank: 0,
			operation: Operation.Safe,
			promptTokens: 0,
			outputEvents: 0,
			quotaCost: customer === undefined ? 0 : 1,
			isCharged: false,
			objectiveMs: 300,
			remainingMs: 2000,
			callerLeavesMs: 2000,
			patienceMs: 2000,
			maxPauseMs: 0,
			dataCentre: 'a',
			region: 'r',
			attempt,
			excluded,
			fingerprint: id,
		};
		if (attempt === 1) {
			this.#firsts.push(this.#options.clock.now());
		}

		vm.allocation.ask(ask, {
			grant: upstreamId => {
				this.#onGrant(vm, ask, upstreamId);
			},
			refuse: () => {
				this.refusals += 1;
			},
		});
	}

	#onGrant(vm: Asked, {id, customer, attempt}: PlaceRequest, upstreamId: string): void {
		const {clock, random, onGrant} = this.#options;
		this.grants += 1;
		onGrant(vm.boot, upstreamId);
		if (attempt > 1) {
			this.#repeats.push(clock.now());
		} else if (customer !== undefined) {
			this.#quotaGrants.push(clock.now());
		}

		vm.clock.setTimer(HELD_MS.min + (random.next() * (HELD_MS.max - HELD_MS.min)), () => {
			const isLost = customer === undefined && random.next() < LOST_SHARE;
			vm.allocation.release(id, emptyReport(isLost ? Ending.NotRun : Ending.Answered));
			if (isLost && attempt < 3) {
				this.#ask(vm, customer, attempt + 1, [upstreamId]);
			}
		});
	}
}

/** @returns The window with the most moments in it. */
function mostInWindow(moments: readonly number[], windowMs: number): {count: number; from: number} {
	let first = 0;
	let most = {count: 0, from: 0};
	for (const [index, at] of moments.entries()) {
		while (moments[first]! <= at - windowMs) {
			first += 1;
		}

		if (index - first + 1 > most.count) {
			most = {count: index - first + 1, from: moments[first]!};
		}
	}

	return most;
}
