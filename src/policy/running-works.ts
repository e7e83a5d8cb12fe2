/**
 * Requests at upstreams: occupies slots and learns from tokens and ends.
 */
import {type Clock} from '../base/clock.js';
import {costOf, type OutputEstimate} from './output-estimate.js';
import {type PrefixIndex} from './prefix-index.js';
import {type Quarantine} from './quarantine.js';
import {type Choice} from './router.js';
import {type Work, WorkOutcome} from './scheduler.js';
import {type UpstreamState} from './upstream-state.js';
import {type Waiting} from './waiting.js';

/** Lost streams of one upstream within this time belong to one crash. */
const CRASH_WINDOW_MS = 100;
/** A refused connection within this time confirms a crash; it exceeds the longest ejection, after which the next attempt comes. */
const CONFIRM_MS = 10_000;
/** Shorter expectations are dominated by the link and the current decoding step. */
const MIN_EXPECTED_FIRST_TOKEN_MS = 150;

type Running = {
	readonly waiting: Waiting;
	readonly state: UpstreamState;
	readonly uncachedTokens: number;
	/** Without the delay that other nodes' requests cause. */
	readonly expectedFirstTokenMs: number;
	committedAt: number;
	firstTokenAt: number | undefined;
	lastTokenAt: number;
	tokens: number;
};

/** What the running requests work with. */
export type RunningWorksOptions = {
	readonly clock: Clock;
	readonly outputs: OutputEstimate;
	readonly index: PrefixIndex;
	readonly quarantine: Quarantine;
};

/** The running requests of a node. */
export class RunningWorks {
	static create(options: RunningWorksOptions): RunningWorks {
		return new RunningWorks(options);
	}

	readonly #options: RunningWorksOptions;
	readonly #running = new Map<string, Running>();

	private constructor(options: RunningWorksOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#running.size;
	}

	occupy(waiting: Waiting, choice: Choice): void {
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

	/** @returns The upstream whose slots may have changed. */
	noteProgress(workId: string, count: number): UpstreamState | undefined {
		const running = this.#running.get(workId);
		if (running === undefined || count <= 0) {
			return undefined;
		}

		const now = this.#options.clock.now();
		const {state} = running;
		state.lastProgressAt = now;
		if (running.firstTokenAt === undefined) {
			this.#noteFirstToken(running, now);
		} else if (running.waiting.work.promptTokens > 0 && state.pendingPrefillTokens === 0 && !running.waiting.work.isWhole) {
			// Steps that also prefill are longer and say nothing about the speed of the engine.
			state.limit.noteGap((now - running.lastTokenAt) / count, isFull(state, now), now);
		}

		running.lastTokenAt = now;
		running.tokens += count;
		return state;
	}

	/** @returns The upstream whose slot became free. */
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
		this.#noteOutcome(running, outcome, now);
		return state;
	}

	#noteFirstToken(running: Running, now: number): void {
		const {state} = running;
		running.firstTokenAt = now;
		state.pendingPrefillTokens -= running.uncachedTokens;
		const elapsed = now - running.committedAt;
		if (running.waiting.work.isWhole) {
			// Prefill and decoding cannot be told apart.
			state.limit.noteWhole(isFull(state, now), now);
		} else if (running.waiting.work.promptTokens === 0) {
			state.limit.noteGap(elapsed, isFull(state, now), now);
		} else {
			state.notePrefill(running.uncachedTokens, now - Math.max(running.committedAt, state.lastFirstTokenAt));
			state.noteFirstToken(elapsed, running.expectedFirstTokenMs, now);
			state.limit.noteFirstToken(elapsed / Math.max(MIN_EXPECTED_FIRST_TOKEN_MS, running.expectedFirstTokenMs), now);
		}

		state.lastFirstTokenAt = now;
		state.health.noteSuccess(state.limit.value);
	}

	#noteOutcome(running: Running, outcome: WorkOutcome, now: number): void {
		const {state, waiting} = running;
		const {work} = waiting;
		if (outcome === WorkOutcome.Done) {
			this.#options.quarantine.noteSuccess(work.fingerprint, now);
			this.#noteCost(running, work);
			return;
		}

		if (outcome === WorkOutcome.Lost) {
			this.#noteLost(state, work.fingerprint, now);
		} else if (outcome === WorkOutcome.ConnectionRefused) {
			this.#noteRefused(state, now);
		}

		if (outcome === WorkOutcome.Canceled) {
			return;
		}

		if (outcome === WorkOutcome.ConnectionRefused ? state.health.noteRefused(now) : state.health.noteFailure(now)) {
			state.limit.restart();
		}
	}

	#noteCost({waiting, uncachedTokens, tokens}: Running, work: Work): void {
		this.#options.outputs.note(work, tokens);
		const difference = costOf(uncachedTokens, tokens) - waiting.cost;
		waiting.lane.queues[work.tier]!.correct(work, difference);
	}

	/** All streams of an upstream that are lost within a short time belong to one loss, which may be a crash. */
	#noteLost(state: UpstreamState, fingerprint: string, now: number): void {
		if (now - state.lossStartedAt > CRASH_WINDOW_MS) {
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
			this.#noteCrash(state, now);
		}
	}

	#noteRefused(state: UpstreamState, now: number): void {
		const {lastLoss} = state;
		if (lastLoss !== undefined && now - lastLoss.at <= CONFIRM_MS) {
			this.#options.quarantine.confirm(lastLoss, now);
			this.#noteCrash(state, now);
		}

		state.lastLoss = undefined;
	}

	#noteCrash(state: UpstreamState, now: number): void {
		this.#options.index.clear(state.view.id, now);
		if (state.health.eject(now)) {
			state.limit.restart();
		}
	}
}

function isFull(state: UpstreamState, now: number): boolean {
	return state.inFlight >= state.slots(now);
}
