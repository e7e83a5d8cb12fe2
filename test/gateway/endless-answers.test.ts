/**
 * Answers without end: every part of an answer that could go on for ever is bounded in bytes, the connection is closed,
 * and the upstream is the one to blame.
 */
import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server,
} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '../../src/base/clock.js';
import {Ending} from '../../src/gateway/exchange-ending.js';
import {MAX_ANSWER_BYTES, MAX_HEAD_BYTES, UpstreamExchange} from '../../src/gateway/upstream-exchange.js';
import {flood} from '../../standins/responses.js';
import {eventually} from '../support/eventually.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
/** What kernel and process may buffer on top of what was read, in bytes. */
const BUFFERS = 8_388_608;

describe('answers without end', () => {
	let server: Server;
	let sent: number;
	let isClosed: boolean;
	let start: string;
	let piece: string;

	beforeEach(async () => {
		sent = 0;
		isClosed = false;
		server = createServer(socket => {
			socket.on('error', () => {
				// The client breaks off.
			});
			socket.once('close', () => {
				isClosed = true;
			});
			socket.once('data', () => {
				socket.write(start);
				flood(socket, piece, () => {
					sent += piece.length;
				});
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		server.close();
	});

	/** @returns How the exchange ended. */
	async function exchange(): Promise<Ending | undefined> {
		const ending = await new Promise<Ending | undefined>(resolve => {
			UpstreamExchange.start(SystemClock.create(), {
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', target: '/', headers: ['Host', 'service', 'Connection', 'close'], body: undefined,
			}, {
				onSending() {
					// Not looked at.
				},
				onHead() {
					// Not looked at.
				},
				onData() {
					// Not looked at.
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
		start = head;
		piece = repeated;
		expect(await exchange()).to.equal(Ending.Flooded);
		expect(sent).to.be.below(maxBytes + BUFFERS);
	}

	const long = 'x'.repeat(1000);
	const heads: ReadonlyArray<readonly [string, string, string]> = [
		['a status line', 'HTTP/1.1 200 ', long],
		['one line of a head', `${OK}X-Long: `, long],
		['many lines of a head', OK, `X-Line: ${long}\r\n`],
		['interim answers', '', `HTTP/1.1 103 Early Hints\r\nX-Line: ${long}\r\n\r\n`],
		['interim answers that ask to go on', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
		['a chunk extension', `${CHUNKED}5;`, long],
		['trailers', `${CHUNKED}0\r\n`, `X-Line: ${long}\r\n`],
	];
	for (const [name, head, repeated] of heads) {
		it(`ends at ${name} without end`, async () => expectFlooded(head, repeated, 20 * MAX_HEAD_BYTES));
	}

	const bodies: ReadonlyArray<readonly [string, string, string]> = [
		['a body without a length', `${OK}\r\n`, long.repeat(60)],
		['a body with a length that is never reached', `${OK}Content-Length: 99999999999\r\n\r\n`, long.repeat(60)],
		['chunks', CHUNKED, `3e8\r\n${long}\r\n`.repeat(60)],
		['chunks of one byte with long extensions', CHUNKED, `1;${long}\r\nx\r\n`.repeat(60)],
	];
	for (const [name, head, repeated] of bodies) {
		it(`ends at ${name} without end`, async () => expectFlooded(head, repeated, MAX_ANSWER_BYTES));
	}

	it('drops what follows a whole answer without reading it', async () => {
		start = `${OK}Content-Length: 2\r\n\r\nok`;
		piece = long.repeat(60);
		expect(await exchange()).to.equal(undefined);
		expect(isClosed).to.equal(true);
		expect(sent).to.be.below(BUFFERS);
	});
});
