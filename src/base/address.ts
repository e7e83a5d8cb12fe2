/**
 * Parsing of `IP:PORT` addresses; an IPv6 address is written in brackets.
 */
import {isIP} from 'node:net';

const MAX_PORT = 65_535;
const addressPattern = /^(?:(?<v4>[\d.]+)|\[(?<v6>[\da-f:.]+)\]):(?<port>[1-9]\d{0,4})$/iv;

/** Splits an address at its last colon. */
export function splitAddress(address: string): {readonly host: string; readonly port: number} {
	const colonIndex = address.lastIndexOf(':');
	const host = address.slice(0, colonIndex);
	return {host: host.startsWith('[') && host.endsWith(']') ? host.slice(1, -1) : host, port: Number(address.slice(colonIndex + 1))};
}

/** @returns Whether one can connect to the address without a name lookup: an IP address and a port from 1 to 65535. */
export function isConnectable(address: string): boolean {
	const {v4, v6, port} = addressPattern.exec(address)?.groups ?? {};
	return Number(port) <= MAX_PORT && (v6 === undefined ? isIP(v4 ?? '') === 4 : isIP(v6) === 6);
}
