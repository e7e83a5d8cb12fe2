import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {splitAddress} from '../../src/base/address.js';

/** Listens on an address and closes each connection, as another program that has the address. */
export async function occupyAddress(address: string): Promise<Server> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.destroy();
	});
	server.listen(splitAddress(address));
	await once(server, 'listening');
	return server;
}
