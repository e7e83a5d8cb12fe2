/**
 * Parsing of `IP:PORT` addresses.
 */

/** Splits an address at its last colon. */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const colonIndex = address.lastIndexOf(':');
	return {host: address.slice(0, colonIndex), port: Number(address.slice(colonIndex + 1))};
}
