/**
 * Start-time fair queueing between the customers of one tier.
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
	lastFinish: number;
};

type Head = {
	readonly flow: Flow;
	readonly entry: Entry;
};

/** Idle customers beyond this number are forgotten once virtual time has passed them. */
const MAX_IDLE_FLOWS = 1024;

/** A queue that orders customers by the cost they have received per weight. */
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
		const flow = this.#flowOf(work.customer);
		const startTag = Math.max(this.#virtualTime, flow.lastFinish);
		const entry = {work, startTag};
		flow.lastFinish = startTag + (cost / work.customerWeight);
		flow.entries.push(entry);
		this.#size += 1;
		if (flow.entries.length === 1) {
			this.#heads.push({flow, entry});
		}
	}

	/**
	 * Lists the works that may start next, in fair order.
	 *
	 * @param customers - Greatest number of customers to look at.
	 * @param depth - Greatest number of works of each customer.
	 */
	next(customers: number, depth: number): Work[] {
		const works: Work[] = [];
		const seen: Head[] = [];
		while (seen.length < customers) {
			const head = this.#popHead();
			if (head === undefined) {
				break;
			}

			seen.push(head);
			for (const entry of head.flow.entries.slice(0, depth)) {
				works.push(entry.work);
			}
		}

		for (const head of seen) {
			this.#heads.push(head);
		}

		return works;
	}

	/** Takes work out to start it; virtual time moves to its start tag. */
	take(work: Work): boolean {
		const entry = this.#remove(work);
		if (entry !== undefined) {
			this.#virtualTime = Math.max(this.#virtualTime, entry.startTag);
		}

		return entry !== undefined;
	}

	/** Takes work out that will not start; its customer is not charged. */
	drop(work: Work, cost: number): boolean {
		const isPresent = this.#remove(work) !== undefined;
		if (isPresent) {
			this.correct(work, -cost);
		}

		return isPresent;
	}

	/** @returns The newest work of the customer that is furthest ahead of its fair share. */
	leastEntitled(): Work | undefined {
		let worst: Flow | undefined;
		for (const flow of this.#flows.values()) {
			if (flow.entries.length > 0 && (worst === undefined || flow.lastFinish > worst.lastFinish)) {
				worst = flow;
			}
		}

		return worst?.entries.at(-1)?.work;
	}

	/** Charges a customer the difference between the actual and the estimated cost. */
	correct(work: Work, costDifference: number): void {
		const flow = this.#flows.get(work.customer);
		if (flow !== undefined) {
			flow.lastFinish = Math.max(this.#virtualTime, flow.lastFinish + (costDifference / work.customerWeight));
		}
	}

	#flowOf(customer: string): Flow {
		let flow = this.#flows.get(customer);
		if (flow === undefined) {
			this.#forgetIdle();
			flow = {customer, entries: [], lastFinish: 0};
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

	/** Heads whose work has left the queue stay in the heap until they surface here. */
	#popHead(): Head | undefined {
		for (;;) {
			const head = this.#heads.pop();
			if (head === undefined || head.flow.entries[0] === head.entry) {
				return head;
			}
		}
	}

	#forgetIdle(): void {
		if (this.#flows.size < MAX_IDLE_FLOWS) {
			return;
		}

		for (const [customer, flow] of this.#flows) {
			if (flow.entries.length === 0 && flow.lastFinish <= this.#virtualTime) {
				this.#flows.delete(customer);
			}
		}
	}
}
