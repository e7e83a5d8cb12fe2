/**
 * Metrics by customer, where customers share scarce room. Customers beyond a fixed number are counted together, so that the
 * number of time series stays bounded.
 */
import {Counter, Gauge, type Registry} from 'prom-client';
import {type ErrorKind} from './errors.js';

/** Number of customers with a label of their own, in the order in which they were first counted. */
const MAX_LABELS = 64;
/** Label of all further customers, and of requests without a customer. */
const OTHER_LABEL = 'other';
const MS_PER_SECOND = 1000;

/** What each customer got and was refused, as the allocator of this VM decided. */
export class CustomerMetrics {
	static create(registry: Registry): CustomerMetrics {
		return new CustomerMetrics(registry);
	}

	/** Returns the number of waiting requests by customer; called at each scrape. */
	readWaiting: (() => ReadonlyMap<string, number>) | undefined;
	readonly #labels = new Set<string>();
	readonly #serviceSeconds: Counter<'customer'>;
	readonly #refusals: Counter<'customer' | 'kind'>;
	readonly #returns: Counter<'customer'>;

	private constructor(registry: Registry) {
		const registers = [registry];
		this.#serviceSeconds = new Counter({
			name: 'redwingspool_customer_service_seconds_total', help: 'Expected service time of granted places, by customer.', labelNames: ['customer'], registers,
		});
		this.#refusals = new Counter({
			name: 'redwingspool_customer_refusals_total', help: 'Refused place requests, by customer and error kind.', labelNames: ['customer', 'kind'], registers,
		});
		this.#returns = new Counter({
			name: 'redwingspool_customer_invited_returns_total', help: 'Refusals with a return that was planned, by customer.', labelNames: ['customer'], registers,
		});
		const collect = (gauge: Gauge<'customer'>) => {
			this.#collectWaiting(gauge);
		};

		// eslint-disable-next-line no-new -- the constructor registers the metric
		new Gauge({
			name: 'redwingspool_customer_waiting', help: 'Requests that wait for a place, by customer.', labelNames: ['customer'], registers, collect() {
				collect(this);
			},
		});
	}

	/** @param serviceMs - Expected service time of the request. */
	countGrant(customer: string | undefined, serviceMs: number): void {
		this.#serviceSeconds.inc({customer: this.#labelOf(customer)}, serviceMs / MS_PER_SECOND);
	}

	/** @param isInvited - Whether the return of the caller was planned. */
	countRefusal(customer: string | undefined, kind: ErrorKind, isInvited: boolean): void {
		const label = this.#labelOf(customer);
		this.#refusals.inc({customer: label, kind});
		if (isInvited) {
			this.#returns.inc({customer: label});
		}
	}

	#collectWaiting(gauge: Gauge<'customer'>): void {
		gauge.reset();
		for (const [customer, count] of this.readWaiting?.() ?? []) {
			gauge.inc({customer: this.#labelOf(customer)}, count);
		}
	}

	#labelOf(customer: string | undefined): string {
		if (customer === undefined || customer === '') {
			return OTHER_LABEL;
		}

		if (this.#labels.size < MAX_LABELS) {
			this.#labels.add(customer);
		}

		return this.#labels.has(customer) ? customer : OTHER_LABEL;
	}
}
