/**
 * Divides the room of a pool between customers by start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996): each request
 * gets a virtual start time, which is the later of the virtual time and the virtual end of the customer's previous request.
 * A customer that sends more than its share moves ahead of the virtual time and waits behind the others; an idle customer
 * starts at the virtual time, so that it accumulates no credit. Virtual times are kept per rank, as requests of different
 * ranks are never compared by their shares.
 */
import {type Customer, type Quota} from '../gateway/routing-table.js';
import {type PlaceRequest} from './allocation.js';

/**
 * Requests whose virtual start times lie within the same quantum are served by earliest objective, in ms of service time at
 * weight 1. About one request: a longer quantum lets a hot customer send several requests before others get one.
 */
const QUANTUM_MS = 500;
/** Bounds of a customer's weight relative to the mean; a customer with a very small quota still gets a place now and then. */
const WEIGHT_BOUNDS = {min: 0.05, max: 20} as const;
/** Weight of a new request in the mean service time per unit of quota. */
const UNIT_SAMPLE_WEIGHT = 0.02;
/** Number of customers whose virtual end times are kept per rank before those that have passed are removed. */
const MAX_TRACKED_ENDS = 256;

/** Place of a request in the virtual time of its rank. */
type Tag = {
	readonly rank: number;
	readonly customer: string;
	readonly start: number;
	readonly length: number;
};

/** Virtual time of one rank, in ms of service time at weight 1. */
type RankTime = {
	now: number;
	/** Virtual end of each customer's last request. */
	readonly ends: Map<string, number>;
};

/** What one unit of a quota stands for. */
type QuotaUnit = {
	/** Mean service time of one unit, in ms. */
	msPerUnit: number;
	isKnown: boolean;
	/** Sum of all customers' quotas in this unit, per second. */
	perSecond: number;
};

/** The virtual times of one pool. */
export class FairShares {
	static create(): FairShares {
		return new FairShares();
	}

	readonly #ranks = new Map<number, RankTime>();
	readonly #tags = new Map<string, Tag>();
	readonly #customers = new Map<string, Customer>();
	readonly #requestUnit: QuotaUnit = {msPerUnit: 1, isKnown: false, perSecond: 0};
	readonly #tokenUnit: QuotaUnit = {msPerUnit: 1, isKnown: false, perSecond: 0};
	#quotaCount = 0;

	private constructor() {
		// Instances come from `create`.
	}

	setCustomers(customers: readonly Customer[]): void {
		this.#customers.clear();
		this.#requestUnit.perSecond = 0;
		this.#tokenUnit.perSecond = 0;
		this.#quotaCount = 0;
		for (const customer of customers) {
			this.#customers.set(customer.name, customer);
			if (customer.quota !== undefined) {
				this.#unitOf(customer.quota).perSecond += customer.quota.perSecond;
				this.#quotaCount += 1;
			}
		}
	}

	/** Forgets all requests; the customers' virtual times start equal. */
	clear(): void {
		this.#ranks.clear();
		this.#tags.clear();
	}

	/** @returns The customer's weight: its quota relative to the mean, or 1 if it has none. */
	weightOf(customer: string | undefined): number {
		const quotaMs = this.#quotaMs(customer);
		if (quotaMs === undefined || quotaMs === 0) {
			return 1;
		}

		const meanMs = ((this.#requestUnit.perSecond * this.#requestUnit.msPerUnit) + (this.#tokenUnit.perSecond * this.#tokenUnit.msPerUnit)) / this.#quotaCount;
		return Math.min(WEIGHT_BOUNDS.max, Math.max(WEIGHT_BOUNDS.min, quotaMs / meanMs));
	}

	/** @returns How far the next request of the customer starts ahead of the virtual time, in virtual ms; 0 for a customer within its share. */
	leadMs({rank, customer}: PlaceRequest): number {
		const time = this.#ranks.get(rank);
		return time === undefined ? 0 : Math.max(0, (time.ends.get(customer ?? '') ?? 0) - time.now);
	}

	/** @returns Where the customer's next request stands in the order of its rank; lower values are served first. */
	nextKey(ask: PlaceRequest): number {
		return quantumOf((this.#ranks.get(ask.rank)?.now ?? 0) + this.leadMs(ask));
	}

	/** Charges a request to its customer when it starts to wait, and fixes its place in the order. */
	add(ask: PlaceRequest, serviceMs: number): void {
		this.remove(ask.id);
		this.#learnUnit(ask, serviceMs);
		const time = this.#timeOf(ask.rank);
		const customer = ask.customer ?? '';
		// A request that an earlier attempt has already waited for does not wait behind the customer's later ones.
		const start = ask.attempt > 1 || ask.isContinuation ? time.now : time.now + this.leadMs(ask);
		const length = ask.isCharged ? 0 : serviceMs / this.weightOf(ask.customer);
		time.ends.set(customer, Math.max(time.ends.get(customer) ?? 0, time.now) + length);
		this.#tags.set(ask.id, {
			rank: ask.rank, customer, start, length,
		});
	}

	/** @returns The place of a waiting request in the order of its rank, in quanta; lower values are served first. */
	keyOf(id: string): number {
		const tag = this.#tags.get(id);
		return tag === undefined ? 0 : quantumOf(tag.start);
	}

	/** Advances the virtual time to the start of a request that got a place. */
	noteGrant(id: string): void {
		const tag = this.#tags.get(id);
		if (tag !== undefined) {
			this.#tags.delete(id);
			const time = this.#timeOf(tag.rank);
			time.now = Math.max(time.now, tag.start);
			forgetPassed(time);
		}
	}

	/** Removes a request that got no place, and takes back its charge. */
	remove(id: string): void {
		const tag = this.#tags.get(id);
		if (tag !== undefined) {
			this.#tags.delete(id);
			const {ends} = this.#timeOf(tag.rank);
			ends.set(tag.customer, (ends.get(tag.customer) ?? 0) - tag.length);
		}
	}

	#timeOf(rank: number): RankTime {
		let time = this.#ranks.get(rank);
		if (time === undefined) {
			time = {now: 0, ends: new Map()};
			this.#ranks.set(rank, time);
		}

		return time;
	}

	/** Quotas count requests or tokens; both are compared by the service time that they stand for in this pool. */
	#learnUnit({customer, quotaCost}: PlaceRequest, serviceMs: number): void {
		const quota = customer === undefined ? undefined : this.#customers.get(customer)?.quota;
		if (quota === undefined || quotaCost <= 0) {
			return;
		}

		const unit = this.#unitOf(quota);
		const observed = serviceMs / quotaCost;
		unit.msPerUnit = unit.isKnown ? unit.msPerUnit + (UNIT_SAMPLE_WEIGHT * (observed - unit.msPerUnit)) : observed;
		unit.isKnown = true;
	}

	/** @returns Service time per second that the customer's quota allows; `undefined` if it has none. */
	#quotaMs(customer: string | undefined): number | undefined {
		const quota = customer === undefined ? undefined : this.#customers.get(customer)?.quota;
		return quota && (quota.perSecond * this.#unitOf(quota).msPerUnit);
	}

	#unitOf({isInTokens}: Quota): QuotaUnit {
		return isInTokens ? this.#tokenUnit : this.#requestUnit;
	}
}

function quantumOf(start: number): number {
	return Math.floor(start / QUANTUM_MS);
}

/** Removes ends that have passed, which are equivalent to none, once there are many. */
function forgetPassed({now, ends}: RankTime): void {
	if (ends.size > MAX_TRACKED_ENDS) {
		for (const [customer, end] of ends) {
			if (end <= now) {
				ends.delete(customer);
			}
		}
	}
}
