/**
 * Work that one node at a time does under a lease, such as placement and garbage collection.
 */
import {type Clock} from '../base/clock.js';
import {Part} from '../supervisor/part.js';
import {type Lease} from './lease.js';
import {LeaseKeeper} from './lease-keeper.js';

/** What a part under a lease is made of. */
export type LeasedPartOptions = {
	readonly name: string;
	readonly clock: Clock;
	readonly lease: Lease;
	/** Time between two rounds, in ms. */
	readonly intervalMs: number;
	/** One round of work; called only while the lease is held, and never twice at a time. */
	readonly round: () => Promise<unknown>;
};

/** Runs rounds while the lease is held. A round that throws fails the part, which its supervisor then restarts. */
export class LeasedPart extends Part {
	static create(options: LeasedPartOptions): LeasedPart {
		return new LeasedPart(options);
	}

	readonly name: string;
	readonly #options: LeasedPartOptions;
	#keeper: LeaseKeeper | undefined;
	#stopping = new AbortController();
	#work: Promise<void> | undefined;

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
				// The next round sees that the lease is held.
			},
			onLost() {
				// The next round sees that the lease has ended.
			},
			onFailure,
		});
		this.#keeper.start();
		this.#work = this.#run(onFailure);
	}

	/** Ends the rounds and releases the lease, so that another node goes on at once. */
	override async drain(): Promise<void> {
		this.#stopping.abort();
		await this.#work;
		await this.#keeper?.stop();
	}

	async stop(): Promise<void> {
		await this.drain();
	}

	async #run(onFailure: (err: Error) => void): Promise<void> {
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
