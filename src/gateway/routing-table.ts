/**
 * The configuration in force as the request path uses it: routes, customers and limits, with look-ups that cost a
 * request no scan over all of them.
 */

/** What may be repeated when the outcome of an attempt is unknown. */
export const Operation = {
	/** Runs at most once for each request. */
	Unsafe: 'unsafe',
	/** May run more than once. */
	Safe: 'safe',
	/** Answers with a stream of events; runs at most once unless the route allows resuming. */
	Stream: 'stream',
} as const;

export type Operation = (typeof Operation)[keyof typeof Operation];

/** A pool that gets a part of a route's requests. */
export type Target = {
	readonly pool: string;
	/** Relative to the other targets of the route. */
	readonly weight: number;
};

/** A route as the operators declared it. Durations in ms. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly operation: Operation;
	/** Longest time that a request may be kept waiting for its whole answer. */
	readonly timeoutMs: number;
	/** Response-time objective: whole answer, or first event of a stream. */
	readonly objectiveMs: number;
	/** 0 is the most important. */
	readonly rank: number;
	readonly targets: readonly Target[];
	/** Greatest number of upstreams that one request may be sent to. */
	readonly maxAttempts: number;
	/** Needs no API key. */
	readonly isPublic: boolean;
	/** A broken stream may go on at another upstream after its last event. */
	readonly isResumable: boolean;
	/** Longest pause between two events of a stream that is still on time; `undefined` for other operations. */
	readonly maxPauseMs: number | undefined;
};

/** A bound on what a customer may send, over all VMs. */
export type Quota = {
	readonly perSecond: number;
	readonly burst: number;
	/** Whether requests count by their tokens instead of one each. */
	readonly isInTokens: boolean;
	/** Tokens of a request that states none. */
	readonly plainTokens: number;
};

/** A customer of the deployment. */
export type Customer = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	/** Goes before the rank of the route; `undefined` where the operators set none. */
	readonly rank: number | undefined;
	readonly quota: Quota | undefined;
};

/** A service as the operators declared it. */
export type PoolSettings = {
	readonly name: string;
	/** Requests that an engine of this pool batches; `undefined` where only its list entry tells. */
	readonly slots: number | undefined;
	/** Greatest number of connections to one upstream over all VMs. */
	readonly maxConnections: number;
	readonly isEngine: boolean;
	/** Tokens in one event of a stream; 1 for plain services. */
	readonly tokensPerEvent: number;
};

/** What a caller may send. */
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
	/** Whether requests need the key of a customer. */
	readonly hasCustomers: boolean;
};

/** Look-ups in one version of the configuration. */
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
	 * @param target - Path with its query.
	 * @returns The route with the longest prefix of the path.
	 */
	routeOf(host: string, target: string): Route | undefined {
		const routes = this.#routesByHost.get(withoutPort(host));
		if (routes === undefined) {
			return undefined;
		}

		const queryAt = target.indexOf('?');
		const path = queryAt === -1 ? target : target.slice(0, queryAt);
		for (let end = path.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
			const route = routes.get(path.slice(0, end + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}

	customerOf(apiKey: string): Customer | undefined {
		return this.#customersByKey.get(apiKey);
	}

	pool(name: string): PoolSettings | undefined {
		return this.#poolsByName.get(name);
	}
}

/**
 * @param roll - A random number in [0, 1).
 * @returns One of the targets, by weight.
 */
export function pickTarget(targets: readonly Target[], roll: number): Target | undefined {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let rest = roll * total;
	for (const target of targets) {
		rest -= target.weight;
		if (rest < 0) {
			return target;
		}
	}

	return targets.findLast(target => target.weight > 0);
}

function withoutPort(host: string): string {
	const colonAt = host.lastIndexOf(':');
	return (colonAt === -1 ? host : host.slice(0, colonAt)).toLowerCase();
}
