/**
 * Metrics of the requests that this VM sends to other data centres, by pair of data centres. Only data centres of the
 * settings have a time series, so that their number stays bounded.
 */
import {Counter, type Registry} from 'prom-client';

type Traffic = {
	requests: number;
	requestBytes: number;
	responseBytes: number;
};

/** Traffic of this VM's data centre with each other one. */
export class DataCentreMetrics {
	static create(registry: Registry): DataCentreMetrics {
		return new DataCentreMetrics(registry);
	}

	#home = '';
	/** Summed here, and copied at each scrape: incrementing a labelled counter for each chunk of a stream costs more. */
	readonly #traffic = new Map<string, Traffic>();

	private constructor(registry: Registry) {
		const registers = [registry];
		const collectRequests = (counter: Counter<'from' | 'to'>) => {
			for (const [to, {requests}] of this.#traffic) {
				counter.inc({from: this.#home, to}, requests);
			}
		};

		const collectBytes = (counter: Counter<'from' | 'to' | 'direction'>) => {
			for (const [to, {requestBytes, responseBytes}] of this.#traffic) {
				counter.inc({from: this.#home, to, direction: 'request'}, requestBytes);
				counter.inc({from: this.#home, to, direction: 'response'}, responseBytes);
			}
		};

		// eslint-disable-next-line no-new -- the constructor registers the metric
		new Counter({
			name: 'redwingspool_data_centre_requests_total',
			help: 'Requests sent to upstreams of other data centres, by pair of data centres.',
			labelNames: ['from', 'to'],
			registers,
			collect() {
				this.reset();
				collectRequests(this);
			},
		});
		// eslint-disable-next-line no-new -- the constructor registers the metric
		new Counter({
			name: 'redwingspool_data_centre_bytes_total',
			help: 'Bytes of the bodies of these requests and of their responses, by pair of data centres and direction.',
			labelNames: ['from', 'to', 'direction'],
			registers,
			collect() {
				this.reset();
				collectBytes(this);
			},
		});
	}

	/**
	 * Sets the pairs that are counted.
	 *
	 * @param home - Data centre of this VM.
	 * @param known - All data centres of the settings.
	 */
	setKnown(home: string, known: readonly string[]): void {
		this.#home = home;
		for (const dataCentre of known) {
			if (dataCentre !== home && !this.#traffic.has(dataCentre)) {
				this.#traffic.set(dataCentre, {requests: 0, requestBytes: 0, responseBytes: 0});
			}
		}
	}

	/**
	 * Counts a request when its first byte is sent; a retry counts again. Traffic within the data centre, or with an unknown
	 * one, is not counted.
	 */
	countRequest(dataCentre: string, bodyBytes: number): void {
		const traffic = this.#traffic.get(dataCentre);
		if (traffic !== undefined) {
			traffic.requests += 1;
			traffic.requestBytes += bodyBytes;
		}
	}

	/** Counts a part of the body of a response as it is received. */
	countResponse(dataCentre: string, bytes: number): void {
		const traffic = this.#traffic.get(dataCentre);
		if (traffic !== undefined) {
			traffic.responseBytes += bytes;
		}
	}
}
