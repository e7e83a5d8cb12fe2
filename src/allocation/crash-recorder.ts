/**
 * Tells the quarantine what the endings of exchanges show: that an upstream crashed with a request, or began to answer it.
 */
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

/** Records crashes and answers in a quarantine. */
export class CrashRecorder {
	static create(clock: Clock, quarantine: Quarantine): CrashRecorder {
		return new CrashRecorder(clock, quarantine);
	}

	readonly #clock: Clock;
	readonly #quarantine: Quarantine;

	private constructor(clock: Clock, quarantine: Quarantine) {
		this.#clock = clock;
		this.#quarantine = quarantine;
	}

	/** Records that the answer to a request began. */
	noteBegun({features}: PlaceRequest, upstream: RecordedUpstream): void {
		this.#quarantine.noteBegun({crash: crashOf(upstream), pool: upstream.pool, features}, this.#clock.now());
	}

	/**
	 * Records how an exchange ended.
	 *
	 * @param hasBegun - Whether the answer had begun, so that the request cannot have crashed the upstream.
	 */
	noteEnding(ask: PlaceRequest, upstream: RecordedUpstream, ending: Ending, hasBegun: boolean): void {
		if (ending === Ending.Answered && !hasBegun) {
			this.noteBegun(ask, upstream);
		} else if (crashEndings.has(ending) && !hasBegun && !upstream.isLeaving) {
			this.#quarantine.noteCrash({
				crash: crashOf(upstream), pool: upstream.pool, features: ask.features, seenBy: bootOf(ask.id),
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
