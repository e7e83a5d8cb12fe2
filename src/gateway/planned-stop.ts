/**
 * What a VM does with requests between the signal to stop and its end. Callers learn of a stop only with their next address
 * list, so the VM serves on for a while. It takes a request that may not be repeated only if its final answer is due
 * before the end; one that may be repeated is taken early in the stop in any case, as few of them last that long.
 */
import {type Clock} from '../base/clock.js';
import {DEADLINE_GRACE_MS} from './request-deadline.js';
import {Operation, type Route} from './routing-table.js';

/** Part of the time for a stop in which the last answers are delivered and connections closed, in ms. */
const CLOSE_PERIOD_MS = 400;
/** Part of the time for a stop that is reserved for the exit of the process, in ms. */
const EXIT_MARGIN_MS = 200;
/** Time to write an answer and deliver it to the caller, in ms. */
const DELIVERY_MARGIN_MS = 150;
/**
 * How long requests that may be repeated are taken whatever their deadline, in ms: at least the lifetime of the address
 * lists that callers were given.
 */
const REPEATABLE_PERIOD_MS = 2500;
/** Minimum time for a stop, in ms: callers that were just given this address still connect. */
const MIN_DURATION_MS = 2500;
/** Time without a request that can be served after which no more are expected, in ms. */
const QUIET_PERIOD_MS = 500;

/** The schedule of one planned stop. Times in ms of the VM's monotonic clock. */
export class PlannedStop {
	/** @param graceMs - Time from now until the process is killed, in ms. */
	static create(clock: Clock, graceMs: number): PlannedStop {
		return new PlannedStop(clock, graceMs);
	}

	readonly startedAt: number;
	/** Requests that are still open at this time get their final answer. */
	readonly endsAt: number;
	/** Connections that are still open at this time are cut. */
	readonly exitsAt: number;
	readonly #clock: Clock;
	#lastTakenAt: number;

	private constructor(clock: Clock, graceMs: number) {
		this.#clock = clock;
		this.startedAt = clock.now();
		this.#lastTakenAt = this.startedAt;
		this.exitsAt = this.startedAt + graceMs - EXIT_MARGIN_MS;
		this.endsAt = this.exitsAt - CLOSE_PERIOD_MS;
	}

	/** @returns Whether to serve a request that has been read completely; any other is refused as not run. */
	take({operation, isResumable}: Route, deadlineAt: number): boolean {
		const now = this.#clock.now();
		const isRepeatable = operation === Operation.Safe || (operation === Operation.Stream && isResumable);
		const isTaken = deadlineAt + DEADLINE_GRACE_MS + DELIVERY_MARGIN_MS <= this.endsAt
			|| (isRepeatable && now <= Math.min(this.startedAt + REPEATABLE_PERIOD_MS, this.endsAt));
		if (isTaken) {
			this.#lastTakenAt = now;
		}

		return isTaken;
	}

	/** @returns Whether the VM may end: all time is used, or no more requests are expected and none is open. */
	isOver(inFlight: number): boolean {
		const now = this.#clock.now();
		return now >= this.endsAt || (inFlight === 0 && now >= Math.max(this.startedAt + MIN_DURATION_MS, this.#lastTakenAt + QUIET_PERIOD_MS));
	}
}
