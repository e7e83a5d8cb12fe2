/**
 * Stand-in for the platform: table service (DynamoDB protocol), object store (S3 protocol) and VM list on one port, with
 * faults that are injected by method call or over HTTP.
 *
 * Routes: `POST /` table service, `/<bucket>/<key>` objects, `/vms` VM list (PUT replaces it), `/control/faults` faults
 * (PUT merges into the current ones), `/control/counts` number of calls by operation.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {PlatformTable, type TableRequest} from './platform-table.js';

/** Active faults; each write that a counted fault affects decrements its count. */
export type PlatformFaults = {
	/** Closes the connection of each call, which has no effect. */
	isDown: boolean;
	/** Delay before each call is executed, in ms. */
	slowMs: number;
	/** Number of writes that are executed while their response is dropped. */
	dropAnswerCount: number;
	/** Number of writes whose connection is closed immediately and that are executed `lateWriteMs` later. */
	lateWriteCount: number;
	lateWriteMs: number;
};

type CallResponse = {
	readonly status: number;
	readonly type: string;
	readonly body: Uint8Array;
};

/** A call to the table service, the object store or the VM list. */
type Call = {
	readonly operation: string;
	readonly isWrite: boolean;
	/** Executes the call. */
	readonly run: () => CallResponse;
};

const JSON_TYPE = 'application/json';
const TABLE_TYPE = 'application/x-amz-json-1.0';
const readOperations = new Set(['GetItem', 'Query']);
const noFaults: PlatformFaults = {
	isDown: false, slowMs: 0, dropAnswerCount: 0, lateWriteCount: 0, lateWriteMs: 0,
};

/** A platform on a loopback port. */
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
	/** Number of calls by operation, including calls that a fault affected. */
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

	/** Sets the given faults and leaves the others unchanged. */
	inject(faults: Partial<PlatformFaults>): void {
		Object.assign(this.#faults, faults);
	}

	/** Clears all faults; delayed writes are still executed. */
	clearFaults(): void {
		this.inject(noFaults);
	}

	/** Stops immediately; the operating system refuses later connections. */
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
			send(res, this.#handleControl(pathname, body));
			return;
		}

		const call = this.#createCall(req, pathname, body);
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

		await sleep(this.#faults.slowMs);
		const answer = call.run();
		if (call.isWrite && this.#faults.dropAnswerCount > 0) {
			this.#faults.dropAnswerCount -= 1;
			res.destroy();
			return;
		}

		send(res, answer);
	}

	#handleControl(pathname: string, body: Uint8Array): CallResponse {
		if (pathname === '/control/faults' && body.byteLength > 0) {
			this.inject(JSON.parse(Buffer.from(body).toString()) as Partial<PlatformFaults>);
		}

		return jsonResponse(pathname === '/control/counts' ? Object.fromEntries(this.counts) : this.#faults);
	}

	#createCall(req: IncomingMessage, pathname: string, body: Uint8Array): Call {
		const target = req.headers['x-amz-target']?.toString();
		if (target !== undefined) {
			return this.#createTableCall(target.split('.').at(-1)!, body);
		}

		return pathname === '/vms' ? this.#createVmListCall(req, body) : this.#createObjectCall(req, decodeURIComponent(pathname), body);
	}

	#createTableCall(operation: string, body: Uint8Array): Call {
		return {
			operation,
			isWrite: !readOperations.has(operation),
			run: () => {
				const {status, body: answer} = this.table.handle(operation, JSON.parse(Buffer.from(body).toString()) as TableRequest);
				return {status, type: TABLE_TYPE, body: Buffer.from(JSON.stringify(answer))};
			},
		};
	}

	#createVmListCall(req: IncomingMessage, body: Uint8Array): Call {
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

	#createObjectCall(req: IncomingMessage, path: string, body: Uint8Array): Call {
		const isWrite = req.method === 'PUT';
		return {
			operation: isWrite ? 'PutObject' : 'GetObject',
			isWrite,
			run: () => {
				if (isWrite) {
					this.objects.set(path, body);
					return {status: 200, type: 'application/xml', body: Buffer.of()};
				}

				const object = this.objects.get(path);
				return object === undefined
					? {status: 404, type: 'application/xml', body: Buffer.from('<Error><Code>NoSuchKey</Code></Error>')}
					: {status: 200, type: 'application/octet-stream', body: object};
			},
		};
	}
}

function jsonResponse(body: unknown): CallResponse {
	return {status: 200, type: JSON_TYPE, body: Buffer.from(JSON.stringify(body))};
}

function send(res: ServerResponse, {status, type, body}: CallResponse): void {
	res.writeHead(status, {'content-type': type, 'content-length': body.byteLength});
	res.end(body);
}

async function sleep(ms: number): Promise<void> {
	if (ms > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}
}
