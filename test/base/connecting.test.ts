import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {openConnection, PortBindings} from '../../src/base/connecting.js';

/** More connections than are bound in the time for which the system keeps their ports. */
const CONNECTION_COUNT = 1100;

describe('outgoing connections', () => {
	let server: Server;
	let port: number;

	before(async () => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.resume();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		({port} = server.address() as AddressInfo);
	});

	after(() => {
		server.close();
	});

	// Guards against a message that a process sends to itself, as nothing listens on a port in the range for outgoing connections (report FAULT).
	it('are refused when the system connects one to itself', async () => {
		const closed = createServer();
		closed.listen(0, '127.0.0.1');
		await once(closed, 'listening');
		const {port: freePort} = closed.address() as AddressInfo;
		const released = once(closed, 'close');
		closed.close();
		await released;
		const socket = openConnection({
			host: '127.0.0.1', port: freePort, localAddress: '127.0.0.1', localPort: freePort,
		});
		const [err] = await once(socket, 'error') as [NodeJS.ErrnoException];
		expect(err.code).to.equal('ECONNREFUSED');
	});

	// Guards against frequent connections that use up the ports of the machine, as a bound port serves one destination only.
	it('are bound only up to a number that leaves other programs enough ports', async () => {
		const bindings = PortBindings.create();
		let boundCount = 0;
		for (let index = 0; index < CONNECTION_COUNT; index += 1) {
			/* eslint-disable no-await-in-loop -- one after the other */
			const accepted = once(server, 'connection') as Promise<[Socket]>;
			const socket = openConnection({host: '127.0.0.1', port}, bindings);
			const [{remotePort}] = await accepted;
			boundCount += await canListen(remotePort!) ? 1 : 0;
			const closed = once(socket, 'close');
			socket.destroy();
			await closed;
			/* eslint-enable no-await-in-loop */
		}

		expect(boundCount).to.equal(1000);
	});

	async function canListen(listenPort: number): Promise<boolean> {
		const listener = createServer();
		listener.listen(listenPort, '127.0.0.1');
		try {
			await once(listener, 'listening');
		} catch {
			return false;
		}

		const closed = once(listener, 'close');
		listener.close();
		await closed;
		return true;
	}
});
