/**
 * Simulated callers of the VMs: one customer that exceeds its quota several times, and other callers that retry requests
 * lost at an upstream. Checks that all VMs together grant no more than the quota and the retry budget allow.
 */
import {type PlaceRequest, emptyReport} from '../src/allocation/allocation.js';
import {type SwitchedAllocation} from '../src/allocation/switched-allocation.js';
import {type Random} from '../src/base/random.js';
import {type VirtualClock} from '../src/base/virtual-clock.js';
import {Ending} from '../src/gateway/exchange-ending.js';
import {Operation} from '../src/gateway/routing-table.js';
import {type ProcessClock} from './process-clock.js';

/** Time until a response begins, in ms; at most the shortest time for which a place is held. */
const RESPONSE_DELAY_MS = 20;
const HOLD_TIME_MS = {min: 20, max: 400} as const;
/** Quota of the customer, who sends about three times as much; see `HOT_CUSTOMER_RATIO`. */
export const QUOTA = {perSecond: 40, burst: 40} as const;
/** Tolerated overage of about a third of the quota, as in the example deployments for larger customers. */
export const QUOTA_TOLERANCE = {ratio: 0.1, slack: 50, windowMs: 4000} as const;
const REQUESTS_PER_SECOND = 150;
/** Fraction of all requests that the customer with the quota sends; each of three VMs alone receives as many as the whole quota allows. */
const HOT_CUSTOMER_RATIO = 0.85;
/** Retry budget; low enough for the simulated retries to exhaust it. */
export const RETRY_BOUNDS = {ratio: 0.02, slack: 10, windowMs: 4000} as const;
/** Fraction of the other callers' requests that are lost at an upstream and retried. */
const LOSS_RATIO = 0.3;
const MS_PER_SECOND = 1000;

/** A VM as seen by its callers. */
export type TargetVm = {
	readonly boot: string;
	readonly clock: ProcessClock;
	readonly allocation: SwitchedAllocation;
};

/** Dependencies and callbacks of the callers. */
export type SimulatedCallersOptions = {
	readonly clock: VirtualClock;
	readonly random: Random;
	/** Selects the VM for the next request; `undefined` if the selected VM accepts none. */
	readonly pick: () => TargetVm | undefined;
	readonly onGrant: (boot: string, upstreamId: string) => void;
	/**
	 * A response began.
	 *
	 * @param sentAt - When its request was sent, by the clock of the VM's process.
	 */
	readonly onResponse: (boot: string, upstreamId: string, sentAt: number) => void;
};

/** Sends the requests of all callers and records what was granted. */
export class SimulatedCallers {
	static create(options: SimulatedCallersOptions): SimulatedCallers {
		return new SimulatedCallers(options);
	}

	grants = 0;
	refusals = 0;
	readonly #options: SimulatedCallersOptions;
	readonly #quotaGrantTimes: number[] = [];
	readonly #firstAttemptTimes: number[] = [];
	readonly #retryTimes: number[] = [];
	#requestCount = 0;

	private constructor(options: SimulatedCallersOptions) {
		this.#options = options;
	}

	/** Describes the window that exceeds the quota most; `undefined` if none exceeds it. */
	get quotaExcess(): string | undefined {
		const {ratio, slack, windowMs} = QUOTA_TOLERANCE;
		const allowed = (((QUOTA.perSecond * windowMs / MS_PER_SECOND) + QUOTA.burst) * (1 + ratio)) + slack;
		const busiest = busiestWindow(this.#quotaGrantTimes, windowMs);
		return busiest.count > allowed ? `${busiest.count} grants, ${allowed} allowed, in the window from ${Math.round(busiest.from)} ms` : undefined;
	}

	/** Describes the first window that exceeds the retry budget; `undefined` if none exceeds it. */
	get retryBudgetExcess(): string | undefined {
		for (const [index, at] of this.#retryTimes.entries()) {
			const retries = index + 1 - this.#retryTimes.findIndex(earlier => earlier > at - RETRY_BOUNDS.windowMs);
			const requests = this.#firstAttemptTimes.filter(first => first > at - RETRY_BOUNDS.windowMs && first <= at).length;
			if (retries > (RETRY_BOUNDS.ratio * requests) + RETRY_BOUNDS.slack) {
				return `${retries} retries for ${requests} requests in the window to ${Math.round(at)} ms`;
			}
		}

		return undefined;
	}

	/** Sends requests to random VMs at a constant rate. */
	start(): void {
		const {clock, random, pick} = this.#options;
		const vm = pick();
		if (vm !== undefined) {
			this.#send(vm, random.next() < HOT_CUSTOMER_RATIO ? 'hot' : undefined, 1, []);
		}

		clock.setTimer(MS_PER_SECOND / REQUESTS_PER_SECOND, () => {
			this.start();
		});
	}

	#send(vm: TargetVm, customer: string | undefined, attempt: number, excluded: readonly string[]): void {
		this.#requestCount += 1;
		const id = `${vm.boot}:${this.#requestCount}`;
		const request: PlaceRequest = {
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
			isCounted: false,
			isContinuation: false,
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
			features: [id],
		};
		if (attempt === 1) {
			this.#firstAttemptTimes.push(this.#options.clock.now());
		}

		vm.allocation.ask(request, {
			grant: upstreamId => {
				this.#onGrant(vm, request, upstreamId);
			},
			refuse: () => {
				this.refusals += 1;
			},
		});
	}

	#onGrant(vm: TargetVm, {id, customer, attempt}: PlaceRequest, upstreamId: string): void {
		const {clock, random, onGrant, onResponse} = this.#options;
		this.grants += 1;
		onGrant(vm.boot, upstreamId);
		const sentAt = vm.clock.now();
		vm.clock.setTimer(RESPONSE_DELAY_MS, () => {
			onResponse(vm.boot, upstreamId, sentAt);
		});
		if (attempt > 1) {
			this.#retryTimes.push(clock.now());
		} else if (customer !== undefined) {
			this.#quotaGrantTimes.push(clock.now());
		}

		vm.clock.setTimer(HOLD_TIME_MS.min + (random.next() * (HOLD_TIME_MS.max - HOLD_TIME_MS.min)), () => {
			const isLost = customer === undefined && random.next() < LOSS_RATIO;
			vm.allocation.release(id, emptyReport(isLost ? Ending.NotRun : Ending.Answered));
			if (isLost && attempt < 3) {
				this.#send(vm, customer, attempt + 1, [upstreamId]);
			}
		});
	}
}

/** @returns The window that contains the most times. */
function busiestWindow(times: readonly number[], windowMs: number): {count: number; from: number} {
	let first = 0;
	let busiest = {count: 0, from: 0};
	for (const [index, at] of times.entries()) {
		while (times[first]! <= at - windowMs) {
			first += 1;
		}

		if (index - first + 1 > busiest.count) {
			busiest = {count: index - first + 1, from: times[first]!};
		}
	}

	return busiest;
}
