/**
 * Start-time fair queueing (SFQ) across the customers of one tier.
 */
import {Heap} from 'heap-js';
import {type Work} from './scheduler.js';

type Entry = {
	readonly work: Work;
	readonly startTag: number;
};

type Flow = {
	readonly customer: string;
	entries: Entry[];
	lastFinishTag: number;
};

type Head = {
	readonly flow: Flow;
	readonly entry: Entry;
};

/** Number of flows from which idle ones are evicted once virtual time has passed their finish tag. */
const MAX_IDLE_FLOWS = 1024;

/** Orders customers by the cost of the service they received, divided by their weight. */
export class FairQueue {
	static create(): FairQueue {
		return new FairQueue();
	}

	readonly #flows = new Map<string, Flow>();
	readonly #heads = new Heap<Head>((a, b) => a.entry.startTag - b.entry.startTag);
	#virtualTime = 0;
	#size = 0;

	private constructor() {
		// Instances come from `create`.
	}

	get size(): number {
		return this.#size;
	}

	/** @param cost - Estimated cost in token units. */
	push(work: Work, cost: number): void {
		const flow = this.#getFlow(work.customer);
		const startTag = Math.max(this.#virtualTime, flow.lastFinishTag);
		const entry = {work, startTag};
		flow.lastFinishTag = startTag + (cost / work.customerWeight);
		flow.entries.push(entry);
		this.#size += 1;
		if (flow.entries.length === 1) {
			this.#heads.push({flow, entry});
		}
	}

	/**
	 * Lists candidates to start next, in fair order, without removing them.
	 *
	 * @param customers - Maximum number of customers to consider.
	 * @param depth - Maximum number of candidates per customer.
	 */
	next(customers: number, depth: number): Work[] {
		const candidates: Work[] = [];
		const visited: Head[] = [];
		while (visited.length < customers) {
			const head = this.#popHead();
			if (head === undefined) {
				break;
			}

			visited.push(head);
			for (const entry of head.flow.entries.slice(0, depth)) {
				candidates.push(entry.work);
			}
		}

		for (const head of visited) {
			this.#heads.push(head);
		}

		return candidates;
	}

	/** Removes work that is about to start and advances virtual time to its start tag. */
	dequeue(work: Work): boolean {
		const entry = this.#remove(work);
		if (entry !== undefined) {
			this.#virtualTime = Math.max(this.#virtualTime, entry.startTag);
		}

		return entry !== undefined;
	}

	/** Removes work that will not start and refunds its cost to the customer. */
	drop(work: Work, cost: number): boolean {
		const isPresent = this.#remove(work) !== undefined;
		if (isPresent) {
			this.adjustCost(work, -cost);
		}

		return isPresent;
	}

	/** @returns The most recent work of the customer that is furthest ahead of its fair share. */
	findShedCandidate(): Work | undefined {
		let furthestAhead: Flow | undefined;
		for (const flow of this.#flows.values()) {
			if (flow.entries.length > 0 && (furthestAhead === undefined || flow.lastFinishTag > furthestAhead.lastFinishTag)) {
				furthestAhead = flow;
			}
		}

		return furthestAhead?.entries.at(-1)?.work;
	}

	/** Charges the customer the difference between actual and estimated cost. */
	adjustCost(work: Work, costDifference: number): void {
		const flow = this.#flows.get(work.customer);
		if (flow !== undefined) {
			flow.lastFinishTag = Math.max(this.#virtualTime, flow.lastFinishTag + (costDifference / work.customerWeight));
		}
	}

	#getFlow(customer: string): Flow {
		let flow = this.#flows.get(customer);
		if (flow === undefined) {
			this.#evictIdleFlows();
			flow = {customer, entries: [], lastFinishTag: 0};
			this.#flows.set(customer, flow);
		}

		return flow;
	}

	#remove(work: Work): Entry | undefined {
		const flow = this.#flows.get(work.customer);
		const index = flow?.entries.findIndex(entry => entry.work.id === work.id) ?? -1;
		if (flow === undefined || index === -1) {
			return undefined;
		}

		const [entry] = flow.entries.splice(index, 1);
		this.#size -= 1;
		if (index === 0 && flow.entries.length > 0) {
			this.#heads.push({flow, entry: flow.entries[0]!});
		}

		return entry;
	}

	/** Pops the next valid head. Heads whose work left the queue are removed lazily here. */
	#popHead(): Head | undefined {
		for (;;) {
			const head = this.#heads.pop();
			if (head === undefined || head.flow.entries[0] === head.entry) {
				return head;
			}
		}
	}

	#evictIdleFlows(): void {
		if (this.#flows.size < MAX_IDLE_FLOWS) {
			return;
		}

		for (const [customer, flow] of this.#flows) {
			if (flow.entries.length === 0 && flow.lastFinishTag <= this.#virtualTime) {
				this.#flows.delete(customer);
			}
		}
	}
}
