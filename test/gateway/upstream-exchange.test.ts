import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {UpstreamExchange} from '../../src/gateway/upstream-exchange.js';

type Result = {
	readonly status: number | undefined;
	readonly body: string;
	/** `undefined` for a complete response. */
	readonly ending: Ending | undefined;
	readonly wasSent: boolean;
};

describe('exchange with an upstream', () => {
	let server: Server;
	let respond: (socket: Socket) => void;

	beforeEach(async () => {
		server = createServer(socket => {
			socket.on('error', () => {
				// Connections aborted by the client are not a failure here.
			});
			socket.once('data', () => {
				respond(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		server.close();
	});

	async function exchange(address = `127.0.0.1:${(server.address() as AddressInfo).port}`): Promise<Result> {
		return new Promise(resolve => {
			let status: number | undefined;
			let body = '';
			let wasSent = false;
			const headers = ['Host', 'service', 'Content-Length', '4', 'Connection', 'close'];
			UpstreamExchange.start(SystemClock.create(), {
				address, method: 'POST', target: '/a?b', headers, body: Buffer.from('body'),
			}, {
				onSending() {
					wasSent = true;
				},
				onHead(received) {
					status = received;
				},
				onData(chunk) {
					body += chunk.toString();
				},
				onEnd() {
					resolve({
						status, body, ending: undefined, wasSent,
					});
				},
				onFail(ending) {
					resolve({
						status, body, ending, wasSent,
					});
				},
			});
		});
	}

	it('accepts a response with a length', async () => {
		respond = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		expect(await exchange()).to.deep.equal({
			status: 200, body: 'ok', ending: undefined, wasSent: true,
		});
	});

	it('accepts a response without a length that ends when its connection closes', async () => {
		respond = socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		expect(await exchange()).to.include({body: 'whole', ending: undefined});
	});

	it('does not accept a response without a length as complete when its connection is reset right after it', async () => {
		respond = socket => {
			// The reset arrives before the bytes are read; the event loop then reports an ordinary end.
			socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
				socket.resetAndDestroy();
			});
		};

		for (let run = 0; run < 30; run += 1) {
			const {ending} = await exchange(); // eslint-disable-line no-await-in-loop -- one at a time
			expect(ending).to.be.oneOf([Ending.Lost, Ending.Spoiled]);
		}
	});

	it('accepts a response with a length although the connection is reset right after it', async () => {
		respond = socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', () => {
				setTimeout(() => socket.resetAndDestroy(), 5);
			});
		};

		expect(await exchange()).to.include({body: 'whole', ending: undefined});
	});

	it('does not accept a truncated response as complete', async () => {
		respond = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort');
		expect(await exchange()).to.include({ending: Ending.Spoiled});
		respond = socket => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n');
		expect(await exchange()).to.include({ending: Ending.Spoiled});
	});

	it('ignores bytes after a complete response', async () => {
		respond = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother');
		expect(await exchange()).to.include({body: 'ok', ending: undefined});
	});

	it('distinguishes an invalid response from a lost connection', async () => {
		respond = socket => socket.end('\u0000\u0001 no answer\r\n\r\n');
		expect(await exchange()).to.include({status: undefined, ending: Ending.Spoiled});
		respond = socket => socket.end();
		expect(await exchange()).to.include({status: undefined, ending: Ending.Lost});
		respond = socket => socket.resetAndDestroy();
		expect(await exchange()).to.include({status: undefined, ending: Ending.Lost});
	});

	it('reports that nothing was sent when the connection is refused', async () => {
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		server.close();
		expect(await exchange(address)).to.include({ending: Ending.NotConnected, wasSent: false});
	});
});
