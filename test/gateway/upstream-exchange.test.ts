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
	/** `undefined` for a whole answer. */
	readonly ending: Ending | undefined;
	readonly wasSent: boolean;
};

describe('exchange with an upstream', () => {
	let server: Server;
	let answer: (socket: Socket) => void;

	beforeEach(async () => {
		server = createServer(socket => {
			socket.on('error', () => {
				// Clients that break off are no failure here.
			});
			socket.once('data', () => {
				answer(socket);
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

	it('takes an answer with a length', async () => {
		answer = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
		expect(await exchange()).to.deep.equal({
			status: 200, body: 'ok', ending: undefined, wasSent: true,
		});
	});

	it('takes an answer without a length that ends with its connection', async () => {
		answer = socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		expect(await exchange()).to.include({body: 'whole', ending: undefined});
	});

	it('does not take an answer without a length for whole when its connection is reset right behind it', async () => {
		answer = socket => {
			// The reset is there before the bytes are read; the event loop then reports an ordinary end.
			socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
				socket.resetAndDestroy();
			});
		};

		for (let run = 0; run < 30; run += 1) {
			const {ending} = await exchange(); // eslint-disable-line no-await-in-loop -- one at a time
			expect(ending).to.be.oneOf([Ending.Lost, Ending.Spoiled]);
		}
	});

	it('takes an answer with a length although the connection is reset right behind it', async () => {
		answer = socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', () => {
				setTimeout(() => socket.resetAndDestroy(), 5);
			});
		};

		expect(await exchange()).to.include({body: 'whole', ending: undefined});
	});

	it('does not take a truncated answer for whole', async () => {
		answer = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort');
		expect(await exchange()).to.include({ending: Ending.Spoiled});
		answer = socket => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n');
		expect(await exchange()).to.include({ending: Ending.Spoiled});
	});

	it('ignores bytes after a whole answer', async () => {
		answer = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother');
		expect(await exchange()).to.include({body: 'ok', ending: undefined});
	});

	it('tells bytes that are no answer from a lost connection', async () => {
		answer = socket => socket.end('\u0000\u0001 no answer\r\n\r\n');
		expect(await exchange()).to.include({status: undefined, ending: Ending.Spoiled});
		answer = socket => socket.end();
		expect(await exchange()).to.include({status: undefined, ending: Ending.Lost});
		answer = socket => socket.resetAndDestroy();
		expect(await exchange()).to.include({status: undefined, ending: Ending.Lost});
	});

	it('knows that nothing was sent when the connection is refused', async () => {
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		server.close();
		expect(await exchange(address)).to.include({ending: Ending.NotConnected, wasSent: false});
	});
});
