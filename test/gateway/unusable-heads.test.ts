import {once} from 'node:events';
import {get} from 'node:http';
import {type AddressInfo, createServer} from 'node:net';
import {expect} from 'chai';
import {
	formatChunk, formatResponse, formatStreamHead, FrontHarness, type ReceivedRequest,
} from '../support/front-harness.js';
import {sendRaw} from '../support/raw-http.js';

describe('heads with what the parser of Node.js reads and its writer refuses', () => {
	let harness: FrontHarness;

	beforeEach(async () => {
		harness = await FrontHarness.start();
	});

	afterEach(() => {
		harness.stop();
	});

	async function sendHead(target: string, header: string): Promise<number> {
		const {status} = await sendRaw(harness.address, [`GET ${target} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\n${header}\r\n\r\n`]);
		return status;
	}

	async function expectServed(): Promise<void> {
		const {status, body} = await harness.call('safe');
		expect({status, body}).to.deep.equal({status: 200, body: 'done'});
	}

	const requests: ReadonlyArray<readonly [name: string, target: string, header: string]> = [
		['a tab in its target', '/safe/a\tb', 'X-A: 1'],
		['a form feed in its target', '/safe/a\fb', 'X-A: 1'],
		['a space in the name of a header', '/safe/a', 'X A: 1'],
	];
	for (const [name, target, header] of requests) {
		// Guards against a request that ends the process, and one that counts as a failure of each upstream that it could not be sent to.
		it(`refuses a request with ${name}, and blames no upstream`, async () => expectHeadRefused(target, header));
	}

	async function expectHeadRefused(target: string, header: string): Promise<void> {
		const first = await harness.startUpstream('first', ({id, socket}) => socket.write(formatResponse(id, 'done')));
		for (let count = 0; count < 6; count += 1) {
			expect(await sendHead(target, header)).to.equal(400); // eslint-disable-line no-await-in-loop -- one request after the other
		}

		expect(first.received).to.deep.equal([]);
		await expectServed();
	}

	async function expectStatusRefused(status: string): Promise<void> {
		const first = await harness.startUpstream('first', ({id, socket}) => socket.write(formatResponse(id, 'done', '', `${status} Odd`)));
		const unsafe = await harness.call('unsafe');
		const stream = await harness.call('stream');
		expect([unsafe.status, stream.status]).to.deep.equal([502, 502]);
		first.answer = ({id, socket}) => socket.write(formatResponse(id, 'done'));
		await expectServed();
	}

	/** Parsers from llhttp 9.3 on refuse a response with such a header, which is then no answer of the upstream. */
	async function expectHeaderNotPassedOn(header: string): Promise<void> {
		const first = await harness.startUpstream('first', ({id, socket}) => socket.write(formatResponse(id, 'data: a\n\n', `${header}\r\nX-B: 2\r\n`)));
		const isRead = await readsHeader(header);
		const unsafe = await harness.call('unsafe');
		const stream = await harness.call('stream');
		for (const {status, head} of [unsafe, stream]) {
			expect(status).to.equal(isRead ? 200 : 502);
			expect(head.includes('x-b: 2')).to.equal(isRead);
			expect(head).to.not.include(header.toLowerCase());
		}

		first.answer = ({id, socket}) => socket.write(formatResponse(id, 'done'));
		await expectServed();
	}

	for (const status of ['099', '000', '001']) {
		// Guards against a status that ends the process of the VM that passes it on.
		it(`passes on no response with the status ${status}`, async () => expectStatusRefused(status));
	}

	for (const header of ['X A: 1', ': 1']) {
		// Guards against a header of an upstream that ends the process of the VM that passes it on.
		it(`drops the header '${header}' of a response`, async () => expectHeaderNotPassedOn(header));
	}

	// Guards against the ID of an event that no header can carry to the next upstream: it ended the process when the stream broke off.
	it('does not resume a stream after an event whose ID no header can carry', async () => {
		for (const eventId of ['\u0001', 'a\0b', '\u007F']) {
			const answer = ({id, socket}: ReceivedRequest) => {
				socket.write(`${formatStreamHead(id)}${formatChunk(`id: ${eventId}\ndata: a\n\n`)}`, () => {
					socket.destroySoon();
				});
			};

			/* eslint-disable no-await-in-loop -- one stream after the other */
			const both = [await harness.startUpstream('first', answer), await harness.startUpstream('second', answer)];
			const {text} = await harness.call('resumable');
			/* eslint-enable no-await-in-loop */
			expect(text).to.include('data: a').and.not.include('0\r\n\r\n');
			expect(both.flatMap(({received}) => received)).to.have.length(1);
		}

		for (const upstream of harness.upstreams) {
			upstream.answer = ({id, socket}) => socket.write(formatResponse(id, 'done'));
		}

		await expectServed();
	});
});

/** @returns Whether the parser of this version of Node.js reads a response with the header. */
async function readsHeader(header: string): Promise<boolean> {
	const server = createServer(socket => {
		socket.once('error', () => {
			socket.destroy();
		});
		socket.once('data', () => {
			socket.end(`HTTP/1.1 200 OK\r\nContent-Length: 0\r\n${header}\r\n\r\n`);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const isRead = await new Promise<boolean>(resolve => {
		get({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false}, res => {
			res.resume();
			resolve(true);
		}).once('error', () => {
			resolve(false);
		});
	});
	server.close();
	return isRead;
}
