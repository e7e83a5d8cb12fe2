/**
 * Addresses as `IP:PORT`.
 */

/** @returns Host and port of an address. */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const colonAt = address.lastIndexOf(':');
	return {host: address.slice(0, colonAt), port: Number(address.slice(colonAt + 1))};
}
