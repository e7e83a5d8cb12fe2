/**
 * The active configuration as the request path uses it: routes, customers and limits, indexed so that a request does not
 * scan all of them.
 */

/** Kind of operation, which decides whether a request is retried when the outcome of an attempt is unknown. */
export const Operation = {
	/** Runs at most once per request. */
	Unsafe: 'unsafe',
	/** May run more than once. */
	Safe: 'safe',
	/** Responds with an event stream; runs at most once unless the route allows resuming. */
	Stream: 'stream',
} as const;

export type Operation = (typeof Operation)[keyof typeof Operation];

/** A pool that receives a share of a route's requests. */
export type Target = {
	readonly pool: string;
	/** Relative to the other targets of the route. */
	readonly weight: number;
};

/** A route as declared by the operators. Durations in ms. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly prefix: string;
	readonly operation: Operation;
	/** Maximum time that a request may wait for its complete response. */
	readonly timeoutMs: number;
	/** Response-time objective: complete response, or first event of a stream. */
	readonly objectiveMs: number;
	/** 0 is the highest priority. */
	readonly rank: number;
	readonly targets: readonly Target[];
	/** Maximum number of upstreams that one request may be sent to. */
	readonly maxAttempts: number;
	/** Requires no API key. */
	readonly isPublic: boolean;
	/** An interrupted stream may resume at another upstream after its last event. */
	readonly isResumable: boolean;
	/** Longest pause between two events of a stream that counts as on time; `undefined` for other operations. */
	readonly maxPauseMs: number | undefined;
};

/** Limit on what a customer may send, across all VMs. */
export type Quota = {
	readonly perSecond: number;
	readonly burst: number;
	/** Whether requests are charged by their tokens instead of one unit each. */
	readonly isInTokens: boolean;
	/** Tokens charged for a request that states none. */
	readonly plainTokens: number;
};

/** A customer of the deployment. */
export type Customer = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	/** Takes precedence over the route's rank; `undefined` when the operators set none. */
	readonly rank: number | undefined;
	readonly quota: Quota | undefined;
};

/** A service as declared by the operators. */
export type PoolSettings = {
	readonly name: string;
	/** Number of requests that an engine of this pool batches; `undefined` when only its registry entry states it. */
	readonly slots: number | undefined;
	/** Maximum number of connections to one upstream, across all VMs. */
	readonly maxConnections: number;
	readonly isEngine: boolean;
	/** Tokens per stream event; 1 for plain services. */
	readonly tokensPerEvent: number;
	/** Tokens that an engine of this pool holds in memory, if stated. */
	readonly memoryTokens?: number;
};

/** Limits on callers' requests and connections. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the configuration. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly customers: readonly Customer[];
	readonly pools: readonly PoolSettings[];
	readonly limits: CallerLimits;
	/** Whether requests to non-public routes require a customer's API key. */
	readonly hasCustomers: boolean;
};

/** Indexes over one version of the configuration. */
export class RoutingTable {
	static create(configuration: Configuration): RoutingTable {
		return new RoutingTable(configuration);
	}

	readonly configuration: Configuration;
	readonly #routesByHost = new Map<string, Map<string, Route>>();
	readonly #customersByKey = new Map<string, Customer>();
	readonly #poolsByName: ReadonlyMap<string, PoolSettings>;

	private constructor(configuration: Configuration) {
		this.configuration = configuration;
		for (const route of configuration.routes) {
			const routes = this.#routesByHost.get(route.host) ?? new Map<string, Route>();
			routes.set(route.prefix, route);
			this.#routesByHost.set(route.host, routes);
		}

		for (const customer of configuration.customers) {
			for (const key of customer.apiKeys) {
				this.#customersByKey.set(key, customer);
			}
		}

		this.#poolsByName = new Map(configuration.pools.map(pool => [pool.name, pool]));
	}

	get version(): number {
		return this.configuration.version;
	}

	/**
	 * @param host - Host of the request; a port is ignored.
	 * @param target - Path and query.
	 * @returns The route with the longest matching path prefix.
	 */
	findRoute(host: string, target: string): Route | undefined {
		const routes = this.#routesByHost.get(stripPort(host));
		if (routes === undefined) {
			return undefined;
		}

		const queryIndex = target.indexOf('?');
		const path = queryIndex === -1 ? target : target.slice(0, queryIndex);
		for (let end = path.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = routes.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}

	findCustomer(apiKey: string): Customer | undefined {
		return this.#customersByKey.get(apiKey);
	}

	pool(name: string): PoolSettings | undefined {
		return this.#poolsByName.get(name);
	}
}

/**
 * @param random - A random number in [0, 1).
 * @returns One of the targets, chosen by weight.
 */
export function pickTarget(targets: readonly Target[], random: number): Target | undefined {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let remaining = random * total;
	for (const target of targets) {
		remaining -= target.weight;
		if (remaining < 0) {
			return target;
		}
	}

	return targets.findLast(target => target.weight > 0);
}

function stripPort(host: string): string {
	const colonIndex = host.lastIndexOf(':');
	return (colonIndex === -1 ? host : host.slice(0, colonIndex)).toLowerCase();
}
