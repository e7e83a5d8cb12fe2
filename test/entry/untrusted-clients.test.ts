import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
	ClientCrowd, type ClientShape, openChunks, readProcessUse,
} from '../support/client-crowd.js';
import {eventually} from '../support/eventually.js';
import {sendRaw} from '../support/raw-http.js';
import {callerKey, Deployment, type RunningNode} from '../system/deployment.js';

/** Memory that a node may use, in kB; `src/entry/body.ts` states 256 MB. */
const MAX_MEMORY_KB = 262_144;
const MAX_DESCRIPTORS = 3000;
const MIB = 1_048_576;
const RESPONSE_BYTES = 7_900_000;

/** @returns Head of a request that a node would serve, up to its last headers. */
function formatHead(method: string, path: string, headers: string): string {
	return `${method} /services/booking/${path} HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer ${callerKey}\r\n${headers}`;
}

const chunked = formatHead('POST', 'holds', 'Idempotency-Key: crowd\r\nTransfer-Encoding: chunked\r\n\r\n');
const largeChunks: ClientShape = {text: chunked, ...openChunks(MIB / 4, 3 * MIB / 4)};

// Guards against callers outside the limits that exhaust the memory of a node, or use up the room for the bodies of others.
describe('`serve` with a crowd of callers outside the limits', function () {
	this.timeout(120_000);
	let deployment: Deployment;
	let node: RunningNode;
	let server: Server;
	let crowds: ClientCrowd[];
	let address: string;

	beforeEach(async () => {
		crowds = [];
		const body = Buffer.alloc(RESPONSE_BYTES, '.');
		server = createServer((req, res) => {
			req.resume();
			req.once('end', () => {
				res.end(req.url === '/large' ? body : 'ok');
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		deployment = await Deployment.start(1);
		node = await deployment.startNode(0);
		address = new URL(node.url).host;
		const subtree = deployment.subtree() as {upstreams: Record<string, {url: string}>};
		subtree.upstreams['booking-0']!.url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
		await deployment.putSettings();
		await deployment.put(2, subtree);
		await eventually(async () => await order('ready') === 200, 100);
	});

	afterEach(async () => {
		for (const crowd of crowds) {
			crowd.dismiss();
		}

		await deployment.kill(node);
		await deployment.stop();
		server.closeAllConnections();
		server.close();
	});

	async function order(key: string): Promise<number> {
		const {status} = await sendRaw(address, [formatHead('POST', 'holds', `Idempotency-Key: ${key}-${performance.now()}\r\nContent-Length: 5\r\n\r\nhello`)]);
		return status;
	}

	async function gather(count: number, shape: ClientShape): Promise<void> {
		crowds.push(await ClientCrowd.gather(address, count, shape));
	}

	/** Checks the process, and that it answers a request while the crowd stays. */
	async function check(): Promise<void> {
		expect([node.child.exitCode, node.child.signalCode]).to.deep.equal([null, null]);
		const {peakKb, descriptors} = await readProcessUse(node.child.pid!);
		const use = `peak ${peakKb} kB, ${descriptors} descriptors`;
		expect(peakKb, use).to.be.below(MAX_MEMORY_KB);
		expect(descriptors, use).to.be.below(MAX_DESCRIPTORS);
		await eventually(async () => await order('ordinary') === 200, 500);
		expect([node.child.exitCode, node.child.signalCode]).to.deep.equal([null, null]);
	}

	it('bounds bodies in large chunks that stop short of their end', async () => {
		await gather(120, largeChunks);
		await check();
	});

	it('bounds bodies of one byte in each chunk that stop short of their end', async () => {
		await gather(40, {text: chunked, ...openChunks(1, 120_000)});
		await check();
	});

	it('bounds trailers and chunk extensions that stay open', async () => {
		await gather(300, {text: `${chunked}5\r\nhello\r\n0\r\n${`X-Trailer: ${'t'.repeat(1000)}\r\n`.repeat(12)}`});
		await gather(300, {text: `${chunked}5;name=${'e'.repeat(12_000)}`});
		await check();
	});

	it('bounds bodies that are announced or sent far over the limit', async () => {
		await gather(100, {text: formatHead('POST', 'holds', 'Idempotency-Key: crowd\r\nContent-Length: 4000000000\r\n\r\n'), piece: Buffer.alloc(MIB, '.'), pieceCount: 20});
		await gather(60, {text: chunked, ...openChunks(MIB, 20 * MIB)});
		await check();
	});

	it('bounds heads that never end', async () => {
		await gather(4000, {text: formatHead('GET', 'large', `X-Filler: ${'h'.repeat(1000)}\r\n`.repeat(14))});
		await check();
	});

	it('bounds a crowd that comes in waves', async () => {
		for (let wave = 0; wave < 3; wave += 1) {
			await gather(60, largeChunks); // eslint-disable-line no-await-in-loop -- one after another
		}

		await check();
	});

	it('bounds responses that are not read', async () => {
		await gather(60, {text: formatHead('GET', 'large', '\r\n'), isReading: false});
		await check();
	});
});
