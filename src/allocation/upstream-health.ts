/**
 * Passive health tracking of an upstream, based on how callers' requests ended there. Detects upstreams that fail some of
 * their requests although their own health check passes, that stop responding, and that go down and up repeatedly.
 */
import {failureEndings, Ending} from '../gateway/exchange-ending.js';
import {type Restore} from './unchanged-state.js';

/** Half-life of recorded outcomes, in ms; upstreams that fail some of their requests do so for several seconds. */
const HALF_LIFE_MS = 2500;
/** Length of the first ejection of an upstream, in ms; a replacement registers within about a second. */
const FIRST_EJECTION_MS = 400;
/** Longest ejection, in ms; a recovered upstream is used again within this time. */
const MAX_EJECTION_MS = 3000;
/** Consecutive failures after which an upstream is ejected although it accepts connections. */
const FAILURES_TO_EJECT = 3;
/** Weight of an error response, relative to a failure that the request cannot have caused. */
const ERROR_RESPONSE_WEIGHT = 0.5;

/** Endings after which the upstream is ejected immediately. */
const unreachableEndings: ReadonlySet<Ending> = new Set([Ending.NotConnected, Ending.OtherUpstream]);

/** Health of one upstream. Times in ms of the caller's monotonic clock. */
export class UpstreamHealth {
	static create(): UpstreamHealth {
		return new UpstreamHealth();
	}

	#failures = 0;
	#successes = 0;
	#updatedAt = 0;
	#consecutiveFailures = 0;
	#ejectionMs = FIRST_EJECTION_MS;
	#ejectedUntil = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Instances come from `create`.
	}

	/** @returns Whether the upstream is ejected and must not get requests. */
	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	/** @returns Whether the upstream has not answered since its last ejection, so that it gets one request at a time. */
	get isOnProbation(): boolean {
		return this.#consecutiveFailures > 0 && this.#ejectedUntil !== Number.NEGATIVE_INFINITY;
	}

	/** @returns Recent failure rate, from 0 to 1, biased towards 0 while there are few outcomes. */
	failureRate(now: number): number {
		this.#decay(now);
		return this.#failures / (this.#failures + this.#successes + 1);
	}

	/** @returns A function that restores the current state, after an evaluation that must change nothing. */
	snapshot(): Restore {
		const failures = this.#failures;
		const successes = this.#successes;
		const updatedAt = this.#updatedAt;
		return () => {
			this.#failures = failures;
			this.#successes = successes;
			this.#updatedAt = updatedAt;
		};
	}

	note(ending: Ending, now: number): void {
		this.#decay(now);
		if (ending === Ending.Answered) {
			this.#successes += 1;
			this.#consecutiveFailures = 0;
			this.#ejectionMs = FIRST_EJECTION_MS;
			this.#ejectedUntil = Number.NEGATIVE_INFINITY;
			return;
		}

		if (ending === Ending.Cancelled) {
			return;
		}

		if (ending === Ending.UpstreamError) {
			// The upstream is alive and responds, so only its failure rate rises.
			this.#failures += ERROR_RESPONSE_WEIGHT;
			this.#consecutiveFailures = 0;
			return;
		}

		this.#failures += failureEndings.has(ending) ? 1 : ERROR_RESPONSE_WEIGHT;
		this.#consecutiveFailures += 1;
		if (unreachableEndings.has(ending) || this.#consecutiveFailures >= FAILURES_TO_EJECT || (this.isOnProbation && !this.isEjected(now))) {
			this.#eject(now);
		}
	}

	#eject(now: number): void {
		if (this.isEjected(now)) {
			return;
		}

		this.#ejectedUntil = now + this.#ejectionMs;
		this.#ejectionMs = Math.min(MAX_EJECTION_MS, this.#ejectionMs * 2);
	}

	#decay(now: number): void {
		const remainingRatio = 0.5 ** ((now - this.#updatedAt) / HALF_LIFE_MS);
		this.#failures *= remainingRatio;
		this.#successes *= remainingRatio;
		this.#updatedAt = now;
	}
}
