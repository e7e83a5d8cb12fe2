/**
 * Which VMs know the present state of the roll-outs: those with a link have to acknowledge it. A VM that lost its link may
 * still act on an earlier state, until it reads the present one from the store and its requests have reached their deadlines.
 */

/**
 * Time after the loss of a link until the VM acts on what the store records or gets no requests, in ms. It notices the loss
 * within 700 ms, watches the store after another 700 ms, and a call to the store takes at most 1,000 ms.
 */
export const LOST_VM_LAPSE_MS = 3000;

/** The VMs of the deployment, as the leader sees them. Times in ms of its monotonic clock. */
export class InformedVms {
	static create(): InformedVms {
		return new InformedVms();
	}

	/** Latest state that each linked VM acknowledged, by its name. */
	readonly #acknowledged = new Map<string, number>();
	/** When what a lost VM may do ends, by its name. */
	readonly #lapsesAt = new Map<string, number>();

	private constructor() {
		// Instances come from `create`.
	}

	/** @param others - Names of the other VMs that are known when this VM becomes the leader. */
	reset(others: readonly string[], now: number): void {
		this.#acknowledged.clear();
		this.#lapsesAt.clear();
		for (const name of others) {
			this.#lapsesAt.set(name, now + LOST_VM_LAPSE_MS);
		}
	}

	noteLinked(name: string): void {
		this.#lapsesAt.delete(name);
		this.#acknowledged.set(name, -1);
	}

	noteAcknowledged(name: string, revision: number): void {
		const before = this.#acknowledged.get(name);
		if (before !== undefined) {
			this.#acknowledged.set(name, Math.max(before, revision));
		}
	}

	/** @param remainingMs - Time until the last request that it held a place for reaches its deadline, in ms. */
	noteLost(name: string, remainingMs: number, now: number): void {
		this.#acknowledged.delete(name);
		this.#lapsesAt.set(name, now + Math.max(LOST_VM_LAPSE_MS, remainingMs));
	}

	/** @returns Whether no VM can still act on a state before `revision`. */
	areInformed(revision: number, now: number): boolean {
		return [...this.#acknowledged.values()].every(acknowledged => acknowledged >= revision)
			&& [...this.#lapsesAt.values()].every(lapsesAt => lapsesAt <= now);
	}
}
