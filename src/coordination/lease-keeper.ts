/**
 * Acquires a lease whenever it is free and renews it while it is held.
 */
import {type Clock} from '../base/clock.js';
import {type Lease} from './lease.js';

/** What the owner of a keeper does with the lease. */
export type LeaseEvents = {
	/** The lease is held from now on; a new holding has a greater fencing number. */
	readonly onAcquired: (fencingNumber: number) => void;
	/** The lease is no longer held. Orders must be checked against `Lease.fencingNumber` all the same. */
	readonly onLost: () => void;
	/** The keeper ended by an exception, which is a bug; the lease lapses. */
	readonly onFailure: (err: Error) => void;
};

/** Renewals in one lifetime of a lease. */
const RENEWALS_PER_TTL = 4;
const RELEASE_TIMEOUT_MS = 1000;

/** Keeps one lease. */
export class LeaseKeeper {
	static create(lease: Lease, clock: Clock, events: LeaseEvents): LeaseKeeper {
		return new LeaseKeeper(lease, clock, events);
	}

	readonly #lease: Lease;
	readonly #clock: Clock;
	readonly #events: LeaseEvents;
	readonly #stopping = new AbortController();
	#work: Promise<void> | undefined;

	private constructor(lease: Lease, clock: Clock, events: LeaseEvents) {
		this.#lease = lease;
		this.#clock = clock;
		this.#events = events;
	}

	start(): void {
		this.#work ??= this.#runGuarded();
	}

	/** Stops and releases the lease. */
	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.#work;
		await this.#lease.release(RELEASE_TIMEOUT_MS);
	}

	async #runGuarded(): Promise<void> {
		try {
			await this.#run();
		} catch (err) {
			this.#lease.invalidate();
			this.#events.onFailure(err as Error);
		}
	}

	async #run(): Promise<void> {
		const intervalMs = this.#lease.times.ttlMs / RENEWALS_PER_TTL;
		let isHeld = false;
		while (!this.#stopping.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const holdsNow: boolean = isHeld ? await this.#lease.renew() : await this.#lease.tryAcquire();
			if (holdsNow !== isHeld) {
				isHeld = holdsNow;
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
