import {once} from 'node:events';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {type SchedulerError} from '../../src/base/errors.js';
import {CompletionsEngine} from '../../src/upstream/completions-engine.js';
import {type UpstreamClient} from '../../src/upstream/engine.js';
import {ExchangeHandler} from '../../src/upstream/exchange.js';
import {HttpPlainService} from '../../src/upstream/http-plain-service.js';
import {eventually} from '../support/eventually.js';

/** Records exchange events in order, with the number of bytes that the upstream had received at each commit. */
class RecordingHandler extends ExchangeHandler {
	readonly events: string[] = [];
	readonly #receivedBytes: () => number;
	readonly #acceptsCommit: boolean;

	constructor(receivedBytes: () => number, acceptsCommit = true) {
		super();
		this.#receivedBytes = receivedBytes;
		this.#acceptsCommit = acceptsCommit;
	}

	onCommit(): boolean {
		this.events.push(`commit after ${this.#receivedBytes()} bytes`);
		return this.#acceptsCommit;
	}

	onHeaders(status: number): void {
		this.events.push(`headers ${status}`);
	}

	onData(chunk: Uint8Array): boolean {
		this.events.push(`data ${chunk.byteLength}`);
		return true;
	}

	onEnd(): void {
		this.events.push('end');
	}

	onError(err: SchedulerError, wasSent: boolean): void {
		this.events.push(`${err.kind} ${wasSent ? 'sent' : 'not sent'}`);
	}
}

const clients: Array<[string, (url: string) => UpstreamClient]> = [
	['CompletionsEngine', url => CompletionsEngine.create(url)],
	['HttpPlainService', url => HttpPlainService.create(url)],
];

for (const [name, createClient] of clients) {
	describe(`UpstreamClient contract: ${name}`, () => {
		let server: Server;
		let client: UpstreamClient;
		let response: string;
		let receivedBytes: number;
		let sockets: Socket[];

		beforeEach(async () => {
			[response, receivedBytes, sockets] = ['HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', 0, []];
			server = createServer(socket => {
				sockets.push(socket);
				socket.on('error', () => undefined);
				socket.on('data', chunk => {
					receivedBytes += chunk.length;
					socket.write(response);
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			client = createClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		});

		afterEach(async () => {
			await client.destroy();
			server.close();
		});

		function send(handler: ExchangeHandler) {
			return client.send({
				dispatchId: 'id', method: 'POST', path: '/x', headers: {}, body: new Uint8Array(5), idleTimeoutMs: 5000,
			}, handler);
		}

		async function expectNoRepeatedRefusal(delayMs: number, echoesId: boolean): Promise<void> {
			const refusal = 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n';
			const answer = echoesId ? 'HTTP/1.1 200 OK\r\ndispatch-id: id\r\ncontent-length: 2\r\n\r\nok' : response;
			for (let round = 0; round < 6; round += 1) {
				response = answer;
				const first = new RecordingHandler(() => 0);
				send(first);
				await eventually(() => first.events.length > 2); // eslint-disable-line no-await-in-loop -- sequential requests
				const socket = sockets.at(-1)!;
				setTimeout(() => socket.writable && socket.write(refusal), delayMs);
				response = '';
				const second = new RecordingHandler(() => 0);
				send(second);
				await sleep(delayMs + 5); // eslint-disable-line no-await-in-loop
				sockets.at(-1)!.write(answer);
				await eventually(() => second.events.length > 1); // eslint-disable-line no-await-in-loop
				expect(second.events).not.to.include('headers 503');
			}
		}

		for (const delayMs of [0, 1, 10]) {
			for (const echoesId of [true, false]) {
				// Guards against a refusal that the upstream writes once more on a kept connection, taken for the response to the next request.
				it(`takes no repeated refusal for a response, after ${delayMs} ms (${echoesId ? 'echoes' : 'does not echo'} IDs)`, async () => expectNoRepeatedRefusal(delayMs, echoesId));
			}
		}

		it('commits once, before any byte is sent (guards against reporting an executed request as not run)', async () => {
			const handler = new RecordingHandler(() => receivedBytes);
			send(handler);
			await eventually(() => handler.events.includes('end'));
			expect(handler.events).to.deep.equal(['commit after 0 bytes', 'headers 200', 'data 2', 'end']);
		});

		it('sends nothing when the handler rejects the commit (guards against a second dispatch)', async () => {
			const refused = new RecordingHandler(() => receivedBytes, false);
			send(refused);
			await eventually(() => refused.events.length === 2);
			const next = new RecordingHandler(() => receivedBytes);
			send(next);
			await eventually(() => next.events.includes('end'));
			expect(refused.events[1]).to.match(/not sent$/v);
			expect(next.events[0]).to.equal('commit after 0 bytes');
		});

		it('does not commit when the connection is refused (guards against counting refused connections as sent)', async () => {
			server.close();
			await once(server, 'close');
			const handler = new RecordingHandler(() => receivedBytes);
			send(handler);
			await eventually(() => handler.events.length > 0);
			expect(handler.events).to.deep.equal(['no-upstream not sent']);
		});

		it('destroys the connection of an aborted exchange (guards against delivering late bytes to another request)', async () => {
			response = 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart';
			const handler = new RecordingHandler(() => receivedBytes);
			const exchange = send(handler);
			await eventually(() => handler.events.includes('data 4'));
			exchange.abort();
			await eventually(() => sockets[0]!.destroyed);
			expect(handler.events.at(-1)).to.equal('upstream-lost sent');
			response = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
			const next = new RecordingHandler(() => receivedBytes);
			send(next);
			await eventually(() => next.events.includes('end'));
			expect(next.events.slice(1)).to.deep.equal(['headers 200', 'data 2', 'end']);
			expect(sockets).to.have.length(2);
		});
	});
}
