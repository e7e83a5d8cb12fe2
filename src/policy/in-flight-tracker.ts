/**
 * Tracks requests in flight at upstreams: reserves their slots and updates upstream state from tokens and outcomes.
 */
import {type Clock} from '../base/clock.js';
import {requestCost, type OutputLengthEstimator} from './output-length-estimator.js';
import {type PrefixIndex} from './prefix-index.js';
import {type Quarantine} from './quarantine.js';
import {type Choice} from './router.js';
import {type Work, WorkOutcome} from './scheduler.js';
import {type UpstreamState} from './upstream-state.js';
import {type WaitingWork} from './waiting-work.js';

/** Streams of one upstream that are lost within this time belong to one loss. */
const LOSS_WINDOW_MS = 100;
/** Time within which a refused connection confirms a crash; longer than the maximum ejection, which delays the next attempt. */
const CRASH_CONFIRMATION_MS = 10_000;
/** Below this value, network latency and the current decoding step dominate the time to first token. */
const MIN_EXPECTED_FIRST_TOKEN_MS = 150;

type RunningWork = {
	readonly waiting: WaitingWork;
	readonly state: UpstreamState;
	readonly uncachedTokens: number;
	/** Excludes the delay caused by requests of other nodes. */
	readonly expectedFirstTokenMs: number;
	committedAt: number;
	firstTokenAt: number | undefined;
	lastTokenAt: number;
	tokens: number;
};

/** Dependencies of the tracker. */
export type InFlightTrackerOptions = {
	readonly clock: Clock;
	readonly outputEstimator: OutputLengthEstimator;
	readonly index: PrefixIndex;
	readonly quarantine: Quarantine;
};

/** Requests of one node that are in flight. */
export class InFlightTracker {
	static create(options: InFlightTrackerOptions): InFlightTracker {
		return new InFlightTracker(options);
	}

	readonly #options: InFlightTrackerOptions;
	readonly #running = new Map<string, RunningWork>();

	private constructor(options: InFlightTrackerOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#running.size;
	}

