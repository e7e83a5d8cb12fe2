/**
 * A part of the program with a life of its own, run under a supervisor.
 */
export abstract class Part {
	/** Unique among the parts of one supervisor. */
	abstract readonly name: string;

	/**
	 * Takes no new work and finishes what is in flight. Parts without work of their own need not override it.
	 */
	async drain(): Promise<void> {
		// Nothing in flight.
	}

	/**
	 * Starts the part. Resolves once it works.
	 *
	 * @param onFailure - Called when the part fails after its start; its supervisor then restarts it alone.
	 */
	abstract start(onFailure: (err: Error) => void): Promise<void>;

	/** Releases everything. Called after `drain` on a planned stop, and before a restart. */
	abstract stop(): Promise<void>;
}
