/**
 * Acquires a lease when it is free and renews it while it is held.
 */
import {type Clock} from '../base/clock.js';
import {type Lease} from './lease.js';

/** Callbacks of a `LeaseKeeper`. */
export type LeaseEvents = {
	/** The lease was acquired; each acquisition has a greater fencing number. */
	readonly onAcquired: (fencingNumber: number) => void;
	/** The lease is no longer held. Orders must still be checked against `Lease.fencingNumber`. */
	readonly onLost: () => void;
	/** The keeper stopped on an exception, which is a bug; the lease expires. */
	readonly onFailure: (err: Error) => void;
};

/** Renewals within one ttl of a lease. */
const RENEWALS_PER_TTL = 4;
const RELEASE_TIMEOUT_MS = 1000;

/** Keeps one lease acquired while it runs. */
export class LeaseKeeper {
	static create(lease: Lease, clock: Clock, events: LeaseEvents): LeaseKeeper {
		return new LeaseKeeper(lease, clock, events);
	}

	readonly #lease: Lease;
	readonly #clock: Clock;
	readonly #events: LeaseEvents;
	readonly #stopping = new AbortController();
	#loop: Promise<void> | undefined;

	private constructor(lease: Lease, clock: Clock, events: LeaseEvents) {
		this.#lease = lease;
		this.#clock = clock;
		this.#events = events;
	}

	start(): void {
		this.#loop ??= this.#runLoopGuarded();
	}

	/** Stops the renewals and releases the lease. */
	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.#loop;
		await this.#lease.release(RELEASE_TIMEOUT_MS);
	}

	async #runLoopGuarded(): Promise<void> {
		try {
			await this.#runLoop();
		} catch (err) {
			this.#lease.invalidate();
			this.#events.onFailure(err as Error);
		}
	}

	async #runLoop(): Promise<void> {
		const intervalMs = this.#lease.times.ttlMs / RENEWALS_PER_TTL;
		let isHeld = false;
		while (!this.#stopping.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const isHeldNow: boolean = isHeld ? await this.#lease.renew() : await this.#lease.tryAcquire();
			if (isHeldNow !== isHeld) {
				isHeld = isHeldNow;
				this.#notify(isHeld);
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#clock.sleep(isHeld ? Math.min(intervalMs, this.#lease.remainingMs) : intervalMs, this.#stopping.signal);
		}
	}

	#notify(isHeld: boolean): void {
		const {fencingNumber} = this.#lease;
		if (isHeld && fencingNumber !== undefined) {
			this.#events.onAcquired(fencingNumber);
		} else {
			this.#events.onLost();
		}
	}
}
