/**
 * Requests that each route of a pool got since the order, and which routes the canary prefers.
 */

/** Canary requests that each route gets with priority. */
const ROUTE_TARGET = 6;
/** Canary requests that a rare route gets with priority; about what a test needs to accept a version. */
const RARE_ROUTE_TARGET = 16;
/** Share of the pool's requests below which a route is rare. */
const RARE_ROUTE_SHARE = 0.2;
/** Routes that are told apart; requests of further ones have no priority and no tests of their own. */
export const MAX_ROUTES = 24;

/** Granted requests of one route. */
export type RouteCounts = {readonly granted: number; readonly candidateGranted: number};

/** Counts the granted requests of each route. */
export class CanaryRoutes {
	static create(): CanaryRoutes {
		return new CanaryRoutes();
	}

	readonly #counts = new Map<string, RouteCounts>();
	#requests = 0;
	#open: ReadonlySet<string> = new Set();

	/** Number of routes that still get canary requests with priority. */
	get missingRoutes(): number {
		let count = 0;
		for (const route of this.#counts.keys()) {
			count += this.isMissing(route) ? 1 : 0;
		}

		return count;
	}

	noteGranted(isCandidate: boolean, route: string): void {
		this.#requests += 1;
		if (this.#counts.has(route) || this.#counts.size < MAX_ROUTES) {
			const {granted, candidateGranted} = this.of(route);
			this.#counts.set(route, {granted: granted + 1, candidateGranted: candidateGranted + (isCandidate ? 1 : 0)});
		}
	}

	/** Sets the routes that lack evidence; they get canary requests before the others. */
	setOpen(routes: readonly string[]): void {
		this.#open = new Set(routes);
	}

	/** @returns Counts of a route; zero for one that is not told apart. */
	of(route: string): RouteCounts {
		return this.#counts.get(route) ?? {granted: 0, candidateGranted: 0};
	}

	/** @returns Whether the route still gets canary requests with priority. */
	isMissing(route: string): boolean {
		const counts = this.#counts.get(route);
		if (!counts) {
			return this.#counts.size < MAX_ROUTES;
		}

		const isRare = counts.granted < RARE_ROUTE_SHARE * this.#requests;
		return counts.candidateGranted < (isRare ? RARE_ROUTE_TARGET : ROUTE_TARGET);
	}

	/** @returns Whether other routes lack evidence, but this one does not. */
	isSettled(route: string): boolean {
		return this.#open.size > 0 && !this.#open.has(route);
	}
}
