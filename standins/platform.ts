/**
 * A small stand-in for the platform: table service (DynamoDB protocol), object store (S3 protocol) and VM list on one
 * port, with faults that are set by method or over HTTP.
 *
 * Routes: `POST /` table service, `/<bucket>/<key>` objects, `/vms` VM list (PUT replaces it), `/control/faults` faults
 * (PUT, merged into the present ones), `/control/counts` calls by operation.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {PlatformTable, type TableRequest} from './platform-table.js';

/** Faults in force; the counts fall by one with each write that they hit. */
export type PlatformFaults = {
	/** Cuts the connection of each call, without effect. */
	isDown: boolean;
	/** Delay before each call takes effect, in ms. */
	slowMs: number;
	/** Writes that take effect while their answer is dropped. */
	dropAnswerCount: number;
	/** Writes whose connection is cut at once and that take effect `lateWriteMs` later. */
	lateWriteCount: number;
	lateWriteMs: number;
};

type Answer = {
	readonly status: number;
	readonly type: string;
	readonly body: Uint8Array;
};

/** One call to the table service or the object store. */
type Call = {
	readonly operation: string;
	readonly isWrite: boolean;
	/** Performs the call. */
	readonly run: () => Answer;
};

const JSON_TYPE = 'application/json';
const TABLE_TYPE = 'application/x-amz-json-1.0';
const reads = new Set(['GetItem', 'Query']);
const noFaults: PlatformFaults = {
	isDown: false, slowMs: 0, dropAnswerCount: 0, lateWriteCount: 0, lateWriteMs: 0,
};

/** The platform on a port of its own. */
export class PlatformStandIn {
	/** @param port - Port to listen on; 0 lets the operating system choose. */
	static async start(port = 0): Promise<PlatformStandIn> {
		const platform = new PlatformStandIn();
		await new Promise<void>(resolve => {
			platform.#server.listen(port, '127.0.0.1', resolve);
		});
		return platform;
	}

	readonly table = new PlatformTable();
	readonly objects = new Map<string, Uint8Array>();
	/** Calls by operation, those that a fault hit included. */
	readonly counts = new Map<string, number>();
	/** The VM list, as JSON. */
	vms = '[]';
	readonly #faults: PlatformFaults = {...noFaults};
	readonly #server: Server;

	private constructor() {
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Changes some faults and leaves the others. */
	inject(faults: Partial<PlatformFaults>): void {
		Object.assign(this.#faults, faults);
	}

	/** Ends all faults; writes that were delayed still take effect. */
	clearFaults(): void {
		this.inject(noFaults);
	}

	/** Ends at once; later calls are refused by the operating system. */
	async stop(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await buffer(req);
		const {pathname} = new URL(req.url!, this.url);
		if (pathname.startsWith('/control/')) {
			send(res, this.#control(pathname, body));
			return;
		}

		const call = this.#callOf(req, pathname, body);
		this.counts.set(call.operation, (this.counts.get(call.operation) ?? 0) + 1);
		if (this.#faults.isDown) {
			res.destroy();
			return;
		}

		if (call.isWrite && this.#faults.lateWriteCount > 0) {
			this.#faults.lateWriteCount -= 1;
			setTimeout(call.run, this.#faults.lateWriteMs);
			res.destroy();
			return;
		}

		await pause(this.#faults.slowMs);
		const answer = call.run();
		if (call.isWrite && this.#faults.dropAnswerCount > 0) {
			this.#faults.dropAnswerCount -= 1;
			res.destroy();
			return;
		}

		send(res, answer);
	}

	#control(pathname: string, body: Uint8Array): Answer {
		if (pathname === '/control/faults' && body.byteLength > 0) {
			this.inject(JSON.parse(Buffer.from(body).toString()) as Partial<PlatformFaults>);
		}

		return jsonAnswer(pathname === '/control/counts' ? Object.fromEntries(this.counts) : this.#faults);
	}

	#callOf(req: IncomingMessage, pathname: string, body: Uint8Array): Call {
		const target = req.headers['x-amz-target']?.toString();
		if (target !== undefined) {
			return this.#tableCall(target.split('.').at(-1)!, body);
		}

		return pathname === '/vms' ? this.#vmCall(req, body) : this.#objectCall(req, decodeURIComponent(pathname), body);
	}

	#tableCall(operation: string, body: Uint8Array): Call {
		return {
			operation,
			isWrite: !reads.has(operation),
			run: () => {
				const {status, body: answer} = this.table.handle(operation, JSON.parse(Buffer.from(body).toString()) as TableRequest);
				return {status, type: TABLE_TYPE, body: Buffer.from(JSON.stringify(answer))};
			},
		};
	}

	#vmCall(req: IncomingMessage, body: Uint8Array): Call {
		return {
			operation: 'VmList',
			isWrite: false,
			run: () => {
				if (req.method === 'PUT') {
					this.vms = Buffer.from(body).toString();
				}

				return {status: 200, type: JSON_TYPE, body: Buffer.from(this.vms)};
			},
		};
	}

	#objectCall(req: IncomingMessage, path: string, body: Uint8Array): Call {
		const isWrite = req.method === 'PUT';
		return {
			operation: isWrite ? 'PutObject' : 'GetObject',
			isWrite,
			run: () => {
				if (isWrite) {
					this.objects.set(path, body);
					return {status: 200, type: 'application/xml', body: Buffer.of()};
				}

				const found = this.objects.get(path);
				return found === undefined
					? {status: 404, type: 'application/xml', body: Buffer.from('<Error><Code>NoSuchKey</Code></Error>')}
					: {status: 200, type: 'application/octet-stream', body: found};
			},
		};
	}
}

function jsonAnswer(body: unknown): Answer {
	return {status: 200, type: JSON_TYPE, body: Buffer.from(JSON.stringify(body))};
}

function send(res: ServerResponse, {status, type, body}: Answer): void {
	res.writeHead(status, {'content-type': type, 'content-length': body.byteLength});
	res.end(body);
}

async function pause(ms: number): Promise<void> {
	if (ms > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}
}
