/**
 * The request that an operator asks about, as the allocator would get it.
 */
import Result, {ok} from 'true-myth/result';
import {type PlaceRequest} from '../allocation/allocation.js';
import {UNKNOWN_CALL} from '../allocation/explanation.js';
import {combinedRank, quotaCost} from './call-attributes.js';
import {type RoutingTable} from './routing-table.js';
import {callerPatienceMs} from './stall-timeout.js';

/** A request to explain. */
export type ExplainQuery = {
	/** Name of the route. */
	readonly route: string;
	/** Name of the customer; `undefined` for a request without one. */
	readonly customer?: string;
	readonly promptTokens: number;
	/** Expected number of events of the response. */
	readonly outputEvents: number;
	readonly dataCentre: string;
	/** `undefined` for the service that gets most requests of the route. */
	readonly service?: string;
};

/**
 * @param regionOf - Region of a data centre; `undefined` if there is none of that name.
 * @returns The request, made at this time by a caller that states no time limit, or what is unknown of it.
 */
export function toPlaceRequest(query: ExplainQuery, {configuration}: RoutingTable, regionOf: (dataCentre: string) => string | undefined): Result<PlaceRequest, string> {
	const route = configuration.routes.find(({name}) => name === query.route);
	if (route === undefined) {
		return Result.err(`Unknown route '${query.route}'.`);
	}

	const customer = configuration.customers.find(({name}) => name === query.customer);
	if (customer === undefined && query.customer !== undefined) {
		return Result.err(`Unknown customer '${query.customer}'.`);
	}

	const target = route.targets.toSorted((a, b) => b.weight - a.weight).find(({pool: name}) => name === (query.service ?? name));
	if (target === undefined) {
		return Result.err(`The route '${route.name}' has no service '${query.service ?? ''}'.`);
	}

	const region = regionOf(query.dataCentre);
	if (region === undefined) {
		return Result.err(`Unknown data centre '${query.dataCentre}'.`);
	}

	const {promptTokens, outputEvents, dataCentre} = query;
	const settings = configuration.pools.find(({name}) => name === target.pool);
	const isGeneration = settings?.isEngine === true && promptTokens + outputEvents > 0;
	const maxOutputTokens = Math.ceil(outputEvents * (settings?.tokensPerEvent ?? 1));
	const generation = isGeneration ? {promptTokens, maxOutputTokens, expectedOutputTokens: maxOutputTokens} : undefined;
	return ok({
		...UNKNOWN_CALL,
		id: '',
		requestId: '',
		pool: target.pool,
		route: route.name,
		customer: customer?.name,
		rank: combinedRank(route, customer),
		operation: route.operation,
		promptTokens: isGeneration ? promptTokens : 0,
		outputEvents: isGeneration ? outputEvents : 0,
		maxOutputTokens: generation?.maxOutputTokens,
		quotaCost: quotaCost(customer?.quota, generation),
		objectiveMs: route.objectiveMs,
		remainingMs: route.timeoutMs,
		patienceMs: Math.min(route.timeoutMs, callerPatienceMs(route)),
		callerLeavesMs: route.timeoutMs,
		maxPauseMs: route.maxPauseMs ?? 0,
		dataCentre,
		region,
	});
}
