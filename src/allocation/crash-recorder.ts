/**
 * Tells the quarantine what the endings of exchanges show: that an upstream crashed with a request, or survived it.
 */
import {LRUCache} from 'lru-cache';
import {type Clock} from '../base/clock.js';
import {Ending} from '../gateway/exchange-ending.js';
import {crashId} from '../policy/crash-evidence.js';
import {type Quarantine} from '../policy/quarantine.js';
import {type PlaceRequest} from './allocation.js';

/** What the recorder needs to know of an upstream. */
export type RecordedUpstream = {
	readonly id: string;
	readonly pool: string;
	readonly startedAt: number;
	/** Its requests may be cut off because it stops. */
	readonly isLeaving: boolean;
};

/** Endings with which an upstream that crashes ends all its exchanges. */
const crashEndings: ReadonlySet<Ending> = new Set([Ending.Lost, Ending.Spoiled]);
/** Endings of exchanges with an upstream that says nothing more, be it slow or gone. */
const silentEndings: ReadonlySet<Ending> = new Set([Ending.Stalled, Ending.TimedOut]);
/** How long an answer must have gone on for its request not to be accused of the upstream's crash, in ms. */
const LIVED_ON_MS = 10_000;
/** Time in which the entry of an upstream that crashed lapses, in ms. */
const LAPSE_MS = 10_000;
const MAX_SILENT_UPSTREAMS = 512;
const MAX_SILENT_REQUESTS = 64;

/** Records crashes and answers in a quarantine. */
export class CrashRecorder {
	static create(clock: Clock, quarantine: Quarantine): CrashRecorder {
		return new CrashRecorder(clock, quarantine);
	}

	readonly #clock: Clock;
	readonly #quarantine: Quarantine;
	/** Requests of exchanges that ended without a word, by the start of their upstream. */
	readonly #silent: LRUCache<string, PlaceRequest[]>;

	private constructor(clock: Clock, quarantine: Quarantine) {
		this.#clock = clock;
		this.#quarantine = quarantine;
		this.#silent = new LRUCache({
			max: MAX_SILENT_UPSTREAMS, ttl: LAPSE_MS, ttlResolution: 0, perf: clock,
		});
	}

	/** Records that an answer began. It shows that the upstream runs, not that it survives the request. */
	noteBegun(upstream: RecordedUpstream): void {
		this.#quarantine.noteAlive(crashOf(upstream), this.#clock.now());
	}

	/**
	 * Records how an exchange ended.
	 *
	 * @param streamMs - Time from the first event or byte of the answer to the last one, in ms.
	 */
	noteEnding(ask: PlaceRequest, upstream: RecordedUpstream, ending: Ending, streamMs: number): void {
		if (ending === Ending.Answered && ask.isContinuation) {
			// The upstream wrote only the end of the answer, and may be spared what the one before it met.
			this.noteBegun(upstream);
		} else if (ending === Ending.Answered) {
			this.#quarantine.noteAnswered({crash: crashOf(upstream), pool: upstream.pool, features: ask.features}, this.#clock.now());
		} else if (crashEndings.has(ending) && streamMs < LIVED_ON_MS) {
			this.#noteCrash(ask, upstream);
		} else if (silentEndings.has(ending)) {
			const crash = crashOf(upstream);
			const requests = this.#silent.get(crash) ?? [];
			this.#silent.set(crash, [...requests, ask].slice(-MAX_SILENT_REQUESTS));
		}
	}

	/**
	 * Records that an upstream is no longer listed. One that crashes without closing its connections is known by that.
	 *
	 * @param running - Requests that it has not answered.
	 */
	noteGone(upstream: RecordedUpstream, running: readonly PlaceRequest[]): void {
		const crash = crashOf(upstream);
		for (const ask of [...this.#silent.get(crash) ?? [], ...running]) {
			this.#noteCrash(ask, upstream);
		}

		this.#silent.delete(crash);
	}

	#noteCrash({id, features}: PlaceRequest, upstream: RecordedUpstream): void {
		if (!upstream.isLeaving) {
			this.#quarantine.noteCrash({
				crash: crashOf(upstream), pool: upstream.pool, features, seenBy: bootOf(id),
			}, this.#clock.now());
		}
	}
}

/** @returns The ID of a crash, of which each start of an upstream can have one. */
function crashOf({id, startedAt}: RecordedUpstream): string {
	return crashId.refused(id, String(startedAt));
}

/** @returns The boot of the VM that asked for a place: the ID of the place request up to its counter. */
function bootOf(askId: string): string {
	return askId.slice(0, Math.max(0, askId.lastIndexOf('-')));
}
