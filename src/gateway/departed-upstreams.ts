/**
 * Upstreams that were removed from the list. A registry that comes back in an earlier state lists them again, although they
 * are gone or about to go; they stay out until they register again.
 */
import {LRUCache} from 'lru-cache';
import {bootKey, type UpstreamBoot} from './upstream-boot.js';

/** The removal of one start of an upstream. */
export type Departure = UpstreamBoot & {
	/** Era of the registry in which it was removed. */
	readonly era: number;
};

/** Number of departures that are remembered, and that another VM is told of; a registry comes back from a copy that is some seconds old. */
const MAX_DEPARTURES = 200;

/** Remembers removed upstreams, and tells whether an entry of the registry is one that it has brought back. */
export class DepartedUpstreams {
	static create(): DepartedUpstreams {
		return new DepartedUpstreams();
	}

	readonly #departures = new LRUCache<string, Departure>({max: MAX_DEPARTURES});
	/** Starts that are known to have registered in the present era. */
	readonly #registered = new Set<string>();
	#era = 0;

	private constructor() {
		// Instances come from `create`.
	}

	/** The latest known era of the registry. */
	get era(): number {
		return this.#era;
	}

	/** All departures, oldest first. */
	get all(): Departure[] {
		return [...this.#departures.rvalues()].filter(departure => departure !== undefined);
	}

	/** The registry came back in an earlier state, unless the era is known already. */
	beginEra(era: number): void {
		if (era > this.#era) {
			this.#era = era;
			this.#registered.clear();
		}
	}

	/** An upstream was removed from the list. */
	note({id, startedAt}: UpstreamBoot): void {
		const departure = {id, startedAt, era: this.#era};
		this.#registered.delete(bootKey(departure));
		this.add(departure);
	}

	/** Takes a departure, perhaps one that another VM knows of, unless it is known already. */
	add(departure: Departure): void {
		const key = bootKey(departure);
		if (!this.#departures.has(key)) {
			this.#departures.set(key, departure);
		}
	}

	/** An upstream was added to the list. */
	forget(boot: UpstreamBoot): void {
		this.#departures.delete(bootKey(boot));
	}

	/** An upstream has registered in the present era. */
	noteRegistered(boot: UpstreamBoot): void {
		this.#registered.add(bootKey(boot));
	}

	/** Whether an entry of the upstream was brought back: it left in an earlier era and has not registered since. */
	has(boot: UpstreamBoot): boolean {
		const departure = this.#departures.peek(bootKey(boot));
		return departure !== undefined && this.isBroughtBack(departure);
	}

	/** Whether an entry that the registry lists must be from before the departure. */
	isBroughtBack(departure: Departure): boolean {
		return departure.era < this.#era && !this.#registered.has(bootKey(departure));
	}
}
