/**
 * Filtering of hop-by-hop headers, which must not be forwarded.
 */
import {isHeaderName} from '../base/header-text.js';
import {type UpstreamHeaders} from '../upstream/exchange.js';

/** Hop-by-hop headers of RFC 9110 section 7.6.1. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** @returns Lower-case names of the headers that a message's Connection header declares as hop-by-hop. */
export function parseConnectionOptions(connection: string | string[] | undefined): ReadonlySet<string> {
	const names = connection?.toString().split(',') ?? [];
	return new Set(names.map(name => name.trim().toLowerCase()));
}

/**
 * @param headers - Received headers, with names in lower case.
 * @param additionalExclusions - Names of further headers to remove, in lower case.
 * @returns The headers to forward. Those with names that no message can have are left out; a parser may read them all the same.
 */
export function endToEndHeaders(headers: UpstreamHeaders, additionalExclusions: readonly string[] = []): UpstreamHeaders {
	const {connection} = headers;
	// Fast path: most upstreams send only one of these two options, neither of which requires parsing.
	const connectionOptions = connection === undefined || connection === 'keep-alive' || connection === 'close' ? undefined : parseConnectionOptions(connection);
	const forwarded: Record<string, string | string[]> = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && isHeaderName(name) && !hopByHopHeaders.has(name) && !connectionOptions?.has(name) && !additionalExclusions.includes(name)) {
			forwarded[name] = value;
		}
	}

	return forwarded;
}
