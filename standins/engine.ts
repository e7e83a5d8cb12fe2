/**
 * Stand-in for a model engine: the chat completions protocol, streams that can be resumed and canceled, load reports, an
 * endpoint for prefix cache events (always empty), and control operations that check fencing numbers.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {
	type CompletionBody, expectedWords, generateStreamEvents, createCompletion,
} from './engine-answers.js';
import {
	sendJson, waitForDrain, waitForFlush, sleep,
} from './responses.js';

/** Options of a stand-in engine. */
export type EngineStandInOptions = {
	/** Time between two tokens of a response, in ms; 0 sends as fast as the connection accepts them. */
	readonly tokenIntervalMs: number;
	/** Number of tokens of a response if the request has no `max_tokens`. */
	readonly defaultTokens: number;
	/** Port to listen on; any free port by default. */
	readonly port?: number | undefined;
};

/** Faults of a stand-in engine; they can be changed while it runs. */
export type EngineFaults = {
	/** Closes the connection of each stream before its headers. The engine keeps generating the response. */
	cutBeforeHeaders?: boolean;
	/** Closes the connection of each request, as if the request had not arrived. */
	loseRequests?: boolean;
	/** Closes each resumed connection after this many bytes. */
	cutResumesAfterBytes?: number;
	/** Resumes this many bytes after the requested offset (a gap) or before it (a repeat), and states the actual offset. */
	resumeShiftBytes?: number;
	/** Echoes this dispatch ID instead of that of the request. */
	echoedId?: string;
	/** Sends a second, unsolicited response on the same connection after each response that is not streamed. */
	repeatsAnswers?: boolean;
};

type StreamRecord = {
	parts: Uint8Array[];
	isWhole: boolean;
	isCanceled: boolean;
};

/** Number of streams that can be resumed; older ones are evicted. */
const MAX_RESUMABLE_STREAMS = 2000;

/** A model engine on a loopback port. */
export class EngineStandIn {
	static async start(options: EngineStandInOptions): Promise<EngineStandIn> {
		const engine = new EngineStandIn(options);
		await new Promise<void>(resolve => {
			engine.#server.listen(options.port ?? 0, '127.0.0.1', resolve);
		});
		return engine;
	}

	/** Dispatch IDs of the accepted completions, in order of arrival. */
	readonly accepted: string[] = [];
	/** If set, closes the connection of each stream after this many events. */
	cutAfterParts: number | undefined;
	faults: EngineFaults = {};
	/** Number of stream events that were generated. */
	sentParts = 0;
	/** Dispatch IDs that were canceled, in order. */
	readonly canceled: string[] = [];
	readonly #options: EngineStandInOptions;
	readonly #server: Server;
	readonly #streams = new Map<string, StreamRecord>();
	#runningCount = 0;
	#highestFencingNumber = 0;

	private constructor(options: EngineStandInOptions) {
		this.#options = options;
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Stops immediately and closes all connections, as a crash would. */
	async stop(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url!, this.url);
		if (url.pathname === '/v1/chat/completions') {
			await this.#complete(req, res);
		} else if (url.pathname.startsWith('/control/streams/')) {
			await this.#handleStreamRequest(req, res, url);
		} else {
			switch (url.pathname) {
				case '/control/load': {
					sendJson(res, 200, {
						runningCount: this.#runningCount, waitingCount: 0, cacheCapacityTokens: 0, cacheUsedTokens: 0, ageMs: 0, isLeaving: false,
					});

					break;
				}

				case '/control/cache-events': {
					sendJson(res, 200, []);

					break;
				}

				case '/control/orders': {
					await this.#handleControlOperation(req, res);

					break;
				}

				default: {
					sendJson(res, 404, {error: {message: 'not found'}});
				}
			}
		}
	}

	async #complete(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await json(req) as CompletionBody;
		const id = req.headers['dispatch-id']?.toString() ?? '';
		if (this.faults.loseRequests) {
			res.destroy();
			return;
		}

		this.accepted.push(id);
		this.#runningCount += 1;
		const prompt = body.messages.map(message => String(message.content)).join('\n');
		const words = expectedWords(prompt, body.max_completion_tokens ?? body.max_tokens ?? this.#options.defaultTokens);
		if (body.stream) {
			await this.#sendStream(res, id, body, words);
		} else {
			const completion = createCompletion(body, words);
			sendJson(res, 200, completion, this.faults.echoedId ?? id);
			if (this.faults.repeatsAnswers) {
				const extraResponse = JSON.stringify(completion);
				res.socket?.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ndispatch-id: ${id}\r\ncontent-length: ${extraResponse.length}\r\n\r\n${extraResponse}`);
			}
		}

		this.#runningCount -= 1;
	}

	async #sendStream(res: ServerResponse, id: string, body: CompletionBody, words: string[]): Promise<void> {
		const stream: StreamRecord = {parts: [], isWhole: false, isCanceled: false};
		this.#streams.set(id, stream);
		if (this.#streams.size > MAX_RESUMABLE_STREAMS) {
			const [oldest] = this.#streams.keys();
			this.#streams.delete(oldest!);
		}

		if (this.faults.cutBeforeHeaders) {
			res.destroy();
		} else {
			res.writeHead(200, {'content-type': 'text/event-stream', 'dispatch-id': this.faults.echoedId ?? id});
		}

		for (const part of generateStreamEvents(id, body, words)) {
			if (stream.isCanceled) {
				break;
			}

			stream.parts.push(part);
			this.sentParts += 1;
			if (!res.destroyed && !res.write(part)) {
				// eslint-disable-next-line no-await-in-loop
				await waitForDrain(res);
			}

			if (stream.parts.length === this.cutAfterParts) {
				// eslint-disable-next-line no-await-in-loop
				await waitForFlush(res);
				res.destroy();
			}

			if (this.#options.tokenIntervalMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await sleep(this.#options.tokenIntervalMs);
			}
		}

		stream.isWhole = true;
		res.end();
	}

	async #handleStreamRequest(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const id = url.pathname.split('/').at(-1)!;
		const stream = this.#streams.get(id);
		if (stream === undefined) {
			sendJson(res, 404, {error: {message: 'no such stream'}});
			return;
		}

		if (req.method === 'DELETE') {
			stream.isCanceled = true;
			this.canceled.push(id);
			sendJson(res, 200, {});
			return;
		}

		await this.#sendRest(res, id, stream, Number(url.searchParams.get('offset')));
	}

	async #sendRest(res: ServerResponse, id: string, stream: StreamRecord, requestedOffset: number): Promise<void> {
		let offset = Math.max(0, requestedOffset + (this.faults.resumeShiftBytes ?? 0));
		let allowance = this.faults.cutResumesAfterBytes ?? Number.POSITIVE_INFINITY;
		res.writeHead(200, {'content-type': 'text/event-stream', 'dispatch-id': this.faults.echoedId ?? id, 'stream-offset': offset});
		while (!res.destroyed) {
			const rest = Buffer.concat(stream.parts).subarray(offset, offset + allowance);
			offset += rest.byteLength;
			allowance -= rest.byteLength;
			res.write(rest);
			if (allowance === 0) {
				// eslint-disable-next-line no-await-in-loop
				await waitForFlush(res);
				res.destroy();
			} else if (stream.isWhole) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(5);
		}

		res.end();
	}

	async #handleControlOperation(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const order = await json(req) as {fencingNumber: number};
		const isStale = order.fencingNumber < this.#highestFencingNumber;
		this.#highestFencingNumber = Math.max(this.#highestFencingNumber, order.fencingNumber);
		sendJson(res, isStale ? 412 : 200, {});
	}
}
