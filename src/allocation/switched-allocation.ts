/**
 * An allocation that delegates to the allocator currently in charge and can be switched to another while requests are
 * pending: the allocator of all VMs, on another VM or in this process, or this process on its own. It keeps the VM's
 * waiting requests and held places, so that the next allocator can be told of them.
 */
import {type Clock} from '../base/clock.js';
import {type ErrorKind} from '../base/errors.js';
import {
	agePlaceRequest, Allocation, type PlaceRequest, type PlaceRequestEvents, type HeldPlace, type PlaceReport,
} from './allocation.js';

type Entry = {
	readonly ask: PlaceRequest;
	readonly events: PlaceRequestEvents;
	readonly requestedAt: number;
	upstreamId: string | undefined;
	grantedAt: number;
	hasFirst: boolean;
};

/** Delegates to an allocation that can be replaced at run time. */
export class SwitchedAllocation extends Allocation {
	static create(clock: Clock): SwitchedAllocation {
		return new SwitchedAllocation(clock);
	}

	readonly #clock: Clock;
	readonly #entries = new Map<string, Entry>();
	#current: Allocation | undefined;

	private constructor(clock: Clock) {
		super();
		this.#clock = clock;
	}

	/** The places that this VM holds. */
	get places(): HeldPlace[] {
		const now = this.#clock.now();
		const places: HeldPlace[] = [];
		for (const {ask, requestedAt, upstreamId, grantedAt, hasFirst} of this.#entries.values()) {
			if (upstreamId !== undefined) {
				places.push({
					ask: agePlaceRequest(ask, grantedAt - requestedAt), upstreamId, heldMs: now - grantedAt, hasFirst,
				});
			}
		}

		return places;
	}

	/** Switches to an allocation that was restarted and told the held places; waiting requests are forwarded to it. */
	use(allocation: Allocation): void {
		const previous = this.#current;
		this.#current = allocation;
		const now = this.#clock.now();
		for (const entry of this.#entries.values()) {
			if (entry.upstreamId === undefined) {
				previous?.withdraw(entry.ask.id);
				const aged = agePlaceRequest(entry.ask, now - entry.requestedAt);
				this.#forward(allocation, entry, {...aged, isCounted: previous !== undefined});
			}
		}
	}

	ask(ask: PlaceRequest, events: PlaceRequestEvents): void {
		const entry: Entry = {
			ask, events, requestedAt: this.#clock.now(), upstreamId: undefined, grantedAt: 0, hasFirst: false,
		};
		this.#entries.set(ask.id, entry);
		if (this.#current !== undefined) {
			this.#forward(this.#current, entry, ask);
		}
	}

	withdraw(id: string): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined && entry.upstreamId === undefined) {
			this.#entries.delete(id);
			this.#current?.withdraw(id);
		}
	}

	noteFirst(id: string, firstMs: number): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined) {
			entry.hasFirst = true;
			this.#current?.noteFirst(id, firstMs);
		}
	}

	release(id: string, report: PlaceReport): void {
		if (this.#entries.delete(id)) {
			this.#current?.release(id, report);
		}
	}

	#forward(allocation: Allocation, entry: Entry, ask: PlaceRequest): void {
		allocation.ask(ask, {
			grant: (upstreamId, expectedFirstMs) => {
				this.#grant(allocation, entry, upstreamId, expectedFirstMs);
			},
			refuse: (kind, retryAfterMs) => {
				this.#refuse(allocation, entry, kind, retryAfterMs);
			},
		});
	}

	#grant(allocation: Allocation, entry: Entry, upstreamId: string, expectedFirstMs: number): void {
		// A late decision of an allocator that is no longer in use is ignored.
		if (allocation === this.#current && this.#entries.get(entry.ask.id) === entry && entry.upstreamId === undefined) {
			entry.upstreamId = upstreamId;
			entry.grantedAt = this.#clock.now();
			entry.events.grant(upstreamId, expectedFirstMs);
		}
	}

	#refuse(allocation: Allocation, entry: Entry, kind: ErrorKind, retryAfterMs: number): void {
		if (allocation === this.#current && this.#entries.get(entry.ask.id) === entry && entry.upstreamId === undefined) {
			this.#entries.delete(entry.ask.id);
			entry.events.refuse(kind, retryAfterMs);
		}
	}
}
