/**
 * Upstreams that asked this VM to back off when they rejected a request. A pause applies to one start of the upstream and
 * to this VM only: the upstream may still serve other VMs.
 */
import {type Clock} from '../base/clock.js';
import {type Log} from '../base/log.js';
import {type RetryAfter} from './call-codec.js';
import {type UpstreamBoot} from './upstream-boot.js';
import {type UpstreamList} from './upstream-list.js';

/** Pause when the upstream's value cannot be parsed, in ms; about the time that a short queue takes to drain. */
const DEFAULT_PAUSE_MS = 1000;
/** Maximum pause, in ms; an upstream that asks for a longer one is tried once an hour. */
const MAX_PAUSE_MS = 3_600_000;

type Pause = {
	readonly startedAt: number;
	readonly endsAt: number;
};

/** Tracks the pauses of one VM. Times in ms of its monotonic clock. */
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

	/** Records a pause requested by an upstream; a shorter pause does not replace a longer one. */
	note({id, startedAt}: UpstreamBoot, {text, ms}: RetryAfter): void {
		const pauseMs = Math.min(MAX_PAUSE_MS, ms ?? DEFAULT_PAUSE_MS);
		if (ms !== pauseMs) {
			this.#log.warn('Retry-After of an upstream is not usable.', {upstream: id, retryAfter: text.slice(0, 40), usedMs: pauseMs});
		}

		const current = this.#pauses.get(id);
		const endsAt = this.#clock.now() + pauseMs;
		if (current?.startedAt !== startedAt || current.endsAt < endsAt) {
			this.#pauses.set(id, {startedAt, endsAt});
			this.#log.info('Upstream asked for a pause.', {upstream: id, ms: Math.round(pauseMs)});
		}
	}

	/** @returns The remaining pause of an upstream, in ms; 0 when it is not paused. */
	remainingMs({id, startedAt}: UpstreamBoot): number {
		const pause = this.#pauses.get(id);
		return pause?.startedAt === startedAt ? Math.max(0, pause.endsAt - this.#clock.now()) : 0;
	}

	/** @returns IDs of the listed upstreams that are currently paused. */
	pausedIds(upstreams: UpstreamList): string[] {
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
