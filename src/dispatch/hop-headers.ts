/**
 * Headers that end at this hop.
 */
import {type UpstreamHeaders} from '../upstream/exchange.js';

/** Hop-by-hop headers of RFC 9110 section 7.6.1. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** @returns Lower-case names of the headers that a message's own Connection header declares hop-by-hop. */
export function parseConnectionOptions(connection: string | string[] | undefined): ReadonlySet<string> {
	const names = connection?.toString().split(',') ?? [];
	return new Set(names.map(name => name.trim().toLowerCase()));
}

/**
 * @param headers - Headers as they were received, names in lower case.
 * @param alsoWithheld - Further names that are not passed on.
 * @returns The headers that are passed on.
 */
export function endToEndHeaders(headers: UpstreamHeaders, alsoWithheld: readonly string[] = []): UpstreamHeaders {
	const {connection} = headers;
	// Most upstreams name no header but these two options, which need no list.
	const named = connection === undefined || connection === 'keep-alive' || connection === 'close' ? undefined : parseConnectionOptions(connection);
	const kept: Record<string, string | string[]> = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && !hopByHopHeaders.has(name) && !named?.has(name) && !alsoWithheld.includes(name)) {
			kept[name] = value;
		}
	}

	return kept;
}
