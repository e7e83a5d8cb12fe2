import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {type BuiltVm, BuiltVms} from '../support/built-vms.js';
import {
	ClientCrowd, type ClientShape, openChunks, readProcessUse,
} from '../support/client-crowd.js';
import {eventually} from '../support/eventually.js';
import {sendRaw} from '../support/raw-http.js';

/** Memory and descriptors of the VM, as in its settings; the smallest VMs have 250 MB and 4,100 descriptors. */
const MEMORY_MB = 250;
const MAX_DESCRIPTORS = 1000;
const MAX_MEMORY_KB = MEMORY_MB * 1000 * 1000 / 1024;
const MAX_BODY_BYTES = 4_194_304;
const RESPONSE_BYTES = 7_900_000;
/** Time limit of the routes, in ms; longer than a test, so that it ends nothing. */
const ROUTE_TIMEOUT_MS = 60_000;
const READY_TIMEOUT_MS = 10_000;
const SERVER_SLOTS = 200;
const MIB = 1_048_576;

/** @returns Head of a request that a VM would serve, up to its last headers. */
function formatHead(method: string, path: string, headers: string): string {
	return `${method} ${path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: crowd\r\nAuthorization: Bearer key-1\r\n${headers}`;
}

const chunked = formatHead('POST', '/unsafe/1', 'Transfer-Encoding: chunked\r\n\r\n');
const largeChunks: ClientShape = {text: chunked, ...openChunks(MIB, MAX_BODY_BYTES - MIB)};
const smallChunks: ClientShape = {text: chunked, ...openChunks(1, 120_000)};

// Guards against callers outside the limits that exhaust the memory or the descriptors of a VM, which then ends.
describe('platform process with a crowd of callers outside the limits', function () {
	this.timeout(120_000);
	let deployment: BuiltVms;
	let vm: BuiltVm;
	let server: Server;
	let crowds: ClientCrowd[];

	before(async () => {
		deployment = await BuiltVms.create({memoryMb: MEMORY_MB, maxFds: MAX_DESCRIPTORS});
		const body = Buffer.alloc(RESPONSE_BYTES, '.');
		server = createServer((req, res) => {
			req.resume();
			req.once('end', () => {
				const id = String(req.headers['x-request-id']);
				res.writeHead(200, {'x-request-id': id, 'x-server-seal': id}).end(req.url === '/safe/large' ? body : 'ok');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		deployment.store.put('servers', 'i-0', {
			service: 'desk', address: `127.0.0.1:${port}`, zone: 'zone-a', version: 'v1', slots: SERVER_SLOTS, state: 'ready', coldLeftMs: 0, sequence: 1, born: 1,
		});
		deployment.configure();
		const {manifest} = deployment.operator;
		deployment.store.put('op', 'config', {
			...manifest,
			version: manifest.version + 1,
			services: manifest.services.map(service => ({...service, maxConns: SERVER_SLOTS})),
			limits: {...manifest.limits, maxBodyBytes: MAX_BODY_BYTES},
			routes: manifest.routes.map(route => ({...route, timeoutMs: ROUTE_TIMEOUT_MS})),
		});
		vm = deployment.vms[0]!;
	});

	beforeEach(async () => {
		crowds = [];
		vm.ends.length = 0;
		vm.start();
		await vm.awaitReady(performance.now() + READY_TIMEOUT_MS);
	});

	afterEach(async () => {
		for (const crowd of crowds) {
			crowd.dismiss();
		}

		await vm.end('SIGKILL');
	});

	after(async () => {
		await deployment.stop();
		server.closeAllConnections();
		server.close();
	});

	async function gather(count: number, shape: ClientShape): Promise<void> {
		crowds.push(await ClientCrowd.gather(vm.listen.front, count, shape));
	}

	/** Checks the process, and that it answers a request while the crowd stays. */
	async function check(): Promise<void> {
		expect(vm.ends).to.deep.equal([]);
		const {peakKb, descriptors} = await readProcessUse(vm.child!.pid!);
		const use = `peak ${peakKb} kB, ${descriptors} descriptors`;
		expect(peakKb, use).to.be.below(MAX_MEMORY_KB);
		expect(descriptors, use).to.be.below(MAX_DESCRIPTORS);
		await eventually(async () => {
			const {status} = await sendRaw(vm.listen.front, [formatHead('POST', '/unsafe/ordinary', 'Content-Length: 5\r\n\r\nhello')]);
			return status === 200;
		}, 500);
		expect(vm.ends).to.deep.equal([]);
	}

	it('bounds bodies in large chunks that stop short of their end', async () => {
		await gather(90, largeChunks);
		await check();
	});

	it('bounds bodies of one byte in each chunk that stop short of their end', async () => {
		await gather(40, smallChunks);
		await check();
	});

	it('bounds trailers and chunk extensions that stay open', async () => {
		await gather(300, {text: `${chunked}5\r\nhello\r\n0\r\n${`X-Trailer: ${'t'.repeat(1000)}\r\n`.repeat(12)}`});
		await gather(300, {text: `${chunked}5;name=${'e'.repeat(12_000)}`});
		await check();
	});

	it('bounds bodies that are announced far over the limit', async () => {
		await gather(200, {text: formatHead('POST', '/unsafe/1', 'Content-Length: 4000000000\r\n\r\n'), piece: Buffer.alloc(MIB, '.'), pieceCount: 20});
		await check();
	});

	it('bounds bodies that are sent far over the limit', async () => {
		await gather(60, {text: chunked, ...openChunks(MIB, 20 * MIB)});
		await check();
	});

	it('bounds heads that never end', async () => {
		await gather(1500, {text: formatHead('GET', '/safe/1', `X-Filler: ${'h'.repeat(1000)}\r\n`.repeat(14))});
		await check();
	});

	it('bounds a crowd that comes in waves', async () => {
		for (let wave = 0; wave < 3; wave += 1) {
			await gather(40, largeChunks); // eslint-disable-line no-await-in-loop -- one after another
		}

		await check();
	});

	it('bounds responses that are not read', async () => {
		await gather(60, {text: formatHead('GET', '/safe/large', '\r\n'), isReading: false});
		await check();
	});
});
