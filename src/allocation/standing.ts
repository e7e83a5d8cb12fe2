/**
 * How much an upstream is trusted, from how callers' requests ended there. Answers upstreams that fail a part of their
 * requests while their own health answer is good, that fall silent, and that go down and up by turns.
 */
import {failureEndings, Ending} from '../gateway/exchange-ending.js';

/** After this time a failure counts half, in ms; upstreams that fail a part of their requests do so for seconds. */
const HALF_LIFE_MS = 2500;
/** First pause after an upstream could not be reached, in ms; its successor registers within about a second. */
const FIRST_PAUSE_MS = 400;
/** Longest pause, in ms; a return is noticed within this time. */
const MAX_PAUSE_MS = 3000;
/** Failures in a row after which an upstream pauses although it accepts connections. */
const FAILURES_IN_A_ROW = 3;
/** What the upstream's own error answers count against those that prove nothing wrong with the request. */
const ERROR_ANSWER_WEIGHT = 0.5;

/** Endings after which the next request should go elsewhere at once. */
const severeEndings: ReadonlySet<Ending> = new Set([Ending.NotConnected, Ending.OtherUpstream]);

/** The record of one upstream. Times in ms of the caller's monotonic clock. */
export class Standing {
	static create(): Standing {
		return new Standing();
	}

	#failures = 0;
	#successes = 0;
	#updatedAt = 0;
	#failuresInARow = 0;
	#pauseMs = FIRST_PAUSE_MS;
	#pausedUntil = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Made by `create`.
	}

	/** @returns Whether the upstream gets no request now. */
	isPaused(now: number): boolean {
		return now < this.#pausedUntil;
	}

	/** @returns Whether the upstream has not answered since its last pause, so that one request tries it. */
	get isOnTrial(): boolean {
		return this.#failuresInARow > 0 && this.#pausedUntil !== Number.NEGATIVE_INFINITY;
	}

	/** @returns Recent share of failures, from 0 to 1, drawn towards 0 while little is known. */
	failureShare(now: number): number {
		this.#decay(now);
		return this.#failures / (this.#failures + this.#successes + 1);
	}

	note(ending: Ending, now: number): void {
		this.#decay(now);
		if (ending === Ending.Answered) {
			this.#successes += 1;
			this.#failuresInARow = 0;
			this.#pauseMs = FIRST_PAUSE_MS;
			this.#pausedUntil = Number.NEGATIVE_INFINITY;
			return;
		}

		if (ending === Ending.Cancelled) {
			return;
		}

		if (ending === Ending.UpstreamError) {
			// It is alive and answers; only its share of failures grows.
			this.#failures += ERROR_ANSWER_WEIGHT;
			this.#failuresInARow = 0;
			return;
		}

		this.#failures += failureEndings.has(ending) ? 1 : ERROR_ANSWER_WEIGHT;
		this.#failuresInARow += 1;
		if (severeEndings.has(ending) || this.#failuresInARow >= FAILURES_IN_A_ROW || (this.isOnTrial && !this.isPaused(now))) {
			this.#pause(now);
		}
	}

	#pause(now: number): void {
		if (this.isPaused(now)) {
			return;
		}

		this.#pausedUntil = now + this.#pauseMs;
		this.#pauseMs = Math.min(MAX_PAUSE_MS, this.#pauseMs * 2);
	}

	#decay(now: number): void {
		const kept = 0.5 ** ((now - this.#updatedAt) / HALF_LIFE_MS);
		this.#failures *= kept;
		this.#successes *= kept;
		this.#updatedAt = now;
	}
}
