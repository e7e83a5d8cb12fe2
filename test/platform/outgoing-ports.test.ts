import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {StoreClient} from '../../platform/store-client.js';
import {SystemClock} from '../../src/base/clock.js';
import {processBindings} from '../../src/base/connecting.js';
import {Log} from '../../src/base/log.js';
import {UpstreamExchange} from '../../src/gateway/upstream-exchange.js';
import {TcpNetwork} from '../../src/link/tcp-network.js';

// Guards against a VM that cannot listen because a connection of another VM on the same machine has its port, or had it up to
// a minute before (report FAULT).
describe('port of an outgoing connection', () => {
	let server: Server;
	let address: string;

	beforeEach(async () => {
		// Other tests of this process have opened connections.
		processBindings.clear();
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.resume();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	afterEach(() => {
		server.close();
	});

	/** Listens on the port of the next connection to the server, while it is open and after it was closed. */
	async function expectPortFree(connect: () => () => void): Promise<void> {
		const accepted = once(server, 'connection') as Promise<[Socket]>;
		const close = connect();
		const [socket] = await accepted;
		const port = socket.remotePort!;
		await listenOn(port);
		const closed = once(socket, 'close');
		close();
		await closed;
		await listenOn(port);
	}

	async function listenOn(port: number): Promise<void> {
		const listener = createServer();
		listener.listen(port, '127.0.0.1');
		await once(listener, 'listening');
		const closed = once(listener, 'close');
		listener.close();
		await closed;
	}

	it('to an upstream can be listened on', async () => {
		await expectPortFree(() => {
			const exchange = UpstreamExchange.start(SystemClock.create(), {
				address, method: 'GET', target: '/', headers: [], body: undefined,
			}, {
				onSending() {}, onHead() {}, onData() {}, onEnd() {}, onFail() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- only the connection matters
			});
			return () => {
				exchange.abort();
			};
		});
	});

	it('to another VM can be listened on', async () => {
		await expectPortFree(() => {
			const network = TcpNetwork.create(SystemClock.create(), Log.create('silent'));
			void network.connect(address);
			return () => {
				network.stop();
			};
		});
	});

	it('to the store can be listened on', async () => {
		await expectPortFree(() => {
			const client = StoreClient.create(SystemClock.create(), Log.create('silent'), address);
			void client.list('table');
			return () => {
				client.close();
			};
		});
	});
});
