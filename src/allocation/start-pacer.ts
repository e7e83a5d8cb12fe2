/**
 * Spaces the requests to an upstream that limits how many it takes. Requests are counted in a window at all times, so that
 * those sent before the limit was known count as well.
 */
import {type Random} from '../base/random.js';
import {SlidingWindow} from './sliding-window.js';
import {type Restore} from './unchanged-state.js';

/** Length of the window in which the upstream gets no more than its limit allows, in ms. */
const WINDOW_MS = 4000;
/** Number of intervals that the window is divided into. */
const WINDOW_INTERVALS = 16;
/** Requests that the limit allows in this time may be sent at once, in ms; a queue is served every 25 ms. */
const BURST_MS = 200;
/** How long a standalone VM may use an unused turn, in ms: the turns of hundreds of VMs must not add up to one burst. */
const STANDALONE_TURN_MS = 1000;
const MS_PER_SECOND = 1000;
/** Point of its interval at which a new limit is taken to start in an evaluation, which must draw no random number. */
const MEAN_PHASE = 0.5;

/** How many requests may be sent. */
export type StartRate = {
	/** More than 0. */
	readonly perSecond: number;
	/** Whether other VMs send to the upstream without this VM's knowledge. */
	readonly isStandalone: boolean;
};

/** Paces the requests that one allocator grants at one upstream. Times in ms of the caller's monotonic clock. */
export class StartPacer {
	static create(random: Random): StartPacer {
		return new StartPacer(random);
	}

	readonly #random: Random;
	readonly #starts = SlidingWindow.create(WINDOW_MS, WINDOW_INTERVALS);
	#perSecond: number | undefined;
	/** When the next request is due; earlier by the burst, if the limit allows one. */
	#nextAt = 0;
	#isEvaluating = false;

	private constructor(random: Random) {
		this.#random = random;
	}

	/**
	 * @param rate - `undefined` if the upstream has no limit.
	 * @returns Time until the next request may be sent, in ms; 0 if one may be sent now.
	 */
	delayMs(rate: StartRate | undefined, now: number): number {
		if (rate === undefined) {
			this.#perSecond = undefined;
			return 0;
		}

		const {perSecond, isStandalone} = rate;
		this.#setRate(perSecond, now);
		if (isStandalone) {
			this.#skipUnusedTurns(now);
		}

		const burstMs = Math.max(0, BURST_MS - this.#intervalMs);
		const allowedInWindow = 1 + (perSecond * (WINDOW_MS + (WINDOW_MS / WINDOW_INTERVALS) + BURST_MS) / MS_PER_SECOND);
		return Math.max(0, this.#nextAt - burstMs - now, this.#starts.msUntil(allowedInWindow - 1, now));
	}

	/** @returns A function that restores the current state, after an evaluation that must change nothing. */
	snapshot(): Restore {
		const perSecond = this.#perSecond;
		const nextAt = this.#nextAt;
		const restoreStarts = this.#starts.snapshot();
		this.#isEvaluating = true;
		return () => {
			this.#perSecond = perSecond;
			this.#nextAt = nextAt;
			this.#isEvaluating = false;
			restoreStarts();
		};
	}

	/** Records a request that is sent now. */
	noteStart(now: number): void {
		this.#starts.add(1, now);
		if (this.#perSecond !== undefined) {
			this.#nextAt = Math.max(this.#nextAt, now) + this.#intervalMs;
		}
	}

	/** Records a request that another allocator granted. */
	noteEarlierStart(startedAt: number): void {
		this.#starts.add(1, startedAt);
	}

	get #intervalMs(): number {
		return MS_PER_SECOND / this.#perSecond!;
	}

	/** A new limit starts at a random point of its interval, as several VMs may learn of it at the same time. */
	#setRate(perSecond: number, now: number): void {
		if (this.#perSecond === perSecond) {
			return;
		}

		const isNew = this.#perSecond === undefined;
		this.#perSecond = perSecond;
		const phase = () => this.#isEvaluating ? MEAN_PHASE : this.#random.next();
		this.#nextAt = isNew ? now + (phase() * this.#intervalMs) : Math.min(this.#nextAt, now + this.#intervalMs);
	}

	#skipUnusedTurns(now: number): void {
		const lateMs = now - this.#nextAt - STANDALONE_TURN_MS;
		if (lateMs > 0) {
			this.#nextAt += Math.ceil(lateMs / this.#intervalMs) * this.#intervalMs;
		}
	}
}
