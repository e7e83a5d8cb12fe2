/**
 * A small stand-in for a model engine: the completions protocol, streams that can be resumed and canceled, load
 * reports, a prefix cache with events, and orders with fencing numbers.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {
	type CompletionBody, expectedWords, streamParts, wholeAnswer,
} from './engine-answers.js';
import {
	answerJson, drained, flushed, pause,
} from './responses.js';

/** Behaviour of a stand-in engine. */
export type EngineStandInOptions = {
	/** Time between two tokens of an answer, in ms; 0 sends as fast as the connection takes. */
	readonly tokenIntervalMs: number;
	/** Tokens of an answer where the request has no `max_tokens`. */
	readonly defaultTokens: number;
	/** Any free port by default. */
	readonly port?: number | undefined;
};

/** Faults of a stand-in engine; all can be changed while it runs. */
export type EngineFaults = {
	/** Cuts the connection of each stream before its headers. The dispatch runs on. */
	cutBeforeHeaders?: boolean;
	/** Cuts the connection as if the request had never arrived. */
	loseRequests?: boolean;
	/** Cuts each resumed connection after this many bytes. */
	cutResumesAfterBytes?: number;
	/** Resumes this many bytes after the wanted offset (a gap) or before it (a repeat), and states where. */
	resumeShiftBytes?: number;
	/** Echoes this dispatch ID in place of the request's. */
	echoedId?: string;
	/** Sends a second, late answer on the same connection after each whole answer. */
	repeatsAnswers?: boolean;
};

type StreamLog = {
	parts: Uint8Array[];
	isWhole: boolean;
	isCanceled: boolean;
};

/** Streams that can be resumed at a time; older ones are forgotten. */
const MAX_KEPT_STREAMS = 2000;

/** A model engine on a port of its own. */
export class EngineStandIn {
	static async start(options: EngineStandInOptions): Promise<EngineStandIn> {
		const engine = new EngineStandIn(options);
		await new Promise<void>(resolve => {
			engine.#server.listen(options.port ?? 0, '127.0.0.1', resolve);
		});
		return engine;
	}

	/** Completions that this engine accepted, by dispatch ID in order of arrival. */
	readonly accepted: string[] = [];
	/** Set to cut the connection of each stream after this many parts. */
	cutAfterParts: number | undefined;
	faults: EngineFaults = {};
	/** Parts of streams that were generated so far. */
	sentParts = 0;
	/** Dispatches that were canceled, in order. */
	readonly canceled: string[] = [];
	readonly #options: EngineStandInOptions;
	readonly #server: Server;
	readonly #streams = new Map<string, StreamLog>();
	#running = 0;
	#greatestFencingNumber = 0;

	private constructor(options: EngineStandInOptions) {
		this.#options = options;
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Ends at once, as a crash would. */
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
			await this.#stream(req, res, url);
		} else {
			switch (url.pathname) {
				case '/control/load': {
					answerJson(res, 200, {
						runningCount: this.#running, waitingCount: 0, cacheCapacityTokens: 0, cacheUsedTokens: 0, ageMs: 0, isLeaving: false,
					});

					break;
				}

				case '/control/cache-events': {
					answerJson(res, 200, []);

					break;
				}

				case '/control/orders': {
					await this.#order(req, res);

					break;
				}

				default: {
					answerJson(res, 404, {error: {message: 'not found'}});
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
		this.#running += 1;
		const prompt = body.messages.map(message => String(message.content)).join('\n');
		const words = expectedWords(prompt, body.max_completion_tokens ?? body.max_tokens ?? this.#options.defaultTokens);
		if (body.stream) {
			await this.#sendStream(res, id, body, words);
		} else {
			const answer = wholeAnswer(body, words);
			answerJson(res, 200, answer, this.faults.echoedId ?? id);
			if (this.faults.repeatsAnswers) {
				const late = JSON.stringify(answer);
				res.socket?.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ndispatch-id: ${id}\r\ncontent-length: ${late.length}\r\n\r\n${late}`);
			}
		}

		this.#running -= 1;
	}

	async #sendStream(res: ServerResponse, id: string, body: CompletionBody, words: string[]): Promise<void> {
		const log: StreamLog = {parts: [], isWhole: false, isCanceled: false};
		this.#streams.set(id, log);
		if (this.#streams.size > MAX_KEPT_STREAMS) {
			const [oldest] = this.#streams.keys();
			this.#streams.delete(oldest!);
		}

		if (this.faults.cutBeforeHeaders) {
			res.destroy();
		} else {
			res.writeHead(200, {'content-type': 'text/event-stream', 'dispatch-id': this.faults.echoedId ?? id});
		}

		for (const part of streamParts(id, body, words)) {
			if (log.isCanceled) {
				break;
			}

			log.parts.push(part);
			this.sentParts += 1;
			if (!res.destroyed && !res.write(part)) {
				// eslint-disable-next-line no-await-in-loop
				await drained(res);
			}

			if (log.parts.length === this.cutAfterParts) {
				// eslint-disable-next-line no-await-in-loop
				await flushed(res);
				res.destroy();
			}

			if (this.#options.tokenIntervalMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await pause(this.#options.tokenIntervalMs);
			}
		}

		log.isWhole = true;
		res.end();
	}

	async #stream(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const id = url.pathname.split('/').at(-1)!;
		const log = this.#streams.get(id);
		if (log === undefined) {
			answerJson(res, 404, {error: {message: 'no such stream'}});
			return;
		}

		if (req.method === 'DELETE') {
			log.isCanceled = true;
			this.canceled.push(id);
			answerJson(res, 200, {});
			return;
		}

		await this.#sendRest(res, id, log, Number(url.searchParams.get('offset')));
	}

	async #sendRest(res: ServerResponse, id: string, log: StreamLog, wanted: number): Promise<void> {
		let offset = Math.max(0, wanted + (this.faults.resumeShiftBytes ?? 0));
		let allowance = this.faults.cutResumesAfterBytes ?? Number.POSITIVE_INFINITY;
		res.writeHead(200, {'content-type': 'text/event-stream', 'dispatch-id': this.faults.echoedId ?? id, 'stream-offset': offset});
		while (!res.destroyed) {
			const rest = Buffer.concat(log.parts).subarray(offset, offset + allowance);
			offset += rest.byteLength;
			allowance -= rest.byteLength;
			res.write(rest);
			if (allowance === 0) {
				// eslint-disable-next-line no-await-in-loop
				await flushed(res);
				res.destroy();
			} else if (log.isWhole) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(5);
		}

		res.end();
	}

	async #order(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const order = await json(req) as {fencingNumber: number};
		const isStale = order.fencingNumber < this.#greatestFencingNumber;
		this.#greatestFencingNumber = Math.max(this.#greatestFencingNumber, order.fencingNumber);
		answerJson(res, isStale ? 412 : 200, {});
	}
}
