/**
 * What a node has learned about one upstream.
 */
import {ConcurrencyLimit} from './concurrency-limit.js';
import {Health, stallThreshold} from './health.js';
import {type Loss} from './quarantine.js';
import {FLOOR_SLOTS, SHARE_LIFETIME_MS} from './shares.js';
import {type UpstreamView} from './scheduler.js';

const INITIAL_PREFILL_MS_PER_TOKEN = 0.15;
const NEW_RATE_WEIGHT = 0.2;
/** Shorter prompts say more about the link than about the prefill rate. */
const MIN_RATE_SAMPLE_TOKENS = 200;
const NEW_INTERVAL_WEIGHT = 0.2;
const INITIAL_SLOT_INTERVAL_MS = 500;
/** Older load reports say nothing about the present load of other nodes. */
const REPORT_LIFETIME_MS = 6000;
const NEW_EXCESS_WEIGHT = 0.3;
/** Prompts of other nodes that delayed a first token are prefilled after some seconds. */
const EXCESS_DECAY_MS = 2000;

/** Times in ms of the caller's monotonic clock. */
export class UpstreamState {
	static create(view: UpstreamView, now: number): UpstreamState {
		return new UpstreamState(view, now);
	}

	readonly limit: ConcurrencyLimit;
	readonly health = Health.create();
	view: UpstreamView;
	inFlight = 0;
	/** Uncached prompt tokens of this node's requests without a first token. */
	pendingPrefillTokens = 0;
	/** Whether prompts with a long prefill may run here. */
	takesLongPrompts = true;
	/** When it was first seen leaving. */
	leavingSince: number | undefined;
	/** A request under suspicion of crashing upstreams runs here. */
	hasSuspect = false;
	/** Fingerprints of the requests lost since `lossStartedAt`. */
	lost: string[] = [];
	lossStartedAt = Number.NEGATIVE_INFINITY;
	/** The last loss of all requests that no refused connection has confirmed. */
	lastLoss: Loss | undefined;
	/** Requests in flight whose answers arrive in one piece. */
	wholeInFlight = 0;
	lastProgressAt: number;
	lastFirstTokenAt = Number.NEGATIVE_INFINITY;
	prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
	slotIntervalMs = INITIAL_SLOT_INTERVAL_MS;
	#share: number | undefined;
	#expiredShare = FLOOR_SLOTS;
	#shareEndsAt = Number.NEGATIVE_INFINITY;
	#excessMs = 0;
	#excessAt = Number.NEGATIVE_INFINITY;
	#lastFinishAt = Number.NEGATIVE_INFINITY;
	#othersInFlight = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;

	private constructor(view: UpstreamView, now: number) {
		this.view = view;
		this.limit = ConcurrencyLimit.create(view.maxConcurrency);
		this.lastProgressAt = now;
	}

	/** @returns Greatest number of this node's requests in flight here. */
	slots(now: number): number {
		const fromLimit = this.#share === undefined
			? Math.max(1, this.limit.value - this.#others(now))
			: Math.min(now < this.#shareEndsAt ? this.#share : this.#expiredShare, this.limit.value);
		return Math.min(fromLimit, this.view.maxConcurrency, this.health.slots(now));
	}

	isFree(now: number): boolean {
		return !this.view.isLeaving && this.inFlight < this.slots(now);
	}

	/** @returns Expected ms until the prompts ahead of a new request are prefilled. */
	get prefillQueueMs(): number {
		return this.pendingPrefillTokens * this.prefillMsPerToken;
	}

	/** @returns Whether the engine is silent for longer than its work explains. */
	isStalled(now: number): boolean {
		const threshold = stallThreshold(this.limit.usualGapMs, this.prefillQueueMs);
		return this.inFlight > this.wholeInFlight && now - this.lastProgressAt > threshold;
	}

	/** Bounds this node's slots; a share that is not renewed falls to `expiredSlots`. */
	setShare(slots: number | undefined, expiredSlots: number, now: number): void {
		this.#share = slots;
		this.#expiredShare = expiredSlots;
		this.#shareEndsAt = now + SHARE_LIFETIME_MS;
	}

	/** Learns the load of other nodes from a report about all requests at the upstream. */
	noteLoad(total: number, ageMs: number, now: number): void {
		this.#othersInFlight = Math.max(0, total - this.inFlight);
		this.#reportedAt = now - ageMs;
	}

	/** @param prefillMs - Time from the start of the prefill to the first token. */
	notePrefill(tokens: number, prefillMs: number): void {
		if (tokens >= MIN_RATE_SAMPLE_TOKENS) {
			this.prefillMsPerToken += NEW_RATE_WEIGHT * ((prefillMs / tokens) - this.prefillMsPerToken);
		}
	}

	/** @returns Recent delay of first tokens beyond what this node's own requests explain. */
	excessMs(now: number): number {
		return this.#excessMs * Math.exp((this.#excessAt - now) / EXCESS_DECAY_MS);
	}

	noteFirstToken(elapsedMs: number, expectedMs: number, now: number): void {
		const excess = this.#excessAt === Number.NEGATIVE_INFINITY ? 0 : this.excessMs(now);
		this.#excessMs = excess + (NEW_EXCESS_WEIGHT * (Math.max(0, elapsedMs - expectedMs) - excess));
		this.#excessAt = now;
	}

	noteSlotFreed(now: number): void {
		if (this.#lastFinishAt !== Number.NEGATIVE_INFINITY) {
			const interval = Math.min(5000, now - this.#lastFinishAt);
			this.slotIntervalMs += NEW_INTERVAL_WEIGHT * (interval - this.slotIntervalMs);
		}

		this.#lastFinishAt = now;
	}

	#others(now: number): number {
		return now - this.#reportedAt < REPORT_LIFETIME_MS ? this.#othersInFlight : 0;
	}
}
