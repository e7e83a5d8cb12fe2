/**
 * Upstreams that asked this VM to be spared for a while when they turned a request away. The pause belongs to one start
 * of the upstream and to this VM alone: others may be served there.
 */
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type RetryAfter} from './call-codec.js';
import {type UpstreamBoot, type UpstreamList} from './upstream-list.js';

/** Pause where an upstream's own value cannot be read, in ms; about the length of a short queue. */
const DEFAULT_PAUSE_MS = 1000;
/** Longest pause that is kept, in ms; an upstream that wants a longer one is asked once an hour. */
const MAX_PAUSE_MS = 3_600_000;

type Pause = {
	readonly startedAt: number;
	readonly endsAt: number;
};

/** The pauses of one VM. Times in ms of its monotonic clock. */
export class UpstreamPauses {
	static create(clock: Clock, log: Log): UpstreamPauses {
		return new UpstreamPauses(clock, log);
	}

	readonly #clock: Clock;
	readonly #log: Log;
	readonly #pauses = new Map<string, Pause>();

	private constructor(clock: Clock, log: Log) {
		this.#clock = clock;
		this.#log = log;
	}

	/** Takes the pause that an upstream asks for; a shorter one does not end a longer one. */
	note({id, startedAt}: UpstreamBoot, {text, ms}: RetryAfter): void {
		const pauseMs = Math.min(MAX_PAUSE_MS, ms ?? DEFAULT_PAUSE_MS);
		if (ms !== pauseMs) {
			this.#log.warn('Retry-After of an upstream is not usable.', {upstream: id, retryAfter: text.slice(0, 40), usedMs: pauseMs});
		}

		const before = this.#pauses.get(id);
		const endsAt = this.#clock.now() + pauseMs;
		if (before?.startedAt !== startedAt || before.endsAt < endsAt) {
			this.#pauses.set(id, {startedAt, endsAt});
			this.#log.info('Upstream asked for a pause.', {upstream: id, ms: Math.round(pauseMs)});
		}
	}

	/** @returns How long an upstream is still to be spared, in ms; 0 where it is not. */
	remainingMs({id, startedAt}: UpstreamBoot): number {
		const pause = this.#pauses.get(id);
		return pause?.startedAt === startedAt ? Math.max(0, pause.endsAt - this.#clock.now()) : 0;
	}

	/** @returns IDs of the listed upstreams that are to be spared now. */
	idsOf(upstreams: UpstreamList): string[] {
		const now = this.#clock.now();
		const ids: string[] = [];
		for (const [id, {startedAt, endsAt}] of this.#pauses) {
			if (endsAt <= now) {
				this.#pauses.delete(id);
			} else if (upstreams.get(id)?.startedAt === startedAt) {
				ids.push(id);
			}
		}

		return ids;
	}
}
