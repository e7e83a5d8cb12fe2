/**
 * Ports and addresses on the loopback interface.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';

const HOST = '127.0.0.1';

/** Lets a server listen on a free port and returns its address. */
export async function listen(server) {
	server.listen(0, HOST);
	await once(server, 'listening');
	return `${HOST}:${server.address().port}`;
}

/** @returns Addresses with ports that are free now. */
export async function freeAddresses(count) {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => listen(server)));
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return addresses;
}

/** @returns Host and port of an address. */
export function split(address) {
	const [host, port] = address.split(':');
	return {host, port: Number(port)};
}
