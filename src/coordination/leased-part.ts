/**
 * Periodic work that runs on one node at a time under a lease, such as placement and garbage collection.
 */
import {type Clock} from '../base/clock.js';
import {Part} from '../supervisor/part.js';
import {type Lease} from './lease.js';
import {LeaseKeeper} from './lease-keeper.js';

/** Options of a part that runs under a lease. */
export type LeasedPartOptions = {
	readonly name: string;
	readonly clock: Clock;
	readonly lease: Lease;
	/** Pause between two rounds, in ms. */
	readonly intervalMs: number;
	/** Performs one round of work; called only while the lease is held, and never concurrently. */
	readonly round: () => Promise<unknown>;
};

/** Runs rounds while the lease is held. If a round throws, the part fails and its supervisor restarts it. */
export class LeasedPart extends Part {
	static create(options: LeasedPartOptions): LeasedPart {
		return new LeasedPart(options);
	}

	readonly name: string;
	readonly #options: LeasedPartOptions;
	#keeper: LeaseKeeper | undefined;
	#stopping = new AbortController();
	#loop: Promise<void> | undefined;

	private constructor(options: LeasedPartOptions) {
		super();
		this.name = options.name;
		this.#options = options;
	}

	async start(onFailure: (err: Error) => void): Promise<void> {
		const {lease, clock} = this.#options;
		this.#stopping = new AbortController();
		this.#keeper = LeaseKeeper.create(lease, clock, {
			onAcquired() {
				// The loop checks the lease before each round.
			},
			onLost() {
				// The loop checks the lease before each round.
			},
			onFailure,
		});
		this.#keeper.start();
		this.#loop = this.#runLoop(onFailure);
	}

	/** Stops the loop and releases the lease, so that another node can take over immediately. */
	override async drain(): Promise<void> {
		this.#stopping.abort();
		await this.#loop;
		await this.#keeper?.stop();
	}

	async stop(): Promise<void> {
		await this.drain();
	}

	async #runLoop(onFailure: (err: Error) => void): Promise<void> {
		const {clock, lease, intervalMs, round} = this.#options;
		try {
			while (!this.#stopping.signal.aborted) {
				if (lease.fencingNumber !== undefined) {
					// eslint-disable-next-line no-await-in-loop
					await round();
				}

				// eslint-disable-next-line no-await-in-loop
				await clock.sleep(intervalMs, this.#stopping.signal);
			}
		} catch (err) {
			onFailure(err as Error);
		}
	}
}
