/**
 * State of one upstream as observed by the local node.
 */
import {ConcurrencyLimit} from './concurrency-limit.js';
import {Health, stallThreshold} from './health.js';
import {type Loss} from './quarantine.js';
import {FLOOR_SLOTS, SHARE_LIFETIME_MS} from './shares.js';
import {type UpstreamView} from './scheduler.js';

const INITIAL_PREFILL_MS_PER_TOKEN = 0.15;
const PREFILL_RATE_EWMA_WEIGHT = 0.2;
/** With shorter prompts, network latency dominates the measured prefill time. */
const MIN_RATE_SAMPLE_TOKENS = 200;
const SLOT_INTERVAL_EWMA_WEIGHT = 0.2;
const INITIAL_SLOT_INTERVAL_MS = 500;
/** Age from which a load report no longer represents the load from other nodes. */
const LOAD_REPORT_LIFETIME_MS = 6000;
const EXCESS_EWMA_WEIGHT = 0.3;
/** Decay time constant of the excess delay; prompts of other nodes that delayed a first token are prefilled within seconds. */
const EXCESS_DECAY_MS = 2000;

/** Limits, health and measured rates of one upstream. Times are milliseconds of the caller's monotonic clock. */
export class UpstreamState {
	static create(view: UpstreamView, now: number): UpstreamState {
		return new UpstreamState(view, now);
	}

	readonly limit: ConcurrencyLimit;
	readonly health = Health.create();
	view: UpstreamView;
	inFlight = 0;
	/** Uncached prompt tokens of requests of this node that have no first token yet. */
	pendingPrefillTokens = 0;
	/** Whether the upstream accepts prompts with a long prefill. */
	takesLongPrompts = true;
	/** Time at which the upstream was first seen leaving. */
	leavingSince: number | undefined;
	/** Whether a request suspected of crashing upstreams is in flight. */
	hasSuspect = false;
	/** Fingerprints of requests lost since `lossStartedAt`. */
	lost: string[] = [];
	lossStartedAt = Number.NEGATIVE_INFINITY;
	/** Last loss of all requests in flight; `undefined` once a connection was refused. */
	lastLoss: Loss | undefined;
	/** Requests in flight whose responses arrive in one piece. */
	wholeInFlight = 0;
	lastProgressAt: number;
	lastFirstTokenAt = Number.NEGATIVE_INFINITY;
	prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
	slotIntervalMs = INITIAL_SLOT_INTERVAL_MS;
	#shareSlots: number | undefined;
	#expiredShareSlots = FLOOR_SLOTS;
	#shareEndsAt = Number.NEGATIVE_INFINITY;
	#excessDelayMs = 0;
	#excessUpdatedAt = Number.NEGATIVE_INFINITY;
	#lastSlotFreedAt = Number.NEGATIVE_INFINITY;
	#reportedOthersInFlight = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;

	private constructor(view: UpstreamView, now: number) {
		this.view = view;
		this.limit = ConcurrencyLimit.create(view.maxConcurrency);
		this.lastProgressAt = now;
	}

	/** @returns Maximum number of requests of this node in flight at the upstream. */
	slots(now: number): number {
		const limitedSlots = this.#shareSlots === undefined
			? Math.max(1, this.limit.value - this.#currentOthersInFlight(now))
			: Math.min(now < this.#shareEndsAt ? this.#shareSlots : this.#expiredShareSlots, this.limit.value);
		return Math.min(limitedSlots, this.view.maxConcurrency, this.health.slots(now));
	}

	isFree(now: number): boolean {
		return !this.view.isLeaving && this.inFlight < this.slots(now);
	}

	/** Expected time in milliseconds until pending prompts are prefilled. */
	get prefillQueueMs(): number {
		return this.pendingPrefillTokens * this.prefillMsPerToken;
	}

	/** @returns Whether the engine has made no progress for longer than its pending work explains. */
	isStalled(now: number): boolean {
		const threshold = stallThreshold(this.limit.usualGapMs, this.prefillQueueMs);
		return this.inFlight > this.wholeInFlight && now - this.lastProgressAt > threshold;
	}

	/** Sets this node's share of the slots; falls back to `expiredSlots` if the share is not renewed. */
	setShare(slots: number | undefined, expiredSlots: number, now: number): void {
		this.#shareSlots = slots;
		this.#expiredShareSlots = expiredSlots;
		this.#shareEndsAt = now + SHARE_LIFETIME_MS;
	}

	/** Derives the load from other nodes from a report on all requests at the upstream. */
	noteLoad(total: number, ageMs: number, now: number): void {
		this.#reportedOthersInFlight = Math.max(0, total - this.inFlight);
		this.#reportedAt = now - ageMs;
	}

	/** @param prefillMs - Time from the start of the prefill to the first token. */
	notePrefill(tokens: number, prefillMs: number): void {
		if (tokens >= MIN_RATE_SAMPLE_TOKENS) {
			this.prefillMsPerToken += PREFILL_RATE_EWMA_WEIGHT * ((prefillMs / tokens) - this.prefillMsPerToken);
		}
	}

	/** @returns Recent delay of first tokens in excess of what the requests of this node explain. */
	excessMs(now: number): number {
		return this.#excessDelayMs * Math.exp((this.#excessUpdatedAt - now) / EXCESS_DECAY_MS);
	}

	noteFirstToken(elapsedMs: number, expectedMs: number, now: number): void {
		const excess = this.#excessUpdatedAt === Number.NEGATIVE_INFINITY ? 0 : this.excessMs(now);
		this.#excessDelayMs = excess + (EXCESS_EWMA_WEIGHT * (Math.max(0, elapsedMs - expectedMs) - excess));
		this.#excessUpdatedAt = now;
	}

	noteSlotFreed(now: number): void {
		if (this.#lastSlotFreedAt !== Number.NEGATIVE_INFINITY) {
			const interval = Math.min(5000, now - this.#lastSlotFreedAt);
			this.slotIntervalMs += SLOT_INTERVAL_EWMA_WEIGHT * (interval - this.slotIntervalMs);
		}

		this.#lastSlotFreedAt = now;
	}

	#currentOthersInFlight(now: number): number {
		return now - this.#reportedAt < LOAD_REPORT_LIFETIME_MS ? this.#reportedOthersInFlight : 0;
	}
}
