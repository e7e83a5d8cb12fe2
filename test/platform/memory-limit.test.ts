import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {
	type ClientRequest, createServer, request, type Server,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {splitAddress} from '../../src/base/address.js';
import {type BuiltVm, BuiltVms} from '../support/built-vms.js';

/** Memory of a process at which the platform ends it, in kB; `memoryMb` of the settings. */
const MAX_MEMORY_KB = 350_000;
const MAX_BODY_BYTES = 4_194_304;
const BODY_COUNT = 50;
/** Requests that each caller sends, one after another. */
const BODY_ROUNDS = 4;
/** Number of pieces in which a slow caller sends its body, and the time between two of them, in ms. */
const PIECE_COUNT = 100;
const PIECE_INTERVAL_MS = 30;
const RESPONSE_BYTES = 7_900_000;
const RESPONSE_COUNT = 120;
/** Time limit of the routes and of the requests, in ms. */
const TIMEOUT_MS = 20_000;
const SERVER_COUNT = 3;
const SERVER_SLOTS = 60;
/** Time that a server takes for a request, in ms, so that requests are in flight together. */
const SERVICE_TIME_MS = 1000;
const READY_TIMEOUT_MS = 10_000;

type Message = {
	readonly method: string;
	readonly target: string;
	readonly body: Uint8Array;
	/** In how many pieces the body is sent; by default in one. */
	readonly pieceCount?: number;
};

// Guards against large messages, each within its limit, that together exceed the memory of a VM (issue 39).
describe('resident memory of a platform process', function () {
	this.timeout(60_000);
	let deployment: BuiltVms;
	let vm: BuiltVm;
	let servers: Server[];
	let responseBytes: number;

	beforeEach(async () => {
		deployment = await BuiltVms.create();
		responseBytes = 0;
		servers = await Promise.all(Array.from({length: SERVER_COUNT}, async () => startServer(() => Buffer.alloc(responseBytes, '.'))));
		for (const [index, server] of servers.entries()) {
			deployment.store.put('servers', `i-${index}`, {
				service: 'desk', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'zone-a', version: 'v1', slots: SERVER_SLOTS, state: 'ready', coldLeftMs: 0, sequence: 1, born: 1,
			});
		}

		deployment.configure();
		const {manifest} = deployment.operator;
		deployment.store.put('op', 'config', {
			...manifest,
			version: manifest.version + 1,
			limits: {...manifest.limits, maxBodyBytes: MAX_BODY_BYTES},
			routes: manifest.routes.map(route => ({...route, timeoutMs: TIMEOUT_MS})),
		});
		vm = deployment.vms[0]!;
		vm.start();
		await vm.awaitReady(performance.now() + READY_TIMEOUT_MS);
	});

	afterEach(async () => {
		await deployment.stop();
		for (const server of servers) {
			server.closeAllConnections();
			server.close();
		}
	});

	/**
	 * Sends requests, and checks that each is answered or refused within the memory of the process.
	 *
	 * @param callerCount - Requests at the same time.
	 * @param rounds - Requests that each caller sends, one after another.
	 */
	async function checkMemory(callerCount: number, rounds: number, message: Message): Promise<void> {
		const statuses: number[] = [];
		await Promise.all(Array.from({length: callerCount}, async (_, caller) => {
			for (let round = 0; round < rounds; round += 1) {
				statuses.push(await send(vm.listen.front, `m-${caller}-${round}`, message)); // eslint-disable-line no-await-in-loop -- one after another
			}
		}));
		expect(vm.ends).to.deep.equal([]);
		// The peak of VmRSS.
		const status = await readFile(`/proc/${vm.child!.pid}/status`, 'utf8');
		const peakKb = Number(/VmHWM:\s+(?<kB>\d+)/v.exec(status)!.groups!.kB);
		const counts = [...new Set(statuses)].map(each => `${statuses.filter(other => other === each).length} of status ${each}`).join(', ');
		expect(peakKb, `kB; ${counts}`).to.be.below(MAX_MEMORY_KB);
		expect(statuses).to.include(200);
		expect(statuses.filter(each => each !== 200 && each !== 503), counts).to.deep.equal([]);
	}

	const upload: Message = {method: 'POST', target: '/unsafe/1', body: Buffer.alloc(MAX_BODY_BYTES, '.')};

	it('is bounded for request bodies at the same time', async () => checkMemory(BODY_COUNT, BODY_ROUNDS, upload));
	it('is bounded for request bodies that arrive slowly', async () => checkMemory(BODY_COUNT, 1, {...upload, pieceCount: PIECE_COUNT}));

	it('is bounded for responses at the same time', async () => {
		responseBytes = RESPONSE_BYTES;
		await checkMemory(RESPONSE_COUNT, 1, {method: 'GET', target: '/safe/1', body: Buffer.alloc(0)});
	});
});

/** Starts a server that responds to each request with the body that `createBody` returns. */
async function startServer(createBody: () => Uint8Array): Promise<Server> {
	let body: Uint8Array | undefined;
	const server = createServer((req, res) => {
		req.resume();
		req.once('end', () => {
			setTimeout(() => {
				body ??= createBody();
				const id = String(req.headers['x-request-id']);
				res.writeHead(200, {'x-request-id': id, 'x-server-seal': id, 'content-length': String(body.length)});
				res.end(body);
			}, SERVICE_TIME_MS);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
}

/** @returns Status of the response once it was read; 0 if the connection was lost. */
async function send(address: string, id: string, {method, target, body, pieceCount = 1}: Message): Promise<number> {
	return new Promise(resolve => {
		const req = request({
			...splitAddress(address),
			method,
			path: target,
			agent: false,
			headers: {
				host: 'desk.example', 'x-request-id': id, 'x-deadline-ms': String(TIMEOUT_MS), authorization: 'Bearer key-1', ...(body.length > 0 ? {'content-length': String(body.length)} : {}),
			},
		}, res => {
			res.resume();
			res.once('close', () => {
				resolve(res.complete ? res.statusCode! : 0);
			});
		});
		req.once('error', () => {
			resolve(0);
		});
		void writePieces(req, body, pieceCount);
	});
}

async function writePieces(req: ClientRequest, body: Uint8Array, count: number): Promise<void> {
	const pieceBytes = Math.ceil(body.length / count);
	let start = 0;
	for (; start + pieceBytes < body.length; start += pieceBytes) {
		req.write(body.subarray(start, start + pieceBytes));
		await sleep(PIECE_INTERVAL_MS); // eslint-disable-line no-await-in-loop -- at intervals
	}

	req.end(body.subarray(start));
}
