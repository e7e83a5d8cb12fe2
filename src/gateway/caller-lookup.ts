/**
 * Route and customer of a request, which its head states: a request that this refuses is refused before its body is read.
 */
import {type IncomingMessage} from 'node:http';
import {ErrorKind} from '../base/errors.js';
import {type CallHead} from './call-codec.js';
import {type Customer, type Route, type RoutingTable} from './routing-table.js';

/** Who sends a request, and where to. */
export type Caller = {
	readonly route: Route;
	readonly customer: Customer | undefined;
};

/** @returns Route and customer, or why the request is refused. */
export function findCaller(table: RoutingTable, req: IncomingMessage, head: CallHead | undefined): Caller | ErrorKind {
	if (head === undefined) {
		return ErrorKind.MalformedRequest;
	}

	const route = table.findRoute(head.host, req.url!);
	if (route === undefined) {
		return ErrorKind.NotFound;
	}

	const customer = head.apiKey === undefined ? undefined : table.findCustomer(head.apiKey);
	if (table.configuration.hasCustomers && !route.isPublic && customer === undefined) {
		return ErrorKind.Unauthenticated;
	}

	return {route, customer};
}
