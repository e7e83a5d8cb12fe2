/**
 * How much an upstream is trusted, from how callers' requests ended there. Answers upstreams that fail a part of their
 * requests while their own health answer is good, that fall silent, and that go down and up by turns.
 */
import {badEndings, Ending} from '../gateway/exchange-ending.js';

/** After this time a failure counts half, in ms; upstreams that fail a part of their requests do so for seconds. */
const HALF_LIFE_MS = 2500;
/** First pause after an upstream could not be reached, in ms; its successor registers within about a second. */
const FIRST_EJECTION_MS = 400;
/** Longest pause, in ms; a return is noticed within this time. */
const MAX_EJECTION_MS = 3000;
/** Failures in a row after which an upstream pauses although it accepts connections. */
const FAILURES_TO_EJECT = 3;
/** What the upstream's own error answers count against those that prove nothing wrong with the request. */
const ERROR_RESPONSE_WEIGHT = 0.5;

/** Endings after which the next request should go elsewhere at once. */
const unreachableEndings: ReadonlySet<Ending> = new Set([Ending.NotConnected, Ending.OtherUpstream]);

/** The record of one upstream. Times in ms of the caller's monotonic clock. */
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
		// Made by `create`.
	}

	/** @returns Whether the upstream gets no request now. */
	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	/** @returns Whether the upstream has not answered since its last pause, so that one request tries it. */
	get isOnProbation(): boolean {
		return this.#consecutiveFailures > 0 && this.#ejectedUntil !== Number.NEGATIVE_INFINITY;
	}

	/** @returns Recent share of failures, from 0 to 1, drawn towards 0 while little is known. */
	failureRate(now: number): number {
		this.#decay(now);
		return this.#failures / (this.#failures + this.#successes + 1);
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
			// It is alive and answers; only its share of failures grows.
			this.#failures += ERROR_RESPONSE_WEIGHT;
			this.#consecutiveFailures = 0;
			return;
		}

		this.#failures += badEndings.has(ending) ? 1 : ERROR_RESPONSE_WEIGHT;
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
