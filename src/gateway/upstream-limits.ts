/**
 * Limits that upstreams put on the requests they take from all VMs together. An upstream states its limit in each response
 * for as long as it applies; a response without one ends it.
 */
import {LRUCache} from 'lru-cache';
import {type UpstreamBoot} from './upstream-boot.js';

/** The limit of one start of an upstream. */
export type UpstreamLimit = UpstreamBoot & {
	/** Requests per second from all VMs together; `undefined` if the upstream takes any number. */
	readonly perSecond: number | undefined;
};

/** A limit as one VM tells it to another, whose clock differs. */
export type AgedLimit = UpstreamLimit & {
	/** Time since the upstream stated it, in ms. */
	readonly ageMs: number;
};

type Entry = UpstreamLimit & {
	/** When the upstream stated it, as far as this VM knows. */
	readonly statedAt: number;
};

/** Number of upstreams whose limits are remembered; several times the largest deployment. */
const MAX_ENTRIES = 4096;

/** The limits known to one VM. Times in ms of its monotonic clock. */
export class UpstreamLimits {
	static create(): UpstreamLimits {
		return new UpstreamLimits();
	}

	readonly #entries = new LRUCache<string, Entry>({max: MAX_ENTRIES});

	private constructor() {
		// Instances come from `create`.
	}

	/** Number of upstreams with a limit. */
	get size(): number {
		return [...this.#entries.values()].filter(({perSecond}) => perSecond !== undefined).length;
	}

	/** @returns The limit of an upstream in requests per second; `undefined` if it has none. */
	perSecond(upstream: UpstreamBoot): number | undefined {
		return this.#entries.size === 0 ? undefined : this.#entryOf(upstream)?.perSecond;
	}

	/**
	 * Records what a response stated. A lower limit applies at once. A higher one, or none, applies only if the request was
	 * sent after the current limit became known: responses can overtake each other, and an older one must not lift a limit.
	 *
	 * @param sentAt - When the request was sent that the upstream responded to.
	 * @returns Whether the limit changed.
	 */
	note({id, startedAt, perSecond}: UpstreamLimit, sentAt: number, now: number): boolean {
		const current = this.#entries.peek(id);
		if (current !== undefined && current.startedAt > startedAt) {
			return false;
		}

		const before = this.perSecond({id, startedAt});
		if (before === perSecond) {
			return false;
		}

		const isLifted = before !== undefined && (perSecond === undefined || perSecond > before);
		if (isLifted && sentAt <= current!.statedAt) {
			return false;
		}

		this.#entries.set(id, {
			id, startedAt, perSecond, statedAt: now,
		});
		return true;
	}

	/** @returns All limits in force. */
	list(now: number): AgedLimit[] {
		return this.get([...this.#entries.keys()], now).filter(({perSecond}) => perSecond !== undefined);
	}

	/** @returns What is known of these upstreams, including that a limit has ended. */
	get(ids: Iterable<string>, now: number): AgedLimit[] {
		const limits: AgedLimit[] = [];
		for (const id of ids) {
			const entry = this.#entries.peek(id);
			if (entry !== undefined) {
				const {startedAt, perSecond, statedAt} = entry;
				limits.push({
					id, startedAt, perSecond, ageMs: now - statedAt,
				});
			}
		}

		return limits;
	}

	/**
	 * Applies limits that another VM learnt of, unless this VM knows newer ones.
	 *
	 * @returns The limits that changed.
	 */
	merge(limits: readonly AgedLimit[], now: number): AgedLimit[] {
		const isNew = (limit: AgedLimit) => (this.#entryOf(limit)?.statedAt ?? Number.NEGATIVE_INFINITY) <= now - limit.ageMs;
		return this.replace(limits.filter(limit => isNew(limit)), now);
	}

	/**
	 * Applies limits as the leader knows them.
	 *
	 * @returns The limits that changed.
	 */
	replace(limits: readonly AgedLimit[], now: number): AgedLimit[] {
		const changed: AgedLimit[] = [];
		for (const limit of limits) {
			const {id, startedAt, perSecond, ageMs} = limit;
			const current = this.#entries.peek(id);
			if (current === undefined || current.startedAt <= startedAt) {
				if (this.perSecond(limit) !== perSecond) {
					changed.push(limit);
				}

				this.#entries.set(id, {
					id, startedAt, perSecond, statedAt: now - ageMs,
				});
			}
		}

		return changed;
	}

	#entryOf({id, startedAt}: UpstreamBoot): Entry | undefined {
		const entry = this.#entries.peek(id);
		return entry?.startedAt === startedAt ? entry : undefined;
	}
}