	reserveSlot(waiting: WaitingWork, choice: Choice): void {
		const {state} = choice;
		const {work} = waiting;
		const now = this.#options.clock.now();
		const uncachedTokens = Math.max(0, work.promptTokens - choice.cachedTokens);
		if (state.inFlight === state.wholeInFlight) {
			state.lastProgressAt = now;
		}

		state.inFlight += 1;
		state.wholeInFlight += work.isWhole ? 1 : 0;
		state.pendingPrefillTokens += uncachedTokens;
		state.hasSuspect ||= waiting.isSuspect;
		this.#options.index.storePrefix(work.prefix, state.view.id, now);
		this.#running.set(work.id, {
			waiting,
			state,
			uncachedTokens,
			expectedFirstTokenMs: choice.ownFirstTokenMs,
			committedAt: now,
			firstTokenAt: undefined,
			lastTokenAt: now,
			tokens: 0,
		});
	}

	noteCommitted(workId: string): void {
		const running = this.#running.get(workId);
		if (running !== undefined) {
			running.committedAt = this.#options.clock.now();
		}
	}

	/** @returns The upstream whose number of slots may have changed. */
	noteProgress(workId: string, count: number): UpstreamState | undefined {
		const running = this.#running.get(workId);
		if (running === undefined || count <= 0) {
			return undefined;
		}

		const now = this.#options.clock.now();
		const {state} = running;
		state.lastProgressAt = now;
		if (running.firstTokenAt === undefined) {
			this.#handleFirstToken(running, now);
		} else if (running.waiting.work.promptTokens > 0 && state.pendingPrefillTokens === 0 && !running.waiting.work.isWhole) {
			// Decoding steps that also prefill are longer and would distort the inter-token gap.
			state.limit.noteGap((now - running.lastTokenAt) / count, isSaturated(state, now), now, count);
		}

		running.lastTokenAt = now;
		running.tokens += count;
		return state;
	}

	/** @returns The upstream at which a slot became free. */
	noteFinished(workId: string, outcome: WorkOutcome): UpstreamState | undefined {
		const running = this.#running.get(workId);
		if (running === undefined) {
			return undefined;
		}

		this.#running.delete(workId);
		const {state} = running;
		const now = this.#options.clock.now();
		state.inFlight -= 1;
		state.wholeInFlight -= running.waiting.work.isWhole ? 1 : 0;
		state.hasSuspect &&= !running.waiting.isSuspect;
		if (running.firstTokenAt === undefined) {
			state.pendingPrefillTokens -= running.uncachedTokens;
		}

		state.noteSlotFreed(now);
		this.#handleOutcome(running, outcome, now);
		return state;
	}

	#handleFirstToken(running: RunningWork, now: number): void {
		const {state} = running;
		running.firstTokenAt = now;
		state.pendingPrefillTokens -= running.uncachedTokens;
		const elapsedMs = now - running.committedAt;
		if (running.waiting.work.isWhole) {
			// The response arrives in one piece, so prefill and decoding time cannot be separated.
			state.limit.noteWhole(isSaturated(state, now), now);
		} else if (running.waiting.work.promptTokens === 0) {
			state.limit.noteGap(elapsedMs, isSaturated(state, now), now);
		} else {
			state.notePrefill(running.uncachedTokens, now - Math.max(running.committedAt, state.lastFirstTokenAt));
			state.noteFirstToken(elapsedMs, running.expectedFirstTokenMs, now);
			state.limit.noteFirstToken(elapsedMs / Math.max(MIN_EXPECTED_FIRST_TOKEN_MS, running.expectedFirstTokenMs), now);
		}

		state.lastFirstTokenAt = now;
		state.health.noteSuccess(state.limit.value);
	}

	#handleOutcome(running: RunningWork, outcome: WorkOutcome, now: number): void {
		const {state, waiting} = running;
		const {work} = waiting;
		if (outcome === WorkOutcome.Done) {
			this.#options.quarantine.noteSuccess(work.fingerprint, now);
			this.#adjustCost(running, work);
			return;
		}

		if (outcome === WorkOutcome.Lost) {
			this.#handleLostConnection(state, work.fingerprint, now);
		} else if (outcome === WorkOutcome.ConnectionRefused) {
			this.#handleRefusedConnection(state, now);
		}

		if (outcome === WorkOutcome.Canceled) {
			return;
		}

		if (outcome === WorkOutcome.ConnectionRefused ? state.health.noteRefused(now) : state.health.noteFailure(now)) {
			state.limit.restart();
		}
	}

	#adjustCost({waiting, uncachedTokens, tokens}: RunningWork, work: Work): void {
		this.#options.outputEstimator.record(work, tokens);
		const costDifference = requestCost(uncachedTokens, tokens) - waiting.cost;
		waiting.lane.queues[work.tier]!.adjustCost(work, costDifference);
	}

	/** Groups the streams of an upstream that are lost within a short time into one loss, which may be a crash. */
	#handleLostConnection(state: UpstreamState, fingerprint: string, now: number): void {
		if (now - state.lossStartedAt > LOSS_WINDOW_MS) {
			state.lossStartedAt = now;
			state.lost = [];
		}

		state.lost.push(fingerprint);
		if (state.inFlight > 0) {
			return;
		}

		const {lost, lastLoss} = state;
		state.lost = [];
		if (lastLoss !== undefined && !lost.some(other => lastLoss.fingerprints.has(other))) {
			this.#options.quarantine.withdraw(lastLoss, now);
		}

		state.lastLoss = this.#options.quarantine.noteLoss(state.view.id, lost, now);
		if (lost.length > 1) {
			this.#handleCrash(state, now);
		}
	}

	#handleRefusedConnection(state: UpstreamState, now: number): void {
		const {lastLoss} = state;
		if (lastLoss !== undefined && now - lastLoss.at <= CRASH_CONFIRMATION_MS) {
			this.#options.quarantine.confirm(lastLoss, now);
			this.#handleCrash(state, now);
		}

		state.lastLoss = undefined;
	}

	#handleCrash(state: UpstreamState, now: number): void {
		this.#options.index.clear(state.view.id, now);
		if (state.health.eject(now)) {
			state.limit.restart();
		}
	}
}

function isSaturated(state: UpstreamState, now: number): boolean {
	return state.inFlight >= state.slots(now);
}
