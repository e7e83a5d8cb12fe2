import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, createConnection, createServer, type Server, type Socket,
} from 'node:net';
import {Duplex} from 'node:stream';
import {expect} from 'chai';
import Result, {ok} from 'true-myth/result';
import * as z from 'zod/mini';
import {LineChannel} from '../../src/link/line-channel.js';
import {encodeLine} from '../../src/link/link-network.js';
import {eventually} from '../support/eventually.js';

type Message = {readonly kind: string};

describe('channel between VMs', () => {
	let server: Server;
	let sender: Socket;
	let received: Message[];
	let reasons: string[];
	let isClosed: boolean;

	beforeEach(async () => {
		received = [];
		reasons = [];
		isClosed = false;
		server = createServer(socket => {
			LineChannel.create<Message, Message>(socket, {
				onMessage(message) {
					received.push({kind: message.kind});
				},
				onUnusable(reason) {
					reasons.push(reason);
				},
				onClose() {
					isClosed = true;
				},
			}, value => {
				const parsed = z.object({kind: z.string()}).safeParse(value);
				return parsed.success ? ok(parsed.data.kind === 'unknown' ? undefined : parsed.data) : Result.err('no message');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		sender = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
		sender.on('error', () => {
			// The receiver may close the connection before it has read all bytes.
		});
	});

	afterEach(() => {
		sender.destroy();
		server.close();
	});

	// Guards against work for each read that grows with the line, which would keep the event loop while a long line arrives.
	it('receives a long line in reads of one byte', () => {
		class OneByteSocket extends Duplex {
			setNoDelay(): this {
				return this;
			}
		}

		const socket = new OneByteSocket({read: () => undefined});
		const lengths: number[] = [];
		LineChannel.create<Message, Message>(socket as unknown as Socket, {
			onMessage({kind}) {
				lengths.push(kind.length);
			},
			onClose: () => undefined,
		}, value => ok(value as Message));
		const line = encodeLine({kind: 'x'.repeat(300_000)});
		for (const byte of new TextEncoder().encode(line)) {
			socket.emit('data', Buffer.of(byte));
		}

		expect(lengths).to.deep.equal([300_000]);
	});

	// Guards against an error in the handling of a message that ends the process, or leaves the two ends with different states (report FAULT).
	it('closes after an error in the handling of a message', async () => {
		server.removeAllListeners('connection');
		server.on('connection', socket => {
			LineChannel.create<Message, Message>(socket, {
				onMessage() {
					throw new Error('not handled');
				},
				onUnusable(reason) {
					reasons.push(reason);
				},
				onClose() {
					isClosed = true;
				},
			}, value => ok(value as Message));
		});
		const other = createConnection((server.address() as AddressInfo).port, '127.0.0.1');
		other.write(encodeLine({kind: 'a'}));
		await eventually(() => isClosed);
		expect(reasons).to.have.length(1);
		expect(reasons[0]).to.include('Error: not handled');
		other.destroy();
	});

	it('reassembles messages that arrive in several chunks', async () => {
		const line = encodeLine({kind: 'ä'});
		const bytes = new TextEncoder().encode(line + line);
		sender.write(bytes.subarray(0, 11));
		await eventually(() => sender.bytesWritten === 11);
		sender.write(bytes.subarray(11));
		await eventually(() => received.length === 2);
		expect(received).to.deep.equal([{kind: 'ä'}, {kind: 'ä'}]);
	});

	for (const line of ['no JSON', 'null', '7', '"text"']) {
		// eslint-disable-next-line @typescript-eslint/no-loop-func -- mocha runs the tests one after the other
		it(`closes the connection at a line that is not a message: ${line}`, async () => {
			sender.write(`${line}\n${encodeLine({kind: 'after'})}`);
			await eventually(() => isClosed);
			expect(received).to.deep.equal([]);
			expect(reasons).to.deep.equal(['no message']);
		});
	}

	it('ignores messages of unknown kinds', async () => {
		sender.write(encodeLine({kind: 'unknown'}) + encodeLine({kind: 'known'}));
		await eventually(() => received.length === 1);
		expect(received).to.deep.equal([{kind: 'known'}]);
		expect(isClosed).to.equal(false);
	});
});
