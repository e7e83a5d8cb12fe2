/**
 * A component of the program with its own lifecycle, run under a supervisor.
 */
export abstract class Part {
	/** Unique among the parts of one supervisor. */
	abstract readonly name: string;

	/**
	 * Stops accepting new work and completes the work in flight. Parts without such work need not override this method.
	 */
	async drain(): Promise<void> {
		// Nothing in flight.
	}

	/**
	 * Starts the part. Resolves once the part is operational.
	 *
	 * @param onFailure - Called when the part fails after its start; its supervisor then restarts only this part.
	 */
	abstract start(onFailure: (err: Error) => void): Promise<void>;

	/** Releases all resources. Called after `drain` in a planned stop, and before a restart. */
	abstract stop(): Promise<void>;
}
