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
import {type CrashRecorder, type RecordedUpstream} from './crash-recorder.js';
import {type StatedPace} from './momentary-pace.js';

/** Records what this VM's own exchanges show about crashes, for the next allocator. */
export type OwnCrashes = {
	readonly recorder: CrashRecorder;
	readonly upstreamOf: (id: string) => RecordedUpstream | undefined;
};

type Entry = {
	readonly ask: PlaceRequest;
	readonly events: PlaceRequestEvents;
	readonly requestedAt: number;
	upstreamId: string | undefined;
	/** The upstream when the place was granted; `undefined` if it was not listed. */
	upstream: RecordedUpstream | undefined;
	grantedAt: number;
	hasFirst: boolean;
};

/** Delegates to an allocation that can be replaced at run time. */
export class SwitchedAllocation extends Allocation {
	static create(clock: Clock, ownCrashes?: OwnCrashes): SwitchedAllocation {
		return new SwitchedAllocation(clock, ownCrashes);
	}

	readonly #clock: Clock;
	readonly #entries = new Map<string, Entry>();
	readonly #ownCrashes: OwnCrashes | undefined;
	#current: Allocation | undefined;

	private constructor(clock: Clock, ownCrashes: OwnCrashes | undefined) {
		super();
		this.#clock = clock;
		this.#ownCrashes = ownCrashes;
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
			ask, events, requestedAt: this.#clock.now(), upstreamId: undefined, upstream: undefined, grantedAt: 0, hasFirst: false,
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

	noteFirst(id: string, firstMs: number, stated?: StatedPace): void {
		const entry = this.#entries.get(id);
		if (entry !== undefined) {
			if (this.#current?.recordsCrashes === false && entry.upstream !== undefined) {
				this.#ownCrashes?.recorder.noteBegun(entry.upstream);
			}

			entry.hasFirst = true;
			this.#current?.noteFirst(id, firstMs, stated);
		}
	}

	release(id: string, report: PlaceReport): void {
		const entry = this.#entries.get(id);
		if (entry === undefined) {
			return;
		}

		this.#entries.delete(id);
		if (this.#current?.recordsCrashes === false && entry.upstream !== undefined) {
			this.#ownCrashes?.recorder.noteEnding(entry.ask, entry.upstream, report.ending, report.streamMs);
		}

		this.#current?.release(id, report);
	}

	/** Records that upstreams are no longer listed, with the requests that they have not answered. */
	noteGone(ids: readonly string[]): void {
		if (this.#current?.recordsCrashes !== false) {
			return;
		}

		for (const id of ids) {
			const entries = [...this.#entries.values()].filter(({upstreamId}) => upstreamId === id);
			const upstream = entries.find(entry => entry.upstream !== undefined)?.upstream;
			if (upstream !== undefined) {
				this.#ownCrashes?.recorder.noteGone(upstream, entries.map(({ask}) => ask));
			}
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
			entry.upstream = this.#ownCrashes?.upstreamOf(upstreamId);
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
