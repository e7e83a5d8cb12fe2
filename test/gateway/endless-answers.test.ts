/**
 * Guards against upstreams whose response never ends. Every part of a response that could continue indefinitely has a
 * size limit; beyond it the connection is closed and the exchange ends as a failure of the upstream.
 */
import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server,
} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {MAX_HEAD_BYTES, MAX_RESPONSE_BYTES, UpstreamExchange} from '../../src/gateway/upstream-exchange.js';
import {flood} from '../../standins/responses.js';
import {eventually} from '../support/eventually.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
/** Bytes that the kernel and the process may buffer beyond what was read. */
const MAX_BUFFERED_BYTES = 8_388_608;

describe('endless responses', () => {
	let server: Server;
	let sentBytes: number;
	let isClosed: boolean;
	let responseStart: string;
	let repeatedPart: string;

	beforeEach(async () => {
		sentBytes = 0;
		isClosed = false;
		server = createServer(socket => {
			socket.on('error', () => {
				// The client aborts the connection.
			});
			socket.once('close', () => {
				isClosed = true;
			});
			socket.once('data', () => {
				socket.write(responseStart);
				flood(socket, repeatedPart, () => {
					sentBytes += repeatedPart.length;
				});
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		server.close();
	});

	/** @returns How the exchange failed, or `undefined` for a complete response. */
	async function exchange(): Promise<Ending | undefined> {
		const ending = await new Promise<Ending | undefined>(resolve => {
			UpstreamExchange.start(SystemClock.create(), {
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', target: '/', headers: ['Host', 'service', 'Connection', 'close'], body: undefined,
			}, {
				onSending() {
					// Not needed here.
				},
				onHead() {
					// Not needed here.
				},
				onData() {
					// Not needed here.
				},
				onEnd() {
					resolve(undefined);
				},
				onFail(failed) {
					resolve(failed);
				},
			});
		});
		await eventually(() => isClosed);
		return ending;
	}

	async function expectFlooded(head: string, repeated: string, maxBytes: number): Promise<void> {
		responseStart = head;
		repeatedPart = repeated;
		expect(await exchange()).to.equal(Ending.Flooded);
		expect(sentBytes).to.be.below(maxBytes + MAX_BUFFERED_BYTES);
	}

	const long = 'x'.repeat(1000);
	const heads: ReadonlyArray<readonly [string, string, string]> = [
		['status line', 'HTTP/1.1 200 ', long],
		['header line', `${OK}X-Long: `, long],
		['sequence of header lines', OK, `X-Line: ${long}\r\n`],
		['sequence of interim responses', '', `HTTP/1.1 103 Early Hints\r\nX-Line: ${long}\r\n\r\n`],
		['sequence of 100 Continue responses', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
		['chunk extension', `${CHUNKED}5;`, long],
		['sequence of trailers', `${CHUNKED}0\r\n`, `X-Line: ${long}\r\n`],
	];
	for (const [name, head, repeated] of heads) {
		it(`aborts an endless ${name}`, async () => expectFlooded(head, repeated, 20 * MAX_HEAD_BYTES));
	}

	const bodies: ReadonlyArray<readonly [string, string, string]> = [
		['body without a length', `${OK}\r\n`, long.repeat(60)],
		['body with a length that is never reached', `${OK}Content-Length: 99999999999\r\n\r\n`, long.repeat(60)],
		['sequence of chunks', CHUNKED, `3e8\r\n${long}\r\n`.repeat(60)],
		['sequence of one-byte chunks with long extensions', CHUNKED, `1;${long}\r\nx\r\n`.repeat(60)],
	];
	for (const [name, head, repeated] of bodies) {
		it(`aborts an endless ${name}`, async () => expectFlooded(head, repeated, MAX_RESPONSE_BYTES));
	}

	it('discards data after a complete response without reading it', async () => {
		responseStart = `${OK}Content-Length: 2\r\n\r\nok`;
		repeatedPart = long.repeat(60);
		expect(await exchange()).to.equal(undefined);
		expect(isClosed).to.equal(true);
		expect(sentBytes).to.be.below(MAX_BUFFERED_BYTES);
	});
});
